"""The owner's core: events in, effects out, without clocks or sockets."""

from __future__ import annotations

from collections import Counter
from typing import Any

from ..jobs import JobRecord, JobSpec, JobState
from ..operations import Declared
from ..peers import Backlog
from . import _due as _due, _placing as _placing, _upkeep as _upkeep
from ._effects import AppendOutcome, Effect
from ._fleet import AgentInfo
from ._recovery import (
    assign_shards,
    check_membership,
    drop_shard,
    open_shard,
)
from ._requests import cancel, job_state, submit
from ._shard import ShardPhase, VolatileShard
from ._state import AGENT_HANDLERS, OWNER_SYSTEMS, OwnerLimits, OwnerState
from ._volatile import abandon, submit_volatile
from ._wall_clock import WallClock

# How often the systems run if no event comes, in milliseconds.
STEP_INTERVAL_MS = 100
# A smaller change of the time of day against the clock is not logged, in milliseconds.
CLOCK_STEP_LOG_MS = 50


class OwnerCore:
    """Decisions on all shards of one entry.

    Each method takes the time in milliseconds and one event. `step` runs the systems
    and returns the effects since the last step.

    Args:
        name: Name of the entry.
        limits: Times.
        incarnation: Number that differs between two starts of the process.
    """

    def __init__(self, name: str, limits: OwnerLimits, incarnation: int) -> None:
        volatile = VolatileShard.for_process(incarnation)
        self.state = OwnerState(name, limits, volatile)
        self.wall_clock = WallClock()

    def use_limits(self, limits: OwnerLimits) -> None:
        """Take other times; the number of shards stays."""
        self.state.limits = limits

    def step(self, now_ms: int) -> list[Effect]:
        """Run the systems; return what is to be done."""
        self.state.now_ms = now_ms
        if self.state.started_ms is None:
            self.state.started_ms = now_ms
        for _, system in OWNER_SYSTEMS:
            system(self.state)
        effects, self.state.effects = self.state.effects, []
        return effects

    def next_due_ms(self) -> int:
        """Return when the next step is due without an event."""
        due = self.state.now_ms + STEP_INTERVAL_MS
        for shard in self.state.shards.values():
            if shard.flush_at_ms is not None:
                due = min(due, shard.flush_at_ms)
        if self.state.due_jobs:
            left_ms = self.state.due_jobs[0][0] - self.state.wall_ms
            due = min(due, self.state.now_ms + max(left_ms, 0))
        return due

    def submit(
        self,
        now_ms: int,
        request: Any,
        spec: JobSpec,
        *,
        accepted_ms: int = 0,
        limit_ms: int = 0,
    ) -> None:
        """Hand in a job; the answer comes as a `Reply`.

        Args:
            now_ms: Time.
            request: Whom to answer.
            spec: The job.
            accepted_ms: Time of day.
            limit_ms: How long the client account waits.
        """
        self.state.now_ms = now_ms
        if spec.volatile:
            submit_volatile(self.state, request, spec, limit_ms)
        else:
            submit(self.state, request, spec, accepted_ms)

    def abandon(self, now_ms: int, request: Any, job_id: str) -> None:
        """Note that the client account of a volatile job has left."""
        self.state.now_ms = now_ms
        abandon(self.state, request, job_id)

    def take_news(self) -> tuple[list[str], list[str]]:
        """Return the volatile jobs begun and ended since the last call."""
        news = self.state.volatile_begun, self.state.volatile_ended
        self.state.volatile_begun, self.state.volatile_ended = [], []
        return news

    def volatile_jobs(self) -> list[str]:
        """Return the volatile jobs that workers may have runs of."""
        return list(self.state.volatile.jobs)

    def job_state(self, now_ms: int, request: Any, job_id: str) -> None:
        """Ask for a job's state; the answer comes as a `Reply`."""
        self.state.now_ms = now_ms
        job_state(self.state, request, job_id)

    def cancel(self, now_ms: int, request: Any, job_id: str) -> None:
        """Cancel a job; the answer comes as a `Reply`."""
        self.state.now_ms = now_ms
        cancel(self.state, request, job_id)

    def assigned(
        self, now_ms: int, sent_ms: int, shards: list[int], generation: int
    ) -> None:
        """Take the group's answer.

        Args:
            now_ms: Time.
            sent_ms: When the call was sent.
            shards: Shards of this entry.
            generation: Generation of the group.
        """
        self.state.now_ms = now_ms
        self.contact(sent_ms)
        check_membership(self.state, sent_ms, generation)
        assign_shards(self.state, shards, generation)

    def time_of_day(self, now_ms: int, wall_ms: int) -> None:
        """Take the time of day, in milliseconds since 1970."""
        offset_ms = self.wall_clock.offset_ms(now_ms, wall_ms)
        if abs(offset_ms - self.state.wall_offset_ms) > CLOCK_STEP_LOG_MS:
            self.state.note("time of day", offset_ms=offset_ms, wall_ms=wall_ms)
        self.state.wall_offset_ms = offset_ms

    def contact(self, sent_ms: int) -> None:
        """Note a successful call to the store."""
        self.state.store_contact_ms = max(self.state.store_contact_ms, sent_ms)

    def claimed(
        self, now_ms: int, shard: int, epoch: int, records: list[JobRecord]
    ) -> None:
        """Take the records of a shard whose earlier owners are fenced."""
        self.state.now_ms = now_ms
        open_shard(self.state, shard, epoch, records)

    def fenced(self, now_ms: int, shard: int, epoch: int) -> None:
        """Drop a shard that a later epoch writes."""
        self.state.now_ms = now_ms
        found = self.state.shards.get(shard)
        if found is not None and found.epoch == epoch:
            drop_shard(self.state, shard, "fenced")

    def appended(
        self, now_ms: int, shard: int, epoch: int, sequence: int, outcome: AppendOutcome
    ) -> None:
        """Take the outcome of an append."""
        self.state.now_ms = now_ms
        if outcome is AppendOutcome.FENCED:
            self.fenced(now_ms, shard, epoch)
            return
        found = self.state.shards.get(shard)
        if found is not None and found.epoch == epoch:
            found.appended(sequence, outcome, now_ms)

    def leave(self, now_ms: int) -> None:
        """Drop all shards whose records are all in the log."""
        self.state.now_ms = now_ms
        for number, shard in list(self.state.shards.items()):
            if shard.idle or shard.phase is not ShardPhase.OPEN:
                drop_shard(self.state, number, "leaving")

    def declare(self, now_ms: int, declared: Declared) -> None:
        """Take the operators' declarations."""
        self.state.now_ms = now_ms
        self.state.declared = declared

    def agent_connected(self, now_ms: int, name: str, incarnation: int) -> None:
        """Note a new link of an agent."""
        self.state.now_ms = now_ms
        agent_info = self.state.agents.setdefault(name, AgentInfo(name))
        agent_info.link_opened(incarnation, now_ms)
        self.state.note("agent connected", agent=name, incarnation=incarnation)

    def agent_lost(self, now_ms: int, name: str) -> None:
        """Note that an agent's link has ended."""
        self.state.now_ms = now_ms
        agent_info = self.state.agents.get(name)
        if agent_info is not None:
            agent_info.link_closed()
            self.state.health.unanswered(name)
            self.state.note(
                "agent lost", agent=name, tasks=len(agent_info.assigned_tasks)
            )

    def agent_said(self, now_ms: int, name: str, content: Any) -> None:
        """Take a message of a connected agent."""
        self.state.now_ms = now_ms
        agent_info = self.state.agents[name]
        AGENT_HANDLERS[type(content)](self.state, agent_info, content)

    def peers_have(self, backlogs: list[Backlog]) -> None:
        """Take what waits at the other entries."""
        self.state.peer_backlogs = backlogs

    def backlog(self) -> Backlog:
        """Return what waits at this entry."""
        counts: Counter[str] = Counter()
        for shard in (*self.state.shards.values(), self.state.volatile):
            for job in shard.open_jobs.values():
                if job.state is JobState.QUEUED:
                    counts[job.spec.policy.queue] += 1
        work = {name: work for name, work in self.state.waiting.cpu_ms.items() if work}
        return Backlog(dict(counts), work)
