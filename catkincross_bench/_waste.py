"""Message accounting: what was sent beyond one dispatch and one answer a task."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

import attrs

from catkincross.messages import (
    AgentHeartbeat,
    AgentHello,
    AgentView,
    CancelTasks,
    ForwardJob,
    HeartbeatReply,
    JobAnswer,
    PeerHeartbeat,
    PlaceTasks,
    RecordsTail,
    StartTasks,
    TaskResults,
    TaskStatus,
)

CAUSES = (
    "declines",
    "recalls",
    "retries",
    "repeats",
    "cancellations",
    "forwards",
    "other",
)
CONTROL = (
    AgentHello,
    AgentHeartbeat,
    HeartbeatReply,
    AgentView,
    PeerHeartbeat,
    RecordsTail,
)


@attrs.define
class Waste:
    """Messages counted by task: a batch of n tasks counts n.

    Attributes:
        causes: Wasted task messages by cause.
        control: Control messages, which do not count as waste, by kind.
        useful: Dispatches and answers that were needed.
        refused: Cause of the next dispatch of a task, by task and attempt.
        seen: What was counted as useful.
    """

    causes: Counter = attrs.field(factory=Counter)
    control: Counter = attrs.field(factory=Counter)
    useful: int = 0
    refused: dict[Any, str] = attrs.field(factory=dict)
    seen: set = attrs.field(factory=set)

    def add(self, sender: str, to: str, message: Any) -> None:
        """Count one message."""
        hop = f"{sender.partition('/')[0]}-{to.partition('/')[0]}"
        match message:
            case _ if isinstance(message, CONTROL):
                self.control[type(message).__name__] += 1
            case PlaceTasks(tasks):
                for placed in tasks:
                    self._dispatch("place", placed.task, placed.attempt)
            case StartTasks(starts):
                for start in starts:
                    self._dispatch("start", start.task, start.attempt)
            case TaskResults():
                for result in message.results:
                    self._answer(hop, result)
            case ForwardJob():
                self._once(("forward", sender, message.request_id), "forwards")
            case JobAnswer():
                self._once(("answer", to, message.request_id), "repeats")
            case CancelTasks():
                cause = "recalls" if message.revoke else "cancellations"
                self.causes[cause] += len(message.tasks)
            case _:
                self.causes["other"] += 1

    def _dispatch(self, hop: str, task: Any, attempt: int) -> None:
        if (hop, task, attempt) in self.seen:
            self.causes["repeats"] += 1
            return
        self.seen.add((hop, task, attempt))
        if (hop, task) not in self.seen:
            self.seen.add((hop, task))
            self.useful += 1
        else:
            # Without a message, the home in the owner's process gave the task back.
            self.causes[self.refused.get((task, attempt - 1), "declines")] += 1

    def _answer(self, hop: str, result: Any) -> None:
        key = ("result", hop, result.task, result.attempt)
        if key in self.seen:
            self.causes["repeats"] += 1
            return
        self.seen.add(key)
        if result.not_run:
            cause = _cause_of_refusal(result)
            self.refused[result.task, result.attempt] = cause
            self.causes[cause] += 1
            return
        if result.status is not TaskStatus.OK:
            self.refused[result.task, result.attempt] = "retries"
        if ("result", hop, result.task) in self.seen:
            self.causes["retries"] += 1
        else:
            self.seen.add(("result", hop, result.task))
            self.useful += 1

    def _once(self, key: tuple, cause: str) -> None:
        if key in self.seen:
            self.causes[cause] += 1
        else:
            self.seen.add(key)
            self.useful += 1

    def per_1000(self, tasks: int) -> dict[str, float]:
        """Return the wasted messages by cause for each 1,000 tasks."""
        return {
            cause: round(1_000 * self.causes[cause] / max(1, tasks), 2)
            for cause in CAUSES
        }


def _cause_of_refusal(result: Any) -> str:
    if result.reason in ("recalled", "revoked"):
        return "recalls"
    if result.status is TaskStatus.CANCELLED or result.reason == "cancelled":
        return "cancellations"
    return "declines"


def count_messages(messages: Iterable[tuple[Any, str, str, Any]]) -> Waste:
    """Return the account of messages `(time, sender, to, message)`."""
    waste = Waste()
    for _, sender, to, message in messages:
        waste.add(sender, to, message)
    return waste
