"""State of the owner, and the registries of its systems and message handlers."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import attrs

from ..dispatch import (
    AgentHealth,
    AgentResources,
    Estimates,
    GangReservations,
    WaitingQueue,
    capacity_share,
    expected_capacity,
    expected_wait_ms,
)
from ..jobs import Job, JobState, Task, TaskState, shard_of
from ..operations import Declarations
from ..peers import Backlog
from ._agents import AgentInfo
from ._effects import Effect, Note, SendToAgent
from ._limits import OwnerLimits
from ._shard import Shard, ShardPhase
from ._volatile_shard import VolatileChange, VolatileShard

# Most agents connect within this time after an entry's first step, or after a pause of
# its process: they look for entries every 200 ms, a process needs up to 530 ms to
# start, and a link that has closed is opened again after 500 ms.
AGENT_CONNECT_MS = 800
# A worker registers at a restarted agent within this time: its heartbeats are 1,500 ms
# apart.
WORKER_REGISTER_MS = 1_600
# Age up to which the waiting work that fits on no worker is used again.
OVERSIZE_WORK_AGE_MS = 50


@attrs.define(eq=False)
class OwnerState:
    """State of the owner of one entry.

    Times are on the owner's monotonic clock, in milliseconds, unless they are said to
    be times of day.

    Attributes:
        name: Name of the entry.
        limits: Settings of the owner.
        volatile: Volatile jobs of this entry.
        now_ms: Time of the event or step that is processed.
        store_contact_ms: Time at which the last successful call to the store was sent.
        declarations: Declarations of the operators that are in force.
        shards: Shards of this entry, by number.
        agents: Agents that were ever connected, by name.
        waiting: Tasks that wait for a worker, in the order of placement.
        estimates: Learned run times.
        health: Failures and ejections of workers.
        gang_reservations: When workers are reserved for gangs.
        effects: Effects since the last step.
        joined_ms: Time at which the last successful join was sent.
        generation: Generation of the group at that join.
        next_retention_check_ms: Time of the next search for jobs to forget and records
            to write again.
        next_seek_ms: Time at which unresolved agents are next sought.
        next_deadline_check_ms: Time of the next check of the volatile jobs' deadlines.
        reconnect_until_ms: Time until which agents may reconnect after this process was
            paused, before their runs of stored jobs are given up.
        started_ms: Time of the first step; None before it.
        next_placement_ms: Time of the next placement pass if no event asks for one.
        next_deferral_ms: Earliest time at which jobs are deferred again.
        retry_placement: Whether resources or tasks were added since the last placement
            pass, so that a task may fit now.
        volatile_changes: Whether a volatile job goes on, by ID, for those that began or
            ended since other entries were notified.
        peer_backlogs: Backlog of each other entry, up to half a second old.
        oversize_work_cache: Time of the computation, and waiting work that fits on no
            worker in millicore-milliseconds, by service.
        capacity_cache: Time of the computation, and capacity in millicores, by service.
        wall_offset_ms: Time of day, in milliseconds since 1970, minus the monotonic
            clock.
        due_jobs: Heap of due time, in milliseconds since 1970, and ID of jobs with a
            scheduled step.
    """

    name: str
    limits: OwnerLimits
    volatile: VolatileShard
    now_ms: int = 0
    store_contact_ms: int = -1_000_000
    declarations: Declarations = attrs.field(factory=Declarations)
    shards: dict[int, Shard] = attrs.field(factory=dict)
    agents: dict[str, AgentInfo] = attrs.field(factory=dict)
    waiting: WaitingQueue = attrs.field(factory=WaitingQueue)
    estimates: Estimates = attrs.field(factory=Estimates)
    health: AgentHealth = attrs.field(factory=AgentHealth)
    gang_reservations: GangReservations = attrs.field(factory=GangReservations)
    effects: list[Effect] = attrs.field(factory=list)
    joined_ms: int = -1_000_000
    generation: int = 0
    next_retention_check_ms: int = 0
    next_seek_ms: int = 0
    next_deadline_check_ms: int = 0
    reconnect_until_ms: int = 0
    started_ms: int | None = None
    next_placement_ms: int = 0
    next_deferral_ms: int = 0
    retry_placement: bool = False
    volatile_changes: dict[str, VolatileChange] = attrs.field(factory=dict)
    peer_backlogs: list[Backlog] = attrs.field(factory=list)
    oversize_work_cache: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    capacity_cache: dict[str, tuple[int, float]] = attrs.field(factory=dict)
    wall_offset_ms: int = 0
    due_jobs: list[tuple[int, str]] = attrs.field(factory=list)

    @property
    def wall_ms(self) -> int:
        """Time of day in milliseconds since 1970."""
        return self.now_ms + self.wall_offset_ms

    @property
    def has_authority(self) -> bool:
        """Whether stored jobs may be started and requests for them answered."""
        return self.now_ms < self.store_contact_ms + self.limits.authority_ms

    @property
    def is_member(self) -> bool:
        """Whether no other entry can have been assigned this entry's shards yet."""
        return self.now_ms < self.joined_ms + self.limits.member_ttl_ms

    def note(self, event: str, **fields: Any) -> None:
        """Add the effect that writes an event to the log."""
        self.effects.append(Note(event, fields))

    def send_to_agent(self, agent_name: str, content: Any) -> None:
        """Add the effect that sends a message to an agent."""
        self.effects.append(SendToAgent(agent_name, content))

    def shard_for(self, job_id: str) -> Shard | None:
        """Return the shard that holds a job, or None if another entry owns it."""
        if job_id in self.volatile.jobs:
            return self.volatile
        return self.shards.get(shard_of(job_id, self.limits.shards))

    def find_task(self, name: str) -> tuple[Shard, Task] | None:
        """Return a task and its shard by the task's name.

        Returns:
            None if the name is malformed, the shard is not open here, or the job or
            task is not known.
        """
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
        """Whether the shard of a task is open at this entry."""
        shard = self.shard_for(task_name.partition(".")[0])
        return shard is not None and shard.phase is ShardPhase.OPEN

    def enqueue_ready_tasks(self, shard: Shard, job: Job) -> None:
        """Queue the waiting tasks of each step that is due and waits for no other.

        Jobs that earlier owners accepted are held back until all agents that may hold
        runs of them are resolved. The next due time of a scheduled job is added to
        `due_jobs`.
        """
        if job.final_state is not None:
            return
        if shard.unresolved and job.epoch < shard.epoch:
            return
        for step_number, tasks in enumerate(job.tasks):
            if job.remaining_tasks[step_number] == 0 or not job.step_ready(
                step_number, self.wall_ms
            ):
                continue
            for task in tasks:
                if task.state is TaskState.WAITING:
                    self.retry_placement = True
                    self.waiting.add(task, self.estimates, self.now_ms)
        due_ms = job.next_due_ms(self.wall_ms)
        if due_ms is not None and job.scheduled_due_ms != due_ms:
            job.scheduled_due_ms = due_ms
            heapq.heappush(self.due_jobs, (due_ms, job.spec.id))

    def forget_runs(self, job: Job) -> None:
        """Remove the tasks of a job from the queue and from the agents that have runs.

        The job is no longer known here afterwards.
        """
        for task in job.all_tasks():
            self.waiting.remove(task)
            agent_info = self.agents.get(task.agent)
            if agent_info is not None:
                agent_info.assigned_tasks.discard(task)

    def requeue(self, task: Task) -> None:
        """Queue a task again after a run that did not complete it."""
        agent_info = self.agents.get(task.agent)
        if agent_info is not None:
            agent_info.assigned_tasks.discard(task)
        if task.state is not TaskState.ASSIGNED:
            return
        task.release()
        if task.job.final_state is not None:
            self.close_volatile_job(task.job)
            return
        shard = self.shard_for(task.job.spec.id)
        if shard is not None:
            self.enqueue_ready_tasks(shard, task.job)

    def capacity(self, service: str) -> float:
        """Return this entry's share of a service's capacity, in millicores.

        The capacity is 0 while it is not known: just after the start, and without
        workers. It is computed once per millisecond, since the admission of many jobs
        in one step depends on it.
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
        ready_agents = pending_agents = 0
        own_work = self.placeable_work(service)
        peer_work = [
            other.waiting_work.get(service, 0.0) for other in self.peer_backlogs
        ]
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
                pending_agents += 1
        return expected_capacity(ready_capacity, ready_agents, pending_agents)

    def _agent_capacity(
        self,
        agent_info: AgentInfo,
        service: str,
        own_work: float,
        peer_work: list[float],
    ) -> float:
        if agent_info.profile is None or not self.may_serve(agent_info, service):
            return 0.0
        entry_count = agent_info.profile.offered_to
        return agent_info.profile.cpu * capacity_share(own_work, peer_work, entry_count)

    def accepts_tasks(self, agent_info: AgentInfo) -> bool:
        """Whether the health of an agent's worker lets it get a task now."""
        return self.health.accepts_tasks(
            agent_info.name, self.now_ms, agent_info.has_run
        )

    def may_serve(self, agent_info: AgentInfo, service: str) -> bool:
        """Whether an agent's worker runs a service outside evacuated data centres."""
        if agent_info.profile is None or not agent_info.serves(service):
            return False
        return agent_info.profile.data_centre not in self.declarations.evacuated

    def backlog_wait_ms(self, service: str) -> int:
        """Return the expected time until all waiting work of a service has started.

        The time is in milliseconds; 0 while the capacity is not known.
        """
        waiting = self.placeable_work(service)
        return int(expected_wait_ms(waiting, self.capacity(service)))

    def placeable_work(self, service: str) -> float:
        """Return the waiting work of a service, in millicore-milliseconds.

        Work that would not fit on any known worker even if idle is left out: nothing
        has to wait for it. It is determined at most every `OVERSIZE_WORK_AGE_MS`.
        """
        work = self.waiting.work_by_service.get(service, 0)
        computed_ms, oversize = self.oversize_work_cache.get(service, (-1_000_000, 0))
        if work and self.now_ms - computed_ms >= OVERSIZE_WORK_AGE_MS:
            oversize = self.waiting.oversize_work(service, self.idle_workers(service))
            self.oversize_work_cache[service] = self.now_ms, oversize
        return max(work - oversize, 0)

    def idle_workers(self, service: str) -> list[AgentResources]:
        """Return the known workers of a service as if idle, whether ready or not.

        Workers in evacuated data centres are left out.
        """
        serving = (
            info for info in self.agents.values() if self.may_serve(info, service)
        )
        return [worker for info in serving if (worker := info.idle_resources())]

    def close_volatile_job(self, job: Job) -> None:
        """Count a volatile job as ended once no worker has a run of it.

        Nothing happens for stored jobs, and while a worker may have a run. A job that
        was given up is forgotten, and repeated submissions of it are carried out.
        """
        if self.volatile.jobs.get(job.spec.id) is not job:
            return
        if any(task.state is TaskState.ASSIGNED for task in job.all_tasks()):
            return
        if job.final_state is not JobState.CANCELLED:
            self.volatile_changes[job.spec.id] = VolatileChange.ENDED
            return
        may_have_run = job.spec.id in self.volatile.given_up_ms
        self.volatile_changes[job.spec.id] = (
            VolatileChange.GIVEN_UP if may_have_run else VolatileChange.DROPPED
        )
        self.volatile.remember_runs(job.spec.id, job.highest_run, self.now_ms)
        self.volatile.remember_crashes(job, self.now_ms)
        self.volatile.forget(job.spec.id)
        for resubmission in self.volatile.resubmissions.pop(job.spec.id, []):
            resubmission.submit()

    def assign(self, task: Task, agent_info: AgentInfo, run: int) -> None:
        """Assign a task to an agent that has the run, or may have it.

        Args:
            task: The task; it is removed from the queue and from its previous agent.
            agent_info: The agent.
            run: Number of the run.
        """
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
        task.order_number = 0
        task.job.possible_starts += 1
        agent_info.assigned_tasks.add(task)


OWNER_SYSTEMS: list[tuple[int, Callable[[OwnerState], None]]] = []
AGENT_HANDLERS: dict[type[Any], Callable[[OwnerState, AgentInfo, Any], None]] = {}


def owner_system(*, order: int) -> Any:
    """Register a system: a function that each step calls with the owner's state.

    Args:
        order: Position among the systems; lower ones run first.
    """

    def add(function: Any) -> Any:
        OWNER_SYSTEMS.append((order, function))
        OWNER_SYSTEMS.sort(key=lambda system: system[0])
        return function

    return add


def agent_handler(kind: type[Any]) -> Any:
    """Register the handler of a class of messages from agents."""

    def add(function: Any) -> Any:
        AGENT_HANDLERS[kind] = function
        return function

    return add
