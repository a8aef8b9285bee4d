"""State of the dispatch policies of an entry."""

from __future__ import annotations

import attrs

from ..foundation._ids import TaskId
from ..foundation._tables import DueQueue
from ..placement._fit import MemoryEstimates, TaskNeed
from ..protocol._messages import OwnedTask
from ..settings._settings import EntrySettings
from ._ejection import EjectionTracker
from ._estimates import RunTimes, Speeds
from ._health import UpstreamHealth
from ._hedges import EarlierAttempt, Quantile
from ._home_index import HomeIndex
from ._lanes import ResourceLanes
from ._quotas import TeamUsageTable
from ._reserve import InteractiveReservation
from ._retry_budget import RetryBudget
from ._service_slots import ServiceSlots


@attrs.define
class DispatchState:
    """Learned estimates, queues and indexes of an entry.

    Attributes:
        run_times: Run times by service, learned from all results that this entry
            received.
        upstream_speeds: Relative speeds of this home's upstreams by service.
        home_speeds: Relative speeds of homes by service, as this owner observes them.
        services: Upstream slots of this home by service.
        home_queues: Tasks that wait at this home for a slot, by service.
        due_services: Services whose home queue may have a task that can start.
        backlog: Tasks of this owner that are not placed on a home, by service.
        homes: Homes by service, from their last reports to this owner.
        due_backlogs: Services whose backlog may have a task that can be placed.
        task_needs: Resource need of each task that has a slot at this home.
        outdated_agents: Agents whose row in the placement index may be out of date.
        memory: Learned memory use of tasks at this home.
        unfit_homes: Homes that declined a job because none of their upstreams could run
            it, by the job's key hash.
        unplaced_jobs: Key hashes of the jobs that no home can take, by the time of
            their next check.
        teams: Tasks that each team has waiting and running, here and at the peers.
        unanswered_tasks: Number of tasks in jobs that this owner has not answered.
        unanswered_bytes: Payload bytes of the unanswered tasks.
        health: Limits on the use of each upstream, by agent.
        health_due: When the usable slots of an agent next change by time alone, for
            example at the end of a pause or at a ramp step.
        ejections: Ejection state of the upstreams, by service.
        distances_ms: One-way network time to the agents of each data centre, in
            milliseconds.
        services_without_slots: Services that have queued tasks but no usable slot here.
        stall_checks: When each task that was sent to an agent is checked for a stall.
        last_end_ms: When a task last ended at this home, by service.
        retries: Budget for retries of failed requests.
        hedge_budget: Budget for hedges of slow requests.
        delayed_tasks: Tasks in backoff, by the time at which they are placed again.
        hedge_due: When each placed request is hedged if it has no answer.
        earlier_attempts: Earlier attempt of each hedged request.
        latencies: Percentile of the time from placement to answer, in milliseconds, by
            service.
        queue_due_ms: When the home must check its queues again, or None.
        reserve: Reservation of slots that batch tasks leave to interactive ones.
    """

    settings: EntrySettings
    run_times: RunTimes
    upstream_speeds: Speeds
    home_speeds: Speeds
    retries: RetryBudget
    hedge_budget: RetryBudget
    services: dict[str, ServiceSlots] = attrs.field(factory=dict)
    home_queues: dict[str, ResourceLanes[OwnedTask]] = attrs.field(factory=dict)
    due_services: dict[str, None] = attrs.field(factory=dict)
    backlog: dict[str, ResourceLanes[TaskId]] = attrs.field(factory=dict)
    homes: dict[str, HomeIndex] = attrs.field(factory=dict)
    due_backlogs: dict[str, None] = attrs.field(factory=dict)
    task_needs: dict[OwnedTask, TaskNeed] = attrs.field(factory=dict)
    outdated_agents: dict[str, None] = attrs.field(factory=dict)
    memory: MemoryEstimates = attrs.field(factory=MemoryEstimates)
    unfit_homes: dict[bytes, set[str]] = attrs.field(factory=dict)
    unplaced_jobs: DueQueue[bytes] = attrs.field(factory=DueQueue)
    teams: TeamUsageTable = attrs.field(factory=TeamUsageTable)
    unanswered_tasks: int = 0
    unanswered_bytes: int = 0
    health: dict[str, UpstreamHealth] = attrs.field(factory=dict)
    health_due: DueQueue[str] = attrs.field(factory=DueQueue)
    ejections: dict[str, EjectionTracker] = attrs.field(factory=dict)
    distances_ms: dict[str, float] = attrs.field(factory=dict)
    services_without_slots: dict[str, None] = attrs.field(factory=dict)
    stall_checks: DueQueue[OwnedTask] = attrs.field(factory=DueQueue)
    last_end_ms: dict[str, int] = attrs.field(factory=dict)
    delayed_tasks: DueQueue[TaskId] = attrs.field(factory=DueQueue)
    hedge_due: DueQueue[TaskId] = attrs.field(factory=DueQueue)
    earlier_attempts: dict[TaskId, EarlierAttempt] = attrs.field(factory=dict)
    latencies: dict[str, Quantile] = attrs.field(factory=dict)
    queue_due_ms: int | None = None
    reserve: InteractiveReservation = attrs.field(
        default=attrs.Factory(
            lambda self: InteractiveReservation(self.settings.queues), takes_self=True
        )
    )

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> DispatchState:
        """Return the state of an entry that has just started."""
        estimates = settings.estimates
        return cls(
            settings=settings,
            run_times=RunTimes(estimates.run_decay, estimates.default_run_ms),
            upstream_speeds=Speeds(estimates.speed_decay),
            home_speeds=Speeds(estimates.speed_decay),
            retries=RetryBudget(settings.retries.retry_share),
            hedge_budget=RetryBudget(settings.retries.hedge_share),
        )

    def service(self, name: str) -> ServiceSlots:
        """Return the slots of a service; creates an empty index for a new service."""
        slots = self.services.get(name)
        if slots is None:
            slots = ServiceSlots(self.settings.placement.policy)
            self.services[name] = slots
        return slots

    def queue(self, queues: dict[str, ResourceLanes], service: str) -> ResourceLanes:
        """Return the queue of a service; creates an empty one for a new service."""
        lanes = queues.get(service)
        if lanes is None:
            limits = self.settings.queues
            lanes = queues[service] = ResourceLanes(
                batch_share=limits.batch_share, burst_cost=limits.burst_ms
            )
        return lanes

    def queued_tasks(self, service: str) -> int:
        """Return the number of tasks of a service that wait at this home."""
        return len(self.home_queues.get(service, ()))

    def mean_run_ms(self, service: str) -> float:
        """Return the mean run time of a service's tasks in milliseconds."""
        return self.run_times.mean_ms(service)

    def next_due_ms(self) -> int | None:
        """Return when the policies are due if no event arrives before, or None."""
        due = (
            self.queue_due_ms,
            self.unplaced_jobs.next_due_ms(),
            self.health_due.next_due_ms(),
            self.stall_checks.next_due_ms(),
            self.delayed_tasks.next_due_ms(),
            self.hedge_due.next_due_ms(),
        )
        return min((due_ms for due_ms in due if due_ms is not None), default=None)
