"""The log of the operators' declarations in the model, and how entries read it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import orjson

from catkincross.daemons._declarations import DeclarationFollower
from catkincross.platform import DeclarationFeed
from catkincross.platform._store import SILENCE_S, ReadResult

from .platform_effects import STORE_MS
from .soak_declarations import (
    APPLY_MS,
    NO_QUEUE,
    SERVED,
    Probe,
    declarations,
    outdated_answers,
    queues_to_ask,
)
from .soak_findings import Fault

if TYPE_CHECKING:
    from .claims_model import ClaimsModel, Daemon

# Interval at which entries are asked for queues, and at which a read that waits looks
# for records, in milliseconds.
PROBE_MS = 40
LOOK_S = 0.02
# Ways in which the store turns an entry away.
REFUSE, IGNORE = "refuse", "ignore"
NOT_READY = 503


@attrs.define(eq=False)
class DeclaredLog:
    """The operators' declarations in the store, and what entries show of them.

    Attributes:
        values: The versions as they were written, oldest first.
        acked_ms: When each was acknowledged.
        turned_away: Entries that the store refuses or ignores.
        silenced_ms: When the open connections of an entry to the store fell silent.
        faults: Disruptions of entries, for the judgement.
        probes: Answers of entries.
        served: Newest queue that each entry has served.
    """

    values: list[bytes] = attrs.field(factory=list)
    acked_ms: list[int] = attrs.field(factory=list)
    turned_away: dict[str, str] = attrs.field(factory=dict)
    silenced_ms: dict[str, int] = attrs.field(factory=dict)
    faults: list[Fault] = attrs.field(factory=list)
    probes: list[Probe] = attrs.field(factory=list)
    served: dict[str, int] = attrs.field(factory=dict)

    def declare_next(self, now_ms: int) -> None:
        """Write the next version."""
        self.values.append(orjson.dumps(declarations(len(self.values) + 1)))
        self.acked_ms.append(now_ms)

    def probe(self, daemon: Daemon, now_ms: int) -> None:
        """Ask an entry for the newest queue, and for the one dropped last."""
        known = daemon.follower.feed.declarations
        name = daemon.host.name
        for queue in queues_to_ask(len(self.values), self.served.get(name, 0)):
            status = NOT_READY
            if known.queue_for("soak.example", f"/v{queue}/") is not None:
                status = SERVED
                self.served[name] = max(queue, self.served.get(name, 0))
            elif daemon.follower.confirmed:
                status = NO_QUEUE
            process = daemon.greeting.incarnation
            self.probes.append(Probe(name, process, queue, now_ms, now_ms, status))

    def findings(self) -> list[str]:
        """Return a description of each answer by outdated declarations."""
        return outdated_answers(self.probes, self.acked_ms, self.faults, 0)


@attrs.define(eq=False)
class DeclaredReads:
    """Reads of the declarations by one process, in place of its client of the store."""

    model: ClaimsModel
    name: str

    async def read(
        self, topic: str, partition: int, offset: int, *, wait_ms: int
    ) -> ReadResult | None:
        """Return records from an offset on, as soon as there are any."""
        log = self.model.declared
        end_ms = self.model.now_ms + wait_ms

        async def look() -> ReadResult:
            while offset >= len(log.values) and self.model.now_ms < end_ms:
                await asyncio.sleep(LOOK_S)
            records = [b"\x06config" + value for value in log.values[offset:]]
            return ReadResult(len(log.values), 0, records)

        return await self._call(look, wait_ms)

    async def read_latest(self, topic: str) -> tuple[dict[str, bytes], int] | None:
        """Return the newest declarations."""
        log = self.model.declared

        async def look() -> tuple[dict[str, bytes], int]:
            return {"config": log.values[-1]}, len(log.values)

        return await self._call(look, 0)

    async def _call(self, look: Any, wait_ms: int) -> Any:
        """Return an answer; None, after the time limit, if the entry gets none."""
        model, log = self.model, self.model.declared
        sent_ms = model.now_ms
        silence_ms = int(SILENCE_S * 1_000) + wait_ms
        await asyncio.sleep(STORE_MS / 2_000)
        mode = REFUSE if model.store.down else log.turned_away.get(self.name)
        if mode == REFUSE:
            return None
        answer = None if mode == IGNORE else await look()
        await asyncio.sleep(STORE_MS / 2_000)
        mode = REFUSE if model.store.down else log.turned_away.get(self.name)
        lost = log.silenced_ms.get(self.name, 0) >= sent_ms or mode is not None
        if answer is not None and not lost:
            return answer
        if mode != REFUSE:
            await asyncio.sleep(max(0, sent_ms + silence_ms - model.now_ms) / 1_000)
        return None


def follow_declarations(
    model: ClaimsModel, daemon: Daemon, links: Any, requests: Any, clock: Any, log: Any
) -> DeclarationFollower:
    """Return the follower of a process, connected to its links and its core."""
    core = daemon.host.core
    feed = DeclarationFeed(DeclaredReads(model, daemon.host.name), APPLY_MS, clock)

    def on_change() -> None:
        core.update_declarations(model.now_ms, feed.declarations)

    follower = DeclarationFollower(feed, requests, clock, log, on_change)
    links.backlog = lambda: follower.stamp(core.backlog())
    links.answer_question = follower.answer_question
    return follower
