"""Agents as an owner sees them."""

from __future__ import annotations

import attrs

from ..dispatch import AgentRoom, Estimates
from ..jobs import Step, Task
from ..peers import AgentState, WorkerProfile


@attrs.define(eq=False)
class AgentInfo:
    """One agent.

    Attributes:
        name: Name of the agent's host.
        incarnation: Number of its process.
        connected: Whether a link to it is open.
        profile: What its worker is; None before it said so on the link.
        state: What it said last; None before that on the link.
        received_ms: When it said so.
        connected_ms: When the link was opened.
        lease_sent_ms: When the newest lease was sent; its tasks end some time later.
        last_order: Number of the last order on the link.
        unacknowledged_orders: Steps of orders that `state` does not count yet, by
            order number.
        reported_shards: Shards that it has reported on the link.
        assigned_tasks: Tasks whose newest run it has, or may have.
    """

    name: str
    incarnation: int = 0
    connected: bool = False
    profile: WorkerProfile | None = None
    state: AgentState | None = None
    received_ms: int = 0
    connected_ms: int = 0
    lease_sent_ms: int = 0
    last_order: int = 0
    unacknowledged_orders: dict[int, Step] = attrs.field(factory=dict)
    reported_shards: set[int] = attrs.field(factory=set)
    assigned_tasks: set[Task] = attrs.field(factory=set)

    def link_opened(self, incarnation: int, now_ms: int) -> None:
        """Start anew on a new link."""
        self.incarnation = incarnation
        self.connected = True
        self.connected_ms = now_ms
        self.profile = self.state = None
        self.last_order = 0
        self.unacknowledged_orders.clear()
        self.reported_shards.clear()
        for task in self.assigned_tasks:
            task.order = 0

    def link_closed(self) -> None:
        """Note that the link has ended."""
        self.connected = False
        self.profile = self.state = None
        self.reported_shards.clear()

    def update_state(self, state: AgentState, now_ms: int) -> None:
        """Take what the agent says."""
        self.state = state
        self.received_ms = now_ms
        done = [
            order for order in self.unacknowledged_orders if order <= state.done_order
        ]
        for order in done:
            del self.unacknowledged_orders[order]

    def record_order(self, needs: Step) -> int:
        """Return the number of a new order."""
        self.last_order += 1
        self.unacknowledged_orders[self.last_order] = needs
        return self.last_order

    @property
    def kind(self) -> str:
        """Kind of the worker: its first label."""
        return self.profile.labels[0] if self.profile and self.profile.labels else ""

    @property
    def expects_worker(self) -> bool:
        """Whether the agent is connected and its worker has not registered yet."""
        return self.connected and (self.profile is None or not self.profile.worker)

    def serves(self, service: str) -> bool:
        """Whether its worker is one of a service."""
        return self.profile is not None and self.profile.service == service

    def resources(self, estimates: Estimates) -> AgentRoom | None:
        """Return the room of the worker, or None if nothing may be sent."""
        state, profile = self.state, self.profile
        if not self.connected or state is None or profile is None or not state.ready:
            return None
        sent = self.unacknowledged_orders.values()
        return AgentRoom(
            self.name,
            state.cpu_free - sum(step.cpu for step in sent),
            state.memory_free_mb - sum(step.memory_mb for step in sent),
            state.gpu_free - sum(step.gpu for step in sent),
            tuple(profile.labels),
            estimates.slowness(self.name, self.kind),
            profile.cpu,
            profile.memory_mb,
            profile.gpu,
        )
