"""Virtual time, streams between processes, and the faults of both.

Every run with the same calls gives the same result.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import attrs

from catkincross import effects as fx
from catkincross.agent_core._agent_core import AgentCore
from catkincross.entry_core._entry_core import EntryCore
from catkincross.messages import TaskStart

MESSAGE_DELAY_MS = 1


@attrs.define
class Node:
    """A process in the driver.

    Attributes:
        paused: The process is stopped; its inbox collects.
        life: Grows with each restart, so that old events do not reach a new life.
    """

    process: str
    core: EntryCore | AgentCore
    address: str
    alive: bool = True
    paused: bool = False
    life: int = 0
    inbox: list[Any] = attrs.field(factory=list)
    wake_at: int | None = None
    due_at: int | None = None
    peers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Start:
    """A task that an upstream began to run."""

    at_ms: int
    agent: str
    start: TaskStart


class Network:
    """Processes with decision cores, stepped in virtual time."""

    def __init__(self) -> None:
        self.now_ms = 1_000
        self.sequence = 0
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.nodes: dict[str, Node] = {}
        self.streams: set[frozenset[str]] = set()
        self.cuts: set[frozenset[str]] = set()
        self.log_cut: set[str] = set()
        # Processes whose host is down: their address does not refuse connections.
        self.lost_hosts: set[str] = set()
        self.sent: list[tuple[int, str, str, Any]] = []
        # Delays in ms of the copies of a message; an empty list loses it.
        self.route: Callable[[str, str, Any], list[int]] = lambda sender, to, message: [
            MESSAGE_DELAY_MS
        ]
        # Called with process, other process or "", and item before each event.
        self.observers: list[Callable[[str, str, Any], None]] = []
        self.versions_seen: dict[str, list[int]] = {}

    # Time

    def at(self, time_ms: int, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self.sequence += 1
        heapq.heappush(self.agenda, (time_ms, self.sequence, action))

    def run(self, duration_ms: int) -> None:
        """Run for a time."""
        end_ms = self.now_ms + duration_ms
        while self.agenda and self.agenda[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self.agenda)
            action()
        self.now_ms = end_ms

    def run_until(
        self, condition: Callable[[], bool], *, limit_ms: int = 60_000
    ) -> bool:
        """Run until a condition holds; return whether it did within the limit."""
        end_ms = self.now_ms + limit_ms
        while not condition():
            if not self.agenda or self.agenda[0][0] > end_ms:
                return False
            self.now_ms, _, action = heapq.heappop(self.agenda)
            action()
        return True

    # Steps

    def observe(self, process: str, other: str, item: Any) -> None:
        """Tell the observers of an event."""
        for observer in list(self.observers):
            observer(process, other, item)

    def deliver(self, node: Node, item: Any) -> None:
        """Put an item into a node's inbox and let it step."""
        if node.alive:
            node.inbox.append(item)
            self._wake(node)

    def _wake(self, node: Node) -> None:
        if node.wake_at == self.now_ms:
            return
        node.wake_at = self.now_ms
        self.at(self.now_ms, lambda: self._step(node))

    def _step(self, node: Node) -> None:
        node.wake_at = None
        if not node.alive or node.paused:
            return
        inbox, node.inbox = node.inbox, []
        for effect in node.core.step(int(self.now_ms), inbox):
            if node.alive:
                self._carry_out(node, effect)
        if isinstance(node.core, EntryCore):
            seen = self.versions_seen.setdefault(f"{node.process}#{node.life}", [])
            version = node.core.state.control.version
            if not seen or seen[-1] != version:
                seen.append(version)
        self._schedule_due(node)

    def _schedule_due(self, node: Node) -> None:
        due_ms = node.core.next_step_ms()
        if due_ms is None:
            return
        due_ms = max(due_ms, self.now_ms + 1)
        # One pending wake-up a node: more would multiply with every step.
        if node.due_at is None or due_ms < node.due_at:
            node.due_at = due_ms
            self.at(due_ms, lambda: self._due(node, due_ms))

    def _due(self, node: Node, due_ms: int) -> None:
        if node.due_at != due_ms:
            return
        node.due_at = None
        if node.wake_at is None:
            self._step(node)

    # Network

    def _connected(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.streams

    def _connect_all(self, node: Node) -> None:
        for process in node.peers:
            self._connect(node, process)

    def _connect(self, node: Node, process: str) -> None:
        pair = frozenset((node.process, process))
        peer = self.nodes.get(process)
        if pair in self.streams or process == node.process:
            return
        if peer is None or not peer.alive or pair in self.cuts:
            refused = peer is not None and self._refuses(process)
            self.deliver(node, fx.Disconnected(process, refused))
            self.at(self.now_ms + 500, lambda: self._reconnect(node, process))
            return
        self.streams.add(pair)
        self.deliver(node, fx.Connected(process))
        self.deliver(peer, fx.Connected(node.process))

    def _set_peers(self, node: Node, addresses: dict[str, str]) -> None:
        added = [peer for peer in addresses if peer not in node.peers]
        removed = [peer for peer in node.peers if peer not in addresses]
        node.peers = dict(addresses)
        for peer in removed:
            if node.process not in self.nodes[peer].peers:
                self.break_stream(node.process, peer)
        # Known peers without a stream are tried again after a delay.
        for peer in added:
            self._connect(node, peer)

    def _reconnect(self, node: Node, process: str) -> None:
        if node.alive and process in node.peers:
            self._connect(node, process)

    def _send(self, node: Node, to: str, message: Any) -> None:
        self.sent.append((self.now_ms, node.process, to, message))
        if not self._connected(node.process, to):
            return
        self.observe(node.process, to, message)
        item = fx.Received(node.process, message)
        for delay_ms in self.route(node.process, to, message):
            self.at(
                self.now_ms + delay_ms, lambda: self._arrive(node.process, to, item)
            )

    def _arrive(self, sender: str, to: str, item: Any) -> None:
        if self._connected(sender, to):
            self.deliver(self.nodes[to], item)

    def break_stream(self, one: str, other: str) -> None:
        """Break the stream between two processes; what is under way is lost."""
        pair = frozenset((one, other))
        if pair not in self.streams:
            return
        self.streams.discard(pair)
        for process, peer in ((one, other), (other, one)):
            node = self.nodes[process]
            refused = self._refuses(peer)
            self.deliver(node, fx.Disconnected(peer, refused))
            if peer in node.peers:
                self.at(
                    self.now_ms + 100,
                    lambda node=node, peer=peer: self._reconnect(node, peer),
                )

    # Faults

    def cut(self, one: str, other: str) -> None:
        """Cut the network between two processes until `heal`."""
        self.cuts.add(frozenset((one, other)))
        self.break_stream(one, other)

    def heal(self) -> None:
        """Undo all cuts, also those from the log."""
        self.cuts.clear()
        self.log_cut.clear()

    def _refuses(self, process: str) -> bool:
        return not self.nodes[process].alive and process not in self.lost_hosts

    def kill(self, process: str, *, with_host: bool = False) -> None:
        """End a process at once; without its host, its address refuses connections."""
        node = self.nodes[process]
        if with_host:
            self.lost_hosts.add(process)
        node.alive = False
        node.inbox.clear()
        for pair in [pair for pair in self.streams if process in pair]:
            (peer,) = pair - {process}
            self.break_stream(process, peer)

    def pause(self, process: str) -> None:
        """Stop a process; its streams stay open."""
        self.nodes[process].paused = True

    def resume(self, process: str) -> None:
        """Let a paused process go on."""
        node = self.nodes[process]
        node.paused = False
        self._step(node)

    def _carry_out(self, node: Node, effect: Any) -> None:
        raise NotImplementedError
