"""Model of the platform with volatile jobs that client accounts send again.

It extends `platform_model` by links between entries, over which they announce their
volatile jobs, and by networks that fail between any two processes: messages are held
until a cut ends, calls to workers are lost or arrive late, and hosts go silent.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs

from catkincross.dispatch import JobClaims, PeerVolatileJobs
from catkincross.owner import OwnerLimits, Reply
from catkincross.peers import Greeting, LostVolatileJobs, VolatileJobs
from catkincross.workers import StartOutcome, StartRun, StopRun

from .agent_links import AgentLink, AgentLinksMixin
from .platform_effects import CALL_MS, LINK_MS, RENEWAL_MS, Host
from .platform_model import Model
from .volatile_requests import REMOTE_RETRY_MS, Node, RequestsMixin

START_MS = 1_000
ANNOUNCE_MS = 40
ANNOUNCE_ENDED_MS = 400
# Interval at which entries open missing links and close silent ones.
MAINTAIN_MS = 250
SILENT_LINK_MS = 1_600
HEARTBEAT_MS = 1_500
# Time after which a call to a worker counts as unanswered.
START_TIMEOUT_MS = 100
RENEWAL_TIMEOUT_MS = 350


@attrs.define(eq=False)
class VolatileModel(AgentLinksMixin, RequestsMixin, Model):
    """The model; see `Model`.

    Attributes:
        nodes: Entries by name.
        blocked: Pairs of sender and receiver between which messages are held.
        held: Held messages by sender and receiver.
        worker_cuts: How calls to a worker fail, by agent: `lost`, `late`, or `answers`
            if they are carried out and only the answers are lost.
        late_calls: Calls to a worker that arrive when its cut ends, by agent.
        lost_stops: Number of stop orders that get lost next.
        agent_links: Link that an agent uses, by entry and agent.
        entry_links: Link that an entry uses, by entry and agent.
        links_made: Number of links opened so far.
    """

    nodes: dict[str, Node] = attrs.field(factory=dict)
    blocked: set[tuple[str, str]] = attrs.field(factory=set)
    held: dict[tuple[str, str], list[Callable[[], None]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    worker_cuts: dict[str, str] = attrs.field(factory=dict)
    late_calls: dict[str, list[Callable[[], None]]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    lost_stops: int = 0
    agent_links: dict[tuple[str, str], AgentLink] = attrs.field(factory=dict)
    entry_links: dict[tuple[str, str], AgentLink] = attrs.field(factory=dict)
    links_made: int = 0

    def __attrs_post_init__(self) -> None:
        """Start all processes, and let the workers send heartbeats."""
        super().__attrs_post_init__()
        self.at(MAINTAIN_MS, self._maintain_links)
        self.at(ANNOUNCE_MS, self._announce)

    # Networks.

    def send(self, sender: str, receiver: str, call: Callable[[], None]) -> None:
        """Deliver a message, or hold it until the cut between two processes ends."""
        if (sender, receiver) in self.blocked:
            self.held[sender, receiver].append(call)
        else:
            self.at(LINK_MS, call)

    def block(self, sender: str, receiver: str, for_ms: int) -> None:
        """Hold the messages from one process to another for a while."""
        self.blocked.add((sender, receiver))
        self.at(for_ms, lambda: self._unblock(sender, receiver))

    def _unblock(self, sender: str, receiver: str) -> None:
        self.blocked.discard((sender, receiver))
        for call in self.held.pop((sender, receiver), []):
            self.at(LINK_MS, call)

    def is_connected(self, one: str, other: str) -> bool:
        """Whether messages pass between two processes in both directions."""
        return not {(one, other), (other, one)} & self.blocked

    def when_awake(self, host: Host, call: Callable[[], None]) -> None:
        """Call something now, or when a frozen process goes on; never if it ended."""
        if self.awake(host):
            call()
        elif host.up:
            delay_ms = host.frozen_until_ms - self.now_ms
            self.at(delay_ms, lambda: self.when_awake(host, call))

    # Processes.

    def start_entry(self, name: str) -> None:
        """Start an entry; it knows nothing of the other ones yet."""
        super().start_entry(name)
        limits = OwnerLimits()
        greeting = Greeting("entry", name, self.now_ms, name)
        expiry_ms = limits.volatile_expiry_ms
        peer_jobs = PeerVolatileJobs(expiry_ms)
        # The first processes are the first ones of the deployment.
        started_ms = self.now_ms if self.now_ms > START_MS else -expiry_ms
        claims = JobClaims(peer_jobs, name, started_ms)
        self.nodes[name] = Node(self.owners[name], greeting, peer_jobs, claims)

    def kill(self, name: str, *, silent: bool = False) -> None:
        """Kill a process, or turn off its host, so that its links do not end."""
        node = self.nodes.pop(name, None)
        host = (self.owners if node else self.workers).pop(name)
        host.up = False
        if node is not None:
            self.at(1_000, self.announce_entries)
        self._end_links_of(host, silent=silent)
        if silent:
            return
        for other in list(self.nodes.values()) if node else ():
            receiver = other.host.name
            self.send(name, receiver, lambda other=other: self._lost(other, node))

    def _lost(self, node: Node, lost: Node) -> None:
        """Let an entry note that the links of another one have closed."""
        node.peer_jobs.mark_entry_lost(lost.greeting, now_ms=self.now_ms)
        if node.linked.get(lost.host.name) is lost:
            self._close_link(node, lost.host.name)

    # Links between entries.

    def _maintain_links(self) -> None:
        for node in list(self.nodes.values()):
            if not self.awake(node.host):
                continue
            for other in list(self.nodes.values()):
                if other is not node:
                    self._maintain_link(node, other)
            for name in set(node.heard_ms) - set(self.nodes):
                if self.now_ms - node.heard_ms[name] > SILENT_LINK_MS:
                    self._close_link(node, name)
        self.at(MAINTAIN_MS, self._maintain_links)

    def _maintain_link(self, node: Node, other: Node) -> None:
        name, other_name = node.host.name, other.host.name
        passes = self.is_connected(name, other_name)
        linked = node.linked.get(other_name)
        if passes and linked is not None and linked is not other:
            # The new process resets the connection.
            self._close_link(node, other_name)
        elif passes and linked is None:
            node.heard_ms[other_name] = self.now_ms
            node.linked[other_name] = other
            changes = VolatileJobs(node.host.core.volatile_job_ids(), [])
            self._tell(node, other, changes, lost=node.peer_jobs.lost_jobs(self.now_ms))
        elif passes and self.awake(other.host):
            node.heard_ms[other_name] = self.now_ms
        elif self.now_ms - node.heard_ms.get(other_name, 0) > SILENT_LINK_MS:
            self._close_link(node, other_name)
            self.send(name, other_name, lambda: self._inbound_closed(other, node))

    def _inbound_closed(self, node: Node, other: Node) -> None:
        if node.host.name not in other.heard_ms:
            node.peer_jobs.mark_entry_lost(other.greeting, now_ms=self.now_ms)

    def _close_link(self, node: Node, name: str) -> None:
        """Close an entry's link to another one; requests stay without an answer."""
        node.heard_ms.pop(name, None)
        node.linked.pop(name, None)
        for request in list(node.requests.values()):
            if request.asked is not None and request.asked[0] == name:
                request.asked, request.unanswered = None, True
                self.at(
                    REMOTE_RETRY_MS,
                    lambda request=request: self.run_or_ask(node, request),
                )

    def _tell(
        self,
        node: Node,
        other: Node,
        changes: VolatileJobs,
        *,
        lost: list[LostVolatileJobs] | None = None,
    ) -> None:
        """Announce jobs; `lost` are those of lost entries, told on a new link."""

        def arrive() -> None:
            if lost is not None:
                other.peer_jobs.end_earlier_processes(node.greeting, self.now_ms)
                other.peer_jobs.add_entry(node.greeting)
            for jobs in lost or ():
                other.peer_jobs.add_lost_jobs(jobs, self.now_ms)
            other.peer_jobs.update(node.greeting, changes, self.now_ms)

        self.send(
            node.host.name,
            other.host.name,
            lambda: self.when_awake(other.host, arrive),
        )

    def _announce(self) -> None:
        for node in self.nodes.values():
            core = node.host.core
            due = self.now_ms - node.announced_ms >= ANNOUNCE_ENDED_MS
            if not self.awake(node.host) or not (due or core.has_begun_volatile_jobs):
                continue
            node.announced_ms = self.now_ms
            changes = core.take_volatile_changes()
            for other in node.linked.values():
                self._tell(node, other, changes)
        self.at(ANNOUNCE_MS, self._announce)

    # Workers.

    def _carry_out(self, host: Host, effect: Any) -> None:
        match effect:
            case Reply():
                self._reply(host, effect)
            case StopRun() if self.lost_stops:
                self.lost_stops -= 1
            case StopRun():
                machine = self.machines[host.name]
                self._call(host, lambda: machine.stop(self.now_ms, effect))
            case _:
                super()._carry_out(host, effect)

    def _call(self, host: Host, call: Callable[[], Any]) -> bool:
        """Call a worker; return whether the agent gets an answer."""
        mode = self.worker_cuts.get(host.name)
        if mode == "late":
            self.late_calls[host.name].append(call)
        elif mode != "lost":
            self.at(CALL_MS, call)
        return mode is None

    def cut_worker(self, agent: str, mode: str, for_ms: int) -> None:
        """Cut a worker from its agent for a while."""
        self.worker_cuts[agent] = mode

        def heal() -> None:
            self.worker_cuts.pop(agent, None)
            for call in self.late_calls.pop(agent, []):
                call()

        self.at(for_ms, heal)

    def _start(self, host: Host, order: StartRun) -> None:
        machine = self.machines[host.name]

        def answer(outcome: StartOutcome) -> None:
            host.core.handle_start_outcome(self.now_ms, order, outcome)
            self.step(host)

        def call() -> None:
            outcome = machine.start(self.now_ms, order)
            if answered:
                self.when_awake(host, lambda: answer(outcome))

        answered = self._call(host, call)
        if not answered:
            unanswered = StartOutcome.UNANSWERED
            self.at(
                START_TIMEOUT_MS,
                lambda: self.when_awake(host, lambda: answer(unanswered)),
            )

    def _renew_lease(self, host: Host) -> None:
        if self.workers.get(host.name) is not host:
            return
        if not self.awake(host):
            self.at(RENEWAL_MS, lambda: self._renew_lease(host))
            return
        sent_ms = self.now_ms
        machine = self.machines[host.name]
        renewal = host.core.next_renewal(sent_ms)

        def receive(reply: Any) -> None:
            if reply is None:
                host.core.handle_renewal_fenced(self.now_ms, renewal)
            else:
                args = sent_ms, renewal, reply
                host.core.handle_renewal_reply(self.now_ms, *args)
            self.step(host)
            self.at(RENEWAL_MS, lambda: self._renew_lease(host))

        def call() -> None:
            reply = machine.renew_lease(self.now_ms, renewal)
            if answered:
                self.at(CALL_MS, lambda: self.when_awake(host, lambda: receive(reply)))

        answered = self._call(host, call)
        if not answered:
            self.at(RENEWAL_TIMEOUT_MS, lambda: self._renew_lease(host))

    def _send_heartbeats(self) -> None:
        for name in self.machines:
            self.send_heartbeat(name)
        self.at(HEARTBEAT_MS, self._send_heartbeats)

    def send_heartbeat(self, name: str) -> None:
        """Let a worker send a heartbeat, which a cut loses or delays."""
        content = self.heartbeat(name)
        self.notify(name, lambda core: core.handle_heartbeat(self.now_ms, content))

    def notify(self, name: str, call: Callable[[Any], Any]) -> None:
        """Deliver a message of a worker to its agent."""

        def arrive() -> None:
            host = self.workers.get(name)
            if host is not None:
                self.when_awake(host, lambda: call(host.core))

        mode = self.worker_cuts.get(name)
        if mode == "late":
            self.late_calls[name].append(arrive)
        elif mode is None:
            self.at(CALL_MS, arrive)
