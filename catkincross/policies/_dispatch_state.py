"""State of the dispatch policies of an entry."""

from __future__ import annotations

import attrs

from ..foundation._ids import TaskId
from ..foundation._tables import DueQueue
from ..placement._fit import MemoryUse, TaskNeed
from ..protocol._messages import OwnedTask
from ..settings._settings import EntrySettings
from ._ejection import Ejections
from ._estimates import RunTimes, Speeds
from ._health import Health
from ._hedges import EarlierAttempt, Quantile
from ._home_index import HomeIndex
from ._lanes import Lanes
from ._quotas import TeamTable
from ._reserve import Reserve
from ._retry_budget import RetryBudget
from ._service_slots import ServiceSlots


@attrs.define
class Dispatch:
    """What an entry has learned, and its queues and indexes.

    Attributes:
        run_times: Run times by service, from all results seen here.
        upstream_speeds: Speeds of this home's upstreams by service.
        home_speeds: Speeds of homes by service, as this owner sees them.
        services: Slots of this home by service.
        lanes: Queues of this home by service.
        due_services: Services whose queue may have a task to start.
        backlog: Tasks of this owner without a home, by service.
        homes: Homes by service, as this owner knows them.
        due_backlogs: Services whose backlog may have a task to place.
        needs: What the tasks with a slot at this home take.
        changed_agents: Agents whose place in the index may be out of date.
        memory: Memory that tasks take at this home.
        unfit_homes: Homes that declined a job because it fits nowhere there.
        unplaced: Jobs that no home can take, until they are checked again.
        teams: Use of the teams.
        open_tasks: Tasks of jobs that this owner has not answered.
        open_bytes: Payload of these tasks.
        health: What limits the use of each upstream, by agent.
        health_due: When the usable slots of an agent change by time.
        ejections: Standing of the upstreams by service.
        distances: One-way time to the agents of each data centre, in milliseconds.
        slotless: Services with a queue but no slot in service at this home.
        overdue: When the tasks that agents have are checked for a stall.
        progress: When a task of a service ended last at this home.
        retries: Budget of retries of failed requests.
        hedge_budget: Budget of hedges.
        delayed: Tasks that wait before they are placed again.
        hedge_due: When a placed request is hedged.
        hedges: Earlier attempts of the requests that were hedged.
        latencies: Percentile of the time from placement to answer, by service.
        queue_due_ms: When the home must look at its queues again, or None.
        reserve: Slots that batch tasks leave to interactive ones.
    """

    settings: EntrySettings
    run_times: RunTimes
    upstream_speeds: Speeds
    home_speeds: Speeds
    retries: RetryBudget
    hedge_budget: RetryBudget
    services: dict[str, ServiceSlots] = attrs.field(factory=dict)
    lanes: dict[str, Lanes[OwnedTask]] = attrs.field(factory=dict)
    due_services: dict[str, None] = attrs.field(factory=dict)
    backlog: dict[str, Lanes[TaskId]] = attrs.field(factory=dict)
    homes: dict[str, HomeIndex] = attrs.field(factory=dict)
    due_backlogs: dict[str, None] = attrs.field(factory=dict)
    needs: dict[OwnedTask, TaskNeed] = attrs.field(factory=dict)
    changed_agents: dict[str, None] = attrs.field(factory=dict)
    memory: MemoryUse = attrs.field(factory=MemoryUse)
    unfit_homes: dict[bytes, set[str]] = attrs.field(factory=dict)
    unplaced: DueQueue[bytes] = attrs.field(factory=DueQueue)
    teams: TeamTable = attrs.field(factory=TeamTable)
    open_tasks: int = 0
    open_bytes: int = 0
    health: dict[str, Health] = attrs.field(factory=dict)
    health_due: DueQueue[str] = attrs.field(factory=DueQueue)
    ejections: dict[str, Ejections] = attrs.field(factory=dict)
    distances: dict[str, float] = attrs.field(factory=dict)
    slotless: dict[str, None] = attrs.field(factory=dict)
    overdue: DueQueue[OwnedTask] = attrs.field(factory=DueQueue)
    progress: dict[str, int] = attrs.field(factory=dict)
    delayed: DueQueue[TaskId] = attrs.field(factory=DueQueue)
    hedge_due: DueQueue[TaskId] = attrs.field(factory=DueQueue)
    hedges: dict[TaskId, EarlierAttempt] = attrs.field(factory=dict)
    latencies: dict[str, Quantile] = attrs.field(factory=dict)
    queue_due_ms: int | None = None
    reserve: Reserve = attrs.field(
        default=attrs.Factory(
            lambda self: Reserve(self.settings.queues), takes_self=True
        )
    )

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> Dispatch:
        """Return the state of an entry that has learned nothing."""
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
        """Return the slots of a service, empty for a new one."""
        slots = self.services.get(name)
        if slots is None:
            slots = ServiceSlots(self.settings.placement.policy)
            self.services[name] = slots
        return slots

    def queue(self, queues: dict[str, Lanes], service: str) -> Lanes:
        """Return the queue of a service, empty for a new one."""
        lanes = queues.get(service)
        if lanes is None:
            limits = self.settings.queues
            lanes = queues[service] = Lanes(
                batch_share=limits.batch_share, burst_cost=limits.burst_ms
            )
        return lanes

    def queued(self, service: str) -> int:
        """Return how many tasks of a service wait at this home."""
        return len(self.lanes.get(service, ()))

    def mean_run_ms(self, service: str) -> float:
        """Return the mean run time of a service's tasks."""
        return self.run_times.mean_ms(service)

    def next_due_ms(self) -> int | None:
        """Return when the policies must run again without an event, or None."""
        due = (
            self.queue_due_ms,
            self.unplaced.next_due_ms(),
            self.health_due.next_due_ms(),
            self.overdue.next_due_ms(),
            self.delayed.next_due_ms(),
            self.hedge_due.next_due_ms(),
        )
        return min((due_ms for due_ms in due if due_ms is not None), default=None)
