"""State that an owner keeps of each agent."""

from __future__ import annotations

import attrs

from ..dispatch import AgentResources, Estimates
from ..jobs import Step, Task
from ..peers import AgentState, WorkerProfile

# Capacity of a shared worker that has become free within this time is not given to
# deferred tasks, in milliseconds. The other entries learn of it within 30 ms if tasks
# wait there.
RECENT_MS = 60


@attrs.define(eq=False)
class AgentInfo:
    """An agent, its worker and the tasks that are assigned to it.

    Times are on the owner's clock, in milliseconds.

    Attributes:
        name: Name of the agent's host.
        incarnation: Number that differs between two starts of the agent's process.
        connected: Whether the agent's link is open.
        profile: Newest profile of the agent's worker; None before the first one on the
            link.
        state: Newest state that the agent sent, with the free resources of its worker;
            None before the first one on the link.
        received_ms: Time at which `state` was received.
        clock_offset_ms: Time of receipt minus the agent's clock, of the fastest state
            on the link; None before the first one.
        cpu_history: Free processor capacity in millicores by the time at which it was
            received, from `RECENT_MS` ago on.
        connected_ms: Time at which the link was opened.
        lost_ms: Time at which the link was closed, while it is not open.
        drained: Whether the agent has told that it shuts down without runs.
        lease_sent_ms: Time at which the newest lease was sent; the time until the runs
            of a lost agent must have been stopped counts from it.
        former_lease_ms: Time at which the newest lease was sent to an earlier process
            of the agent.
        lease_echo_ms: Reading of the agent's clock to which the newest lease answers.
        last_order: Number of the last start order on the link.
        unacknowledged_orders: Steps of the start orders that `state` does not account
            for yet, by order number.
        exclusive_order: Number of the last start order on the link for an exclusive
            run; 0 for none.
        reported_shards: Numbers of the shards that the agent has reported on the link.
        assigned_tasks: Tasks whose newest run the agent has, or may have.
        reported_host: Incarnation of the agent and start of its worker, in milliseconds
            since 1970, in the newest report; None before the first one.
        replaced: Whether another host has the name now, so that nothing can be sent.
    """

    name: str
    incarnation: int = 0
    connected: bool = False
    profile: WorkerProfile | None = None
    state: AgentState | None = None
    received_ms: int = 0
    clock_offset_ms: int | None = None
    cpu_history: list[tuple[int, int]] = attrs.field(factory=list)
    connected_ms: int = 0
    lost_ms: int = 0
    drained: bool = False
    lease_sent_ms: int = 0
    former_lease_ms: int = 0
    lease_echo_ms: int = 0
    last_order: int = 0
    unacknowledged_orders: dict[int, Step] = attrs.field(factory=dict)
    exclusive_order: int = 0
    reported_shards: set[int] = attrs.field(factory=set)
    assigned_tasks: set[Task] = attrs.field(factory=set)
    reported_host: tuple[int, int] | None = None
    replaced: bool = False

    def link_opened(self, incarnation: int, now_ms: int) -> None:
        """Record a new link, and reset the state that belongs to the previous one.

        Assigned tasks are kept: the agent reports whether it still has their runs.
        """
        if incarnation != self.incarnation:
            self.former_lease_ms = self.lease_sent_ms
        self.incarnation = incarnation
        self.connected = True
        self.drained = False
        self.connected_ms = now_ms
        self.profile = self.state = self.clock_offset_ms = None
        self.cpu_history.clear()
        self.last_order = self.exclusive_order = 0
        self.unacknowledged_orders.clear()
        self.reported_shards.clear()
        for task in self.assigned_tasks:
            task.order_number = 0

    def record_host(
        self, worker_incarnation: int, *, is_same: bool
    ) -> AgentInfo | None:
        """Record which host reports, by the incarnations of its agent and its worker.

        An agent that was only restarted has the same worker, and one whose worker was
        restarted has the same incarnation. If both differ, the host may be another one
        of the same name, and the worker of the first one may go on.

        Args:
            worker_incarnation: Start of the worker process, in milliseconds since 1970;
                0 if it is not known.
            is_same: Whether the host is known to be the same.

        Returns:
            The first host, lost and with all assigned tasks, if it may be another one;
            None otherwise.
        """
        host = self.incarnation, worker_incarnation
        earlier, self.reported_host = self.reported_host, host
        if is_same or earlier is None or earlier[0] == host[0]:
            return None
        if not self.assigned_tasks:
            return None
        if earlier[1] == host[1] and worker_incarnation:
            return None
        former = AgentInfo(
            f"{self.name}@{earlier[0]}",
            earlier[0],
            connected_ms=self.connected_ms,
            lost_ms=self.connected_ms,
            lease_sent_ms=self.former_lease_ms,
            reported_host=earlier,
            replaced=True,
        )
        former.assigned_tasks, self.assigned_tasks = self.assigned_tasks, set()
        for task in former.assigned_tasks:
            task.agent = former.name
        return former

    def link_closed(self, now_ms: int) -> None:
        """Record that the link has closed, and forget what was reported on it."""
        self.connected = False
        self.lost_ms = now_ms
        self.profile = self.state = None
        self.reported_shards.clear()

    def update_state(self, state: AgentState, now_ms: int) -> None:
        """Record a state of the agent, and drop the orders that it accounts for."""
        self.state = state
        self.drained = state.drained
        self.received_ms = now_ms
        offset_ms = now_ms - state.clock_ms
        if self.clock_offset_ms is None or offset_ms < self.clock_offset_ms:
            self.clock_offset_ms = offset_ms
        self.cpu_history.append((now_ms, state.cpu_free))
        self._drop_old_history(now_ms)
        acknowledged = [
            order for order in self.unacknowledged_orders if order <= state.acked_order
        ]
        for order in acknowledged:
            del self.unacknowledged_orders[order]

    def record_order(self, step_spec: Step) -> int:
        """Record a start order until a state accounts for it; return its number."""
        self.last_order += 1
        self.unacknowledged_orders[self.last_order] = step_spec
        return self.last_order

    def has_run(self, key: tuple[str, int]) -> bool:
        """Whether a run, by task name and number, is assigned to the agent."""
        return any((task.name, task.run) == key for task in self.assigned_tasks)

    def leases_seen_since(self, since_ms: int) -> bool:
        """Whether the worker has no run of an entry that was lost before a time.

        The newest state may have arrived late, so the time at which it was sent counts,
        by the agent's clock.
        """
        state, offset_ms = self.state, self.clock_offset_ms
        if state is None or offset_ms is None or state.lease_age_ms < 0:
            return False
        return state.clock_ms + offset_ms - state.lease_age_ms >= since_ms

    @property
    def kind(self) -> str:
        """Kind of the worker, its first label; empty while it is not known."""
        return self.profile.labels[0] if self.profile and self.profile.labels else ""

    @property
    def expects_worker(self) -> bool:
        """Whether the agent is connected and its worker has not registered yet."""
        return self.connected and (self.profile is None or not self.profile.worker)

    def serves(self, service: str) -> bool:
        """Whether its worker runs the tasks of a service."""
        return self.profile is not None and self.profile.service == service

    def idle_resources(self) -> AgentResources | None:
        """Return the resources of the worker if it were idle; None if not known."""
        profile = self.profile
        if profile is None or not profile.worker:
            return None
        totals = profile.cpu, profile.memory_mb, profile.gpu
        return AgentResources(
            self.name,
            *totals,
            tuple(profile.labels),
            cpu_total=profile.cpu,
            memory_total_mb=profile.memory_mb,
            gpu_total=profile.gpu,
        )

    def _drop_old_history(self, now_ms: int) -> None:
        """Drop what is not needed to know the capacity of the last `RECENT_MS`."""
        history = self.cpu_history
        while len(history) > 1 and history[1][0] <= now_ms - RECENT_MS:
            del history[0]

    def resources(self, estimates: Estimates, now_ms: int) -> AgentResources | None:
        """Return the resources of the worker, or None if no task may be sent.

        The free resources are those of the newest state, less the start orders that
        this state does not account for yet; they can be negative. There are none while
        an order for an exclusive run is on its way.
        """
        state, profile = self.state, self.profile
        if not self.connected or state is None or profile is None or not state.ready:
            return None
        recent_cpu = 0
        if state.shared:
            self._drop_old_history(now_ms)
            lowest_cpu = max(min(cpu for _, cpu in self.cpu_history), 0)
            recent_cpu = max(state.cpu_free - lowest_cpu, 0)
        unacknowledged = self.unacknowledged_orders.values()
        cpu, memory_mb, gpu = state.cpu_free, state.memory_free_mb, state.gpu_free
        if self.exclusive_order > state.acked_order:
            cpu = memory_mb = gpu = 0
        return AgentResources(
            self.name,
            cpu - sum(step.cpu for step in unacknowledged),
            memory_mb - sum(step.memory_mb for step in unacknowledged),
            gpu - sum(step.gpu for step in unacknowledged),
            tuple(profile.labels),
            estimates.slowdown(self.name, self.kind),
            profile.cpu,
            profile.memory_mb,
            profile.gpu,
            recent_cpu,
            state.run_count + len(unacknowledged),
        )
