"""Tables of the owner, and the registries of what runs over them."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import attrs

from ..dispatch import (
    AgentHealth,
    Estimates,
    WaitingQueue,
    capacity_share,
    expected_capacity,
    expected_wait_ms,
)
from ..jobs import Job, JobState, Task, TaskState, shard_of
from ..operations import Declared
from ..peers import Backlog
from ._effects import Effect, Note, Tell
from ._fleet import AgentInfo
from ._shard import Shard, ShardPhase, VolatileShard

# After the start of an entry most agents connect within this time, in milliseconds:
# they look for entries every 200 ms, and a process needs up to 530 ms to start.
AGENT_CONNECT_MS = 800
# A worker registers at an agent that has just started within this time, in
# milliseconds: its heartbeats are 1,500 ms apart.
WORKER_REGISTER_MS = 1_600


@attrs.frozen
class OwnerLimits:
    """Times of the owner, in milliseconds unless named otherwise.

    Attributes:
        shards: Number of shards.
        authority_ms: How long after the last contact with the store an owner may
            start tasks and keep them; a new owner waits this long for agents that it
            cannot ask.
        silence_ms: How long an agent keeps tasks of an owner that is silent.
        volatile_silence_ms: The same for the volatile jobs of an entry.
        member_ttl_ms: Time after which the group drops a silent member.
        lapse_ms: Longest time from the end of a lease until the worker has ended its
            tasks.
        status_ms: How long an ended job may be asked for.
        keep_ms: How long the log keeps a record.
        remote_factor: Longer run time away from the rack of a task's data.
    """

    shards: int = 16
    # A total outage of the store longer than this stops accepted work; the tasks of
    # the users' jobs are shorter.
    authority_ms: int = 3_000
    # Above the time in which a shard gets a new owner (1,000 ms until the group drops
    # a member, 250 ms until the next join, and the claim), so that tasks survive it.
    silence_ms: int = 2_000
    # Client accounts send a volatile job again 1,300 ms after a broken answer; its
    # runs of the lost entry have to be gone by then.
    volatile_silence_ms: int = 800
    member_ttl_ms: int = 1_000
    # Lease of the worker (1,000 ms, with a clock that is 2 % slow), a stop of 50 ms,
    # and 300 ms in which the agent waits for stops to be carried out.
    lapse_ms: int = 1_450
    status_ms: int = 120_000
    keep_ms: int = 300_000
    remote_factor: float = 1.5


@attrs.define(eq=False)
class OwnerState:
    """All that an owner knows.

    Attributes:
        name: Name of the entry.
        limits: Times.
        volatile: Volatile jobs of this entry.
        now_ms: Time of the step that runs.
        store_contact_ms: When the last successful call to the store was sent.
        joined_ms: When the last successful join was sent.
        generation: Generation of the group at that join.
        started_ms: When the first event came.
        next_placement_ms: When waiting tasks are tried again if no room grows.
        next_deferral_ms: When the jobs to defer are chosen again.
        retry_placement: Whether a waiting task may fit that did not fit before.
        volatile_begun: Volatile jobs begun since other entries were told.
        volatile_ended: Volatile jobs ended since other entries were told.
        peer_backlogs: What waits at each other entry, up to half a second old.
        capacity_cache: Time and capacity last computed, by service.
        wall_offset_ms: Time of day minus the owner's clock.
        due_jobs: Heap of times of day at which a step of a job becomes due.
    """

    name: str
    limits: OwnerLimits
    volatile: VolatileShard
    now_ms: int = 0
    store_contact_ms: int = -1_000_000
    declared: Declared = attrs.field(factory=Declared)
    shards: dict[int, Shard] = attrs.field(factory=dict)
    agents: dict[str, AgentInfo] = attrs.field(factory=dict)
    waiting: WaitingQueue = attrs.field(factory=WaitingQueue)
    estimates: Estimates = attrs.field(factory=Estimates)
    health: AgentHealth = attrs.field(factory=AgentHealth)
    effects: list[Effect] = attrs.field(factory=list)
    joined_ms: int = -1_000_000
    generation: int = 0
    next_upkeep_ms: int = 0
    next_deadline_check_ms: int = 0
    started_ms: int | None = None
    next_placement_ms: int = 0
    next_deferral_ms: int = 0
    retry_placement: bool = False
    volatile_begun: list[str] = attrs.field(factory=list)
    volatile_ended: list[str] = attrs.field(factory=list)
    peer_backlogs: list[Backlog] = attrs.field(factory=list)
    capacity_cache: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    wall_offset_ms: int = 0
    due_jobs: list[tuple[int, str]] = attrs.field(factory=list)

    @property
    def wall_ms(self) -> int:
        """Time of day in milliseconds since 1970."""
        return self.now_ms + self.wall_offset_ms

    @property
    def has_authority(self) -> bool:
        """Whether tasks may be started and requests answered."""
        return self.now_ms < self.store_contact_ms + self.limits.authority_ms

    @property
    def is_member(self) -> bool:
        """Whether no other entry can own a shard of this one yet."""
        return self.now_ms < self.joined_ms + self.limits.member_ttl_ms

    def note(self, event: str, **fields: Any) -> None:
        """Write a log line."""
        self.effects.append(Note(event, fields))

    def tell(self, agent_name: str, content: Any) -> None:
        """Send a message to an agent."""
        self.effects.append(Tell(agent_name, content))

    def shard_for(self, job_id: str) -> Shard | None:
        """Return the shard of a job if this entry owns it."""
        if job_id in self.volatile.jobs:
            return self.volatile
        return self.shards.get(shard_of(job_id, self.limits.shards))

    def find_task(self, name: str) -> tuple[Shard, Task] | None:
        """Return the shard and the task of a task's name, if both are here."""
        try:
            job_id, occurrence, step, index = name.split(".")
            occurrence_number, position = int(occurrence), (int(step), int(index))
        except ValueError:
            return None
        shard = self.shard_for(job_id)
        if shard is None or shard.phase is not ShardPhase.OPEN:
            return None
        job = shard.jobs.get(job_id)
        if job is None:
            return None
        task = job.task(
            occurrence_number * len(job.spec.steps) + position[0], position[1]
        )
        return (shard, task) if task is not None else None

    def owns_task(self, task_name: str) -> bool:
        """Whether this entry has the shard of a task open."""
        shard = self.shard_for(task_name.partition(".")[0])
        return shard is not None and shard.phase is ShardPhase.OPEN

    def enqueue_ready_tasks(self, shard: Shard, job: Job) -> None:
        """Let the tasks of a job wait whose turn has come."""
        if job.state_end is not None:
            return
        if shard.unresolved and job.epoch < shard.epoch:
            return
        for step_number, tasks in enumerate(job.tasks):
            if job.left[step_number] == 0 or not job.step_ready(
                step_number, self.wall_ms
            ):
                continue
            for task in tasks:
                if task.state is TaskState.WAITING:
                    self.retry_placement = True
                    self.waiting.add(task, self.estimates, self.now_ms)
        due_ms = job.next_due_ms(self.wall_ms)
        if due_ms is not None and job.queued_due_ms != due_ms:
            job.queued_due_ms = due_ms
            heapq.heappush(self.due_jobs, (due_ms, job.spec.id))

    def requeue(self, task: Task) -> None:
        """Let a task wait again whose run is known to have ended."""
        agent_info = self.agents.get(task.agent)
        if agent_info is not None:
            agent_info.assigned_tasks.discard(task)
        if task.state is not TaskState.ASSIGNED:
            return
        task.release()
        if task.job.state_end is not None:
            self.close_volatile_job(task.job)
            return
        shard = self.shard_for(task.job.spec.id)
        if shard is not None:
            self.enqueue_ready_tasks(shard, task.job)

    def capacity(self, service: str) -> float:
        """Return this entry's part of a service's capacity, in thousandths of a core.

        It is 0 while it is not known: just after the start, and without workers. It is
        computed once in a millisecond, since many jobs are judged by it in one step.
        """
        computed_ms, value = self.capacity_cache.get(service, (-1, 0.0))
        if computed_ms != self.now_ms:
            value = self._compute_capacity(service)
            self.capacity_cache[service] = (self.now_ms, value)
        return value

    def _compute_capacity(self, service: str) -> float:
        if self.now_ms - (self.started_ms or 0) < AGENT_CONNECT_MS:
            return 0.0
        ready_capacity = 0.0
        ready_agents = unregistered = 0
        own_work = self.waiting.cpu_ms.get(service, 0.0)
        peer_work = [other.work.get(service, 0.0) for other in self.peer_backlogs]
        for agent_info in self.agents.values():
            if agent_info.state is not None and agent_info.state.ready:
                ready_agents += 1
                ready_capacity += self._agent_capacity(
                    agent_info, service, own_work, peer_work
                )
            elif (
                agent_info.expects_worker
                and self.now_ms - agent_info.connected_ms < WORKER_REGISTER_MS
            ):
                unregistered += 1
        return expected_capacity(ready_capacity, ready_agents, unregistered)

    def _agent_capacity(
        self,
        agent_info: AgentInfo,
        service: str,
        own_work: float,
        peer_work: list[float],
    ) -> float:
        if agent_info.profile is None or not self.may_serve(agent_info, service):
            return 0.0
        entries = agent_info.profile.offered_to
        return agent_info.profile.cpu * capacity_share(own_work, peer_work, entries)

    def may_serve(self, agent_info: AgentInfo, service: str) -> bool:
        """Whether an agent's worker is of a service and not evacuated."""
        if agent_info.profile is None or not agent_info.serves(service):
            return False
        return agent_info.profile.data_centre not in self.declared.evacuated

    def backlog_wait_ms(self, service: str) -> int:
        """Return when the work that waits now is expected to have been started."""
        waiting = self.waiting.cpu_ms.get(service, 0.0)
        return int(expected_wait_ms(waiting, self.capacity(service)))

    def close_volatile_job(self, job: Job) -> None:
        """Forget a volatile job that was given up, once no worker has a run of it."""
        if self.volatile.jobs.get(job.spec.id) is not job:
            return
        if any(task.state is TaskState.ASSIGNED for task in job.all_tasks()):
            return
        self.volatile_ended.append(job.spec.id)
        if job.state_end is not JobState.CANCELLED:
            return
        self.volatile.forget(job.spec.id)
        for resubmit in self.volatile.resubmissions.pop(job.spec.id, []):
            resubmit()

    def assign(self, task: Task, agent_info: AgentInfo, run: int) -> None:
        """Note that an agent has a run, or may have it."""
        self.waiting.remove(task)
        previous_agent = self.agents.get(task.agent)
        if previous_agent is not None:
            previous_agent.assigned_tasks.discard(task)
        task.state = TaskState.ASSIGNED
        task.agent = agent_info.name
        task.run = run
        task.sent_ms = self.now_ms
        task.progress_ms = self.now_ms
        task.percent = 0
        task.stopping = False
        task.order = 0
        task.job.sent_runs += 1
        agent_info.assigned_tasks.add(task)


OWNER_SYSTEMS: list[tuple[int, Callable[[OwnerState], None]]] = []
AGENT_HANDLERS: dict[type[Any], Callable[[OwnerState, AgentInfo, Any], None]] = {}


def owner_system(*, order: int) -> Any:
    """Register a function that runs over the tables in each step."""

    def add(function: Any) -> Any:
        OWNER_SYSTEMS.append((order, function))
        OWNER_SYSTEMS.sort(key=lambda system: system[0])
        return function

    return add


def agent_handler(kind: type[Any]) -> Any:
    """Register the handler of an agent's message."""

    def add(function: Any) -> Any:
        AGENT_HANDLERS[kind] = function
        return function

    return add
