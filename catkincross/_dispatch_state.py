"""State of the dispatch policies of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ._estimates import RunTimes, Speeds
from ._fair_queue import FairQueue
from ._fit import TaskNeed
from ._home_index import HomeIndex
from ._ids import TaskId
from ._messages import OwnedTask
from ._service_slots import ServiceSlots
from ._settings import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Hashable


@attrs.define
class Dispatch:
    """What an entry has learned, and its queues and indexes.

    Attributes:
        run_times: Run times by service, from all results seen here.
        upstream_speeds: Speeds of this home's upstreams by service.
        home_speeds: Speeds of homes by service, as this owner sees them.
        services: Slots of this home by service.
        lanes: Queues of this home by service and by what their tasks need.
        due_services: Services whose queue may have a task to start.
        backlog: Tasks of this owner without a home, by service.
        homes: Homes by service, as this owner knows them.
        due_backlogs: Services whose backlog may have a task to place.
        needs: What the tasks with a slot at this home take.
        changed_agents: Agents whose place in the index may be out of date.
        queue_due_ms: When the home must look at its queues again, or None.
    """

    settings: EntrySettings
    run_times: RunTimes
    upstream_speeds: Speeds
    home_speeds: Speeds
    services: dict[str, ServiceSlots] = attrs.field(factory=dict)
    lanes: dict[str, dict[Hashable, FairQueue[OwnedTask]]] = attrs.field(factory=dict)
    due_services: dict[str, None] = attrs.field(factory=dict)
    backlog: dict[str, FairQueue[TaskId]] = attrs.field(factory=dict)
    homes: dict[str, HomeIndex] = attrs.field(factory=dict)
    due_backlogs: dict[str, None] = attrs.field(factory=dict)
    needs: dict[OwnedTask, TaskNeed] = attrs.field(factory=dict)
    changed_agents: dict[str, None] = attrs.field(factory=dict)
    queue_due_ms: int | None = None

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> Dispatch:
        """Return the state of an entry that has learned nothing."""
        estimates = settings.estimates
        return cls(
            settings=settings,
            run_times=RunTimes(estimates.run_decay, estimates.default_run_ms),
            upstream_speeds=Speeds(estimates.speed_decay),
            home_speeds=Speeds(estimates.speed_decay),
        )

    def service(self, name: str) -> ServiceSlots:
        """Return the slots of a service, empty for a new one."""
        slots = self.services.get(name)
        if slots is None:
            slots = ServiceSlots(self.settings.placement.policy)
            self.services[name] = slots
        return slots

    def new_queue(self) -> FairQueue:
        """Return an empty queue with the limits of the settings."""
        queues = self.settings.queues
        return FairQueue(batch_share=queues.batch_share, burst_cost=queues.burst_ms)

    def queued(self, service: str) -> int:
        """Return how many tasks of a service wait at this home."""
        return sum(len(lane) for lane in self.lanes.get(service, {}).values())

    def mean_run_ms(self, service: str) -> float:
        """Return the mean run time of a service's tasks."""
        return self.run_times.mean_ms(service)

    def next_due_ms(self) -> int | None:
        """Return when the policies must run again without an event, or None."""
        return self.queue_due_ms
