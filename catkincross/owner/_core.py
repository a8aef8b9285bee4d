"""Core of the owner: takes events and returns effects, without clocks or sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container
from typing import Any

from ..dispatch import PeerLoad, choose_forwarding, latest_start_ms
from ..jobs import AppendOutcome, Job, JobAccepted, JobRecord, JobSpec, JobState
from ..operations import Declarations
from ..peers import Backlog, VolatileJobs
from . import (
    _due_steps as _due_steps,
    _lost_agents as _lost_agents,
    _placement as _placement,
    _retention as _retention,
)
from ._agents import AgentInfo
from ._effects import Effect
from ._limits import OwnerLimits
from ._lost_entry_runs import lost_runs_ended
from ._recovery import (
    assign_shards,
    check_membership,
    drop_shard,
    open_shard,
)
from ._requests import cancel, job_state, submit
from ._shard import ShardPhase
from ._state import AGENT_CONNECT_MS, AGENT_HANDLERS, OWNER_SYSTEMS, OwnerState
from ._volatile import abandon, give_up_all, submit_volatile
from ._volatile_shard import VolatileChange, VolatileShard
from ._wall_clock import WallClock

# Longest time between two steps if no event comes.
MAX_STEP_INTERVAL_MS = 100
# Age up to which a backlog is used again instead of counting all open jobs.
BACKLOG_AGE_MS = 100
# A longer time between two steps means that the process or its host was paused.
PAUSE_MS = 250
# Changes of the wall-clock offset up to this are not logged.
CLOCK_STEP_LOG_MS = 50


class OwnerCore:
    """Makes all decisions on the jobs of one entry: its shards and its volatile jobs.

    Most methods record one event, with the time in milliseconds on a monotonic clock.
    `step` runs the systems and returns the effects since the last step.

    Args:
        name: Name of the entry.
        limits: Settings of the owner.
        incarnation: Number that differs between two starts of the process.

    Attributes:
        state: State of the owner.
        wall_clock: Time of day of the host without its short-lived steps.
        leaving: Whether the entry shuts down, and takes no jobs from other entries.
    """

    def __init__(self, name: str, limits: OwnerLimits, incarnation: int) -> None:
        volatile = VolatileShard.for_process(incarnation)
        self.state = OwnerState(name, limits, volatile)
        self.wall_clock = WallClock()
        self.leaving = False
        self._backlog = (-BACKLOG_AGE_MS, Backlog({}, {}))
        self._stepped_ms: int | None = None

    def update_limits(self, limits: OwnerLimits) -> None:
        """Replace the settings; the number of shards must stay the same."""
        self.state.limits = limits

    def step(self, now_ms: int) -> list[Effect]:
        """Run all systems, and return the effects since the last step."""
        paused_ms = now_ms - (self._stepped_ms or now_ms)
        self._stepped_ms = self.state.now_ms = now_ms
        if paused_ms > PAUSE_MS:
            self.state.note("resumed", paused_ms=paused_ms)
            if now_ms >= self.state.reconnect_until_ms:
                self.state.reconnect_until_ms = now_ms + AGENT_CONNECT_MS
        if paused_ms >= self.state.limits.volatile_expiry_ms:
            # Another entry may have begun the jobs meanwhile.
            give_up_all(self.state, "entry was paused")
        if self.state.started_ms is None:
            self.state.started_ms = now_ms
        for _, system in OWNER_SYSTEMS:
            try:
                system(self.state)
            except Exception as error:
                # The other systems still run, so that leases and answers go out.
                self.state.note(
                    "system failed", name=system.__name__, error=repr(error)
                )
        effects, self.state.effects = self.state.effects, []
        return effects

    def next_step_ms(self) -> int:
        """Return the time of the next step if no event comes before it."""
        due_ms = self.state.now_ms + MAX_STEP_INTERVAL_MS
        for shard in self.state.shards.values():
            if shard.flush_at_ms is not None:
                due_ms = min(due_ms, shard.flush_at_ms)
        if self.state.due_jobs:
            left_ms = self.state.due_jobs[0][0] - self.state.wall_ms
            due_ms = min(due_ms, self.state.now_ms + max(left_ms, 0))
        return due_ms

    def submit(
        self,
        now_ms: int,
        request: Any,
        spec: JobSpec,
        *,
        accepted_ms: int = 0,
        arrived_ms: int | None = None,
        timeout_ms: int = 0,
    ) -> None:
        """Submit a job; the answer comes as a `Reply`.

        A stored job is answered when it is accepted, a volatile one when it has ended.

        Args:
            now_ms: Current time on the process's clock, in milliseconds.
            request: The request to answer; any value that identifies it.
            spec: The job.
            accepted_ms: Time of day of the acceptance, in milliseconds since 1970; for
                stored jobs.
            arrived_ms: Time at which the request arrived, on the process's clock; for
                volatile jobs. None for now.
            timeout_ms: How long the client account waits from the arrival on, in
                milliseconds; for volatile jobs.
        """
        self.state.now_ms = now_ms
        if spec.volatile:
            arrived_ms = now_ms if arrived_ms is None else arrived_ms
            submit_volatile(self.state, request, spec, arrived_ms, timeout_ms)
        else:
            submit(self.state, request, spec, accepted_ms)

    def abandon(self, now_ms: int, request: Any, job_id: str) -> None:
        """Remove a request for a volatile job whose client account has left."""
        self.state.now_ms = now_ms
        abandon(self.state, request, job_id)

    def volatile_requests(self, is_wanted: Callable[[Any], bool]) -> list[Any]:
        """Return the requests for volatile jobs that have a property.

        Args:
            is_wanted: Whether a request has the property.

        Returns:
            Pairs of request and job ID.
        """
        volatile = self.state.volatile
        found = [
            (request, job_id)
            for job_id, requests in volatile.requests.items()
            for request in requests
        ]
        found += [
            (resubmission.request, job_id)
            for job_id, resubmissions in volatile.resubmissions.items()
            for resubmission in resubmissions
        ]
        return [pair for pair in found if is_wanted(pair[0])]

    def take_volatile_changes(self, claimed: Container[str] = ()) -> VolatileJobs:
        """Return the volatile jobs that have begun or ended since the last call.

        A job that ended and was begun again counts as begun.

        Args:
            claimed: Jobs that this entry is claiming. Their ends are kept back, since
                they would remove the claim at the entries that know of it.
        """
        changes, self.state.volatile_changes = self.state.volatile_changes, {}
        jobs = VolatileJobs([], [])
        for job_id, change in changes.items():
            if job_id in claimed and change is not VolatileChange.BEGUN:
                self.state.volatile_changes[job_id] = change
            else:
                getattr(jobs, change.value).append(job_id)
        return jobs

    @property
    def has_begun_volatile_jobs(self) -> bool:
        """Whether a volatile job has begun of which other entries do not know yet."""
        return VolatileChange.BEGUN in self.state.volatile_changes.values()

    def has_volatile_job(self, job_id: str) -> bool:
        """Whether a volatile job is known; workers may have runs of it."""
        return job_id in self.state.volatile.jobs

    def answers_volatile_job(self, job_id: str) -> bool:
        """Whether a volatile job is open here, or has ended with an answer."""
        found = self.state.volatile.jobs.get(job_id)
        return found is not None and found.final_state is not JobState.CANCELLED

    def record_dropped_job(self, job_id: str) -> None:
        """Announce that a volatile job was not begun that another entry asked for."""
        if job_id not in self.state.volatile.jobs:
            self.state.volatile_changes.setdefault(job_id, VolatileChange.DROPPED)

    def lost_runs_ended(self, now_ms: int, since_ms: int) -> bool:
        """Whether all agents have told that no run of a lost entry goes on.

        Args:
            now_ms: Current time on the process's clock, in milliseconds.
            since_ms: Time before which the entries were lost, on the same clock.
        """
        self.state.now_ms = now_ms
        return lost_runs_ended(self.state, since_ms)

    def volatile_job_ids(self) -> list[str]:
        """Return the IDs of all known volatile jobs; workers may have runs of them."""
        return list(self.state.volatile.jobs)

    def job_state(self, now_ms: int, request: Any, job_id: str) -> None:
        """Query the state of a stored job; the answer comes as a `Reply`."""
        self.state.now_ms = now_ms
        job_state(self.state, request, job_id)

    def cancel(self, now_ms: int, request: Any, job_id: str) -> None:
        """Cancel a stored job; the answer comes as a `Reply`."""
        self.state.now_ms = now_ms
        cancel(self.state, request, job_id)

    def update_shard_assignment(
        self, now_ms: int, sent_ms: int, shards: list[int], generation: int
    ) -> None:
        """Process the group's answer to a join: claim new shards, drop others.

        Args:
            now_ms: Current time on the process's clock, in milliseconds.
            sent_ms: Time at which the join was sent, on the same clock.
            shards: Numbers of the shards assigned to this entry.
            generation: Generation of the group; it becomes the epoch of new claims.
        """
        self.state.now_ms = now_ms
        self.record_store_contact(sent_ms)
        check_membership(self.state, sent_ms, generation)
        assign_shards(self.state, shards, generation)

    def update_wall_clock(self, now_ms: int, wall_ms: int) -> None:
        """Update the wall-clock offset from readings of both clocks.

        Args:
            now_ms: Current time on the process's clock, in milliseconds.
            wall_ms: Time of day of the host, in milliseconds since 1970.
        """
        offset_ms = self.wall_clock.offset_ms(now_ms, wall_ms)
        if abs(offset_ms - self.state.wall_offset_ms) > CLOCK_STEP_LOG_MS:
            self.state.note("time of day", offset_ms=offset_ms, wall_ms=wall_ms)
        self.state.wall_offset_ms = offset_ms

    def record_store_contact(self, sent_ms: int) -> None:
        """Record that a call to the store, sent at `sent_ms`, has succeeded."""
        self.state.store_contact_ms = max(self.state.store_contact_ms, sent_ms)

    def handle_shard_claimed(
        self, now_ms: int, shard: int, epoch: int, records: list[JobRecord]
    ) -> None:
        """Open a shard with its records, read after its earlier owners were fenced."""
        self.state.now_ms = now_ms
        open_shard(self.state, shard, epoch, records)

    def handle_shard_fenced(self, now_ms: int, shard: int, epoch: int) -> None:
        """Drop a shard that the owner of a later epoch has fenced.

        Nothing happens if this entry holds the shard under another epoch by now.
        """
        self.state.now_ms = now_ms
        found = self.state.shards.get(shard)
        if found is not None and found.epoch == epoch:
            drop_shard(self.state, shard, "fenced")

    def handle_append_outcome(
        self, now_ms: int, shard: int, epoch: int, sequence: int, outcome: AppendOutcome
    ) -> None:
        """Process the outcome of an append, unless its shard was dropped meanwhile."""
        self.state.now_ms = now_ms
        if outcome is AppendOutcome.FENCED:
            self.handle_shard_fenced(now_ms, shard, epoch)
            return
        found = self.state.shards.get(shard)
        if found is not None and found.epoch == epoch:
            found.handle_append_outcome(sequence, outcome, now_ms)

    def release_idle_shards(self, now_ms: int) -> None:
        """Drop all shards except open ones with records that are not durable yet.

        Called repeatedly while the entry leaves, until no shard is left.
        """
        self.state.now_ms = now_ms
        for number, shard in list(self.state.shards.items()):
            if shard.idle or shard.phase is not ShardPhase.OPEN:
                drop_shard(self.state, number, "leaving")

    def update_declarations(self, now_ms: int, declarations: Declarations) -> None:
        """Replace the declarations of the operators that are in force."""
        self.state.now_ms = now_ms
        self.state.declarations = declarations

    def handle_agent_connected(self, now_ms: int, name: str, incarnation: int) -> None:
        """Record a new link of an agent."""
        self.state.now_ms = now_ms
        agent_info = self.state.agents.setdefault(name, AgentInfo(name))
        agent_info.link_opened(incarnation, now_ms)
        self.state.note("agent connected", agent=name, incarnation=incarnation)

    def handle_agent_lost(self, now_ms: int, name: str) -> None:
        """Record that an agent's link has closed.

        Its tasks stay assigned until its leases must have ended.
        """
        self.state.now_ms = now_ms
        agent_info = self.state.agents.get(name)
        if agent_info is not None:
            agent_info.link_closed(now_ms)
            self.state.note(
                "agent lost", agent=name, tasks=len(agent_info.assigned_tasks)
            )

    def handle_agent_message(self, now_ms: int, name: str, content: Any) -> None:
        """Process a message of a connected agent with the handler of its class."""
        self.state.now_ms = now_ms
        agent_info = self.state.agents[name]
        AGENT_HANDLERS[type(content)](self.state, agent_info, content)

    def update_peer_backlogs(self, backlogs: list[Backlog]) -> None:
        """Replace the backlogs of the other entries."""
        self.state.peer_backlogs = backlogs

    def backlog(self) -> Backlog:
        """Return the backlog: queued jobs by queue, and waiting work by service.

        It may be up to 100 ms old, since every other entry asks for it twice a second.
        """
        counted_ms, backlog = self._backlog
        if self.state.now_ms - counted_ms >= BACKLOG_AGE_MS:
            backlog = self._count_backlog()
            self._backlog = self.state.now_ms, backlog
        return backlog

    def _count_backlog(self) -> Backlog:
        jobs_by_queue: Counter[str] = Counter()
        for shard in (*self.state.shards.values(), self.state.volatile):
            for job in shard.open_jobs.values():
                if job.state is JobState.QUEUED:
                    jobs_by_queue[job.spec.policy.queue] += 1
        work_by_service = {
            service: work
            for service in self.state.waiting.work_by_service
            if (work := self.state.placeable_work(service))
        }
        return Backlog(dict(jobs_by_queue), work_by_service, self._expected_waits())

    def _expected_waits(self) -> dict[str, int]:
        """Return the expected wait by service, in milliseconds, where it is known."""
        if self.leaving:
            return {}
        return {
            service: self.state.backlog_wait_ms(service)
            for service in self.state.declarations.services
            if self.state.capacity(service) > 0
        }

    def choose_forwarding(
        self, now_ms: int, spec: JobSpec, data_centre: str, peers: list[PeerLoad]
    ) -> str | None:
        """Return the address of the entry that should run a new volatile job.

        Args:
            now_ms: Current time on the process's clock, in milliseconds.
            spec: The job.
            data_centre: Data centre of this entry.
            peers: Load of the other entries that accept jobs of the service.

        Returns:
            None if the job should run here.
        """
        self.state.now_ms = now_ms
        job = Job.from_record(JobAccepted(spec, 0, 0), now_ms)
        if job.exempt_from_aging:
            return None
        return choose_forwarding(
            spec.id,
            wait_ms=self.state.backlog_wait_ms(spec.policy.service),
            slack_ms=latest_start_ms(job, self.state.estimates) - now_ms,
            data_centre=data_centre,
            peers=peers,
        )
