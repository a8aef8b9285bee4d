"""Runs decision cores against each other in virtual time, with injected faults.

It carries out the effects of entry and agent cores: messages with a delay, the
control stream, and upstreams that answer after a set time. Every run with the
same seed and the same calls gives the same result.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs

from catkincross import effects as fx
from catkincross.agent_core._agent_core import AgentCore
from catkincross.agent_core._agent_state import AgentState
from catkincross.entry_core._entry_core import EntryCore
from catkincross.entry_core._entry_state import EntryState
from catkincross.guards import ALL_GUARDS, Guards
from catkincross.ids import agent_process, entry_process
from catkincross.messages import JobAnswer, TaskStart, TaskStatus
from catkincross.protocol._records import Record, ResourcePut, encode_record
from catkincross.settings import AgentSettings, EntrySettings
from catkincross.transport._embedded_log import Stream

from .network import MESSAGE_DELAY_MS, Network, Node, Start

LOG_DELAY_MS = 3
LOG_POLL_MS = 200

__all__ = ["MESSAGE_DELAY_MS", "Driver", "Node", "Start"]


class Driver(Network):
    """Entries, agents, the log and the network in one process.

    Args:
        seed: Seed of all random choices.
        guards: Safety checks that are active in every core.
    """

    def __init__(self, *, seed: int = 1, guards: Guards = ALL_GUARDS) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.guards = guards
        self.log = Stream()
        self.log_down = False
        self.log_delay_ms = LOG_DELAY_MS
        self.lose_append_answers = 0
        # Time until an append of a process reaches the log.
        self.append_delay: Callable[[str], int] = lambda process: 0
        self.snapshots: list[tuple[int, bytes]] = []
        # When each record reached the log, by its id.
        self.append_times: dict[str, int] = {}
        self.run_ms: Callable[[str, TaskStart], int] = lambda agent, start: 50
        self.outcome: Callable[[str, TaskStart], TaskStatus] = lambda agent, start: (
            TaskStatus.OK
        )
        self.starts: list[Start] = []
        self.answers: dict[int, JobAnswer] = {}
        self.change_replies: dict[int, fx.ChangeReply] = {}
        self.events: list[tuple[int, str, fx.Emit]] = []
        self.next_request = 0
        self.submitted: dict[int, fx.JobSubmitted] = {}
        self.submitted_ms: dict[int, int] = {}
        self.submitted_at: dict[int, str] = {}
        self.submitted_life: dict[int, int] = {}
        self.answered_ms: dict[int, int] = {}
        # Time, offset and record of each append.
        self.appended: list[tuple[int, int, Record]] = []

    # Building

    def add_entry(self, name: str, data_centre: str, **changes: Any) -> Node:
        """Start an entry; `changes` are attributes of its settings."""
        settings = EntrySettings(
            name=name, region="r1", data_centre=data_centre, **changes
        )
        process = entry_process(name)
        life = self._next_life(process)
        state = EntryState.from_settings(
            settings,
            address=f"addr/{process}",
            seed=self.rng.getrandbits(32),
            guards=self.guards,
        )
        return self._add(Node(process, EntryCore(state), state.address, life=life))

    def add_agent(
        self, name: str, data_centre: str, *, service: str = "s", **changes: Any
    ) -> Node:
        """Start an agent that knows all entries as seeds."""
        settings = AgentSettings(
            name=name,
            region="r1",
            data_centre=data_centre,
            upstream=name,
            service=service,
            **changes,
        )
        process = agent_process(name)
        life = self._next_life(process)
        state = AgentState.from_settings(
            settings, number=self.rng.getrandbits(62) + 1, guards=self.guards
        )
        node = self._add(Node(process, AgentCore(state), "", life=life))
        for other in list(self.nodes.values()):
            if other.process.startswith("entry/") and other.alive:
                node.peers[other.process] = other.address
        self._connect_all(node)
        return node

    def _next_life(self, process: str) -> int:
        old = self.nodes.get(process)
        return old.life + 1 if old else 0

    def _add(self, node: Node) -> Node:
        self.nodes[node.process] = node
        self._wake(node)
        if isinstance(node.core, EntryCore):
            self._read_log(node)
        return node

    # Effects

    def _carry_out(self, node: Node, effect: Any) -> None:
        match effect:
            case fx.Send(to, message):
                self._send(node, to, message)
            case fx.Append(record):
                self._append(node, record)
            case fx.Reply(request_id, answer):
                self.answers[request_id] = answer
                self.answered_ms[request_id] = self.now_ms
            case fx.ChangeReply():
                self.change_replies[effect.request_id] = effect
            case fx.Emit():
                self.events.append((self.now_ms, node.process, effect))
            case fx.SetPeers(addresses):
                self._set_peers(node, addresses)
            case fx.CallUpstream(start):
                self._call_upstream(node, start)
            case fx.AbortUpstream(start):
                self._answer_upstream(node, start, TaskStatus.CANCELLED, "cancelled")
            case fx.Stop():
                self.kill(node.process)
            case _:
                self._carry_out_snapshot(node, effect)

    def _carry_out_snapshot(self, node: Node, effect: Any) -> None:
        match effect:
            case fx.WriteSnapshot(version, body):
                self._write_snapshot(node, version, body)
            case fx.ReadSnapshot():
                self._read_snapshot(node)

    # Log

    def _read_log(self, node: Node) -> None:
        if not node.alive:
            return
        asked_ms = int(self.now_ms)
        if node.paused:
            self.at(asked_ms + LOG_POLL_MS, lambda: self._read_log(node))
            return
        if self.log_down or node.process in self.log_cut:
            self.deliver(node, fx.LogUnreachable())
        else:
            version = node.core.state.control.version
            records = self.log.read(version + 1)
            event = (
                fx.LogGap(self.log.first)
                if records is None
                else fx.LogRead(asked_ms, records, self.log.tail)
            )
            self.at(asked_ms + self.log_delay_ms, lambda: self.deliver(node, event))
        self.at(asked_ms + LOG_POLL_MS, lambda: self._read_log(node))

    def _append(self, node: Node, record: Any) -> None:
        if self.log_down or node.process in self.log_cut:
            self.deliver(node, fx.AppendEnded(record.id, None, True, "unreachable"))
            return
        self.observe(node.process, "", record)
        if not node.alive:
            return
        delay_ms = self.append_delay(node.process)
        if delay_ms:
            # The writer gives up waiting; the record arrives all the same.
            self.at(self.now_ms + delay_ms, lambda: self._log_append(record))
            lost = fx.AppendEnded(record.id, None, False, "timeout")
            self.at(self.now_ms + self.log_delay_ms, lambda: self.deliver(node, lost))
            return
        offset = self._log_append(record)
        if self.lose_append_answers:
            self.lose_append_answers -= 1
            event = fx.AppendEnded(record.id, None, False, "timeout")
        else:
            event = fx.AppendEnded(record.id, offset, True)
        self.at(self.now_ms + self.log_delay_ms, lambda: self.deliver(node, event))

    def _log_append(self, record: Any) -> int:
        self.append_times.setdefault(record.id, self.now_ms)
        offset = self.log.append(encode_record(record))
        self.appended.append((self.now_ms, offset, record))
        return offset

    def _write_snapshot(self, node: Node, version: int, body: bytes) -> None:
        written = not self.log_down and node.process not in self.log_cut
        if written:
            self.snapshots.append((version, body))
        event = fx.SnapshotEnded(version, written)
        self.at(self.now_ms + self.log_delay_ms, lambda: self.deliver(node, event))

    def _read_snapshot(self, node: Node) -> None:
        event: Any = fx.LogUnreachable()
        if not self.log_down and node.process not in self.log_cut:
            newest = max(self.snapshots, key=lambda item: item[0], default=(0, b""))
            event = fx.SnapshotRead(*newest)
        self.at(self.now_ms + self.log_delay_ms, lambda: self.deliver(node, event))

    # Upstreams

    def _call_upstream(self, node: Node, start: TaskStart) -> None:
        self.observe(node.process, "", start)
        if not node.alive:
            return
        self.starts.append(Start(self.now_ms, node.process, start))
        run_ms = self.run_ms(node.process, start)
        status = self.outcome(node.process, start)
        reason = "" if status is TaskStatus.OK else "upstream_failed"
        self.at(
            self.now_ms + run_ms,
            lambda: self._answer_upstream(node, start, status, reason),
        )

    def _answer_upstream(
        self, node: Node, start: TaskStart, status: TaskStatus, reason: str
    ) -> None:
        payload = start.spec.payload if status is TaskStatus.OK else b""
        event = fx.UpstreamAnswered(start, status, payload, reason)
        self.deliver(node, event)

    # Callers

    def propose(self, entry: str, body: Any, *, record_id: str = "") -> int:
        """Propose a change of a resource at an entry; return the request's number."""
        self.next_request += 1
        request_id = self.next_request
        record = Record(record_id or f"change-{request_id}", None, body)
        node = self.nodes[entry_process(entry)]
        self.deliver(node, fx.ChangeProposed(request_id, record))
        return request_id

    def submit(self, entry: str, job: fx.JobSubmitted) -> int:
        """Submit a job at an entry and return the request's number."""
        self.next_request += 1
        request_id = self.next_request
        node = self.nodes[entry_process(entry)]
        job = attrs.evolve(job, request_id=request_id)
        self.submitted[request_id] = job
        self.submitted_ms[request_id] = self.now_ms
        self.submitted_at[request_id] = node.process
        self.submitted_life[request_id] = node.life
        self.observe(node.process, "", job)
        self.deliver(node, job)
        return request_id

    # Operators

    def change(self, entry: str, body: Any) -> int:
        """Propose a change of a resource at an entry; return the request's number."""
        self.next_request += 1
        request_id = self.next_request
        node = self.nodes[entry_process(entry)]
        record_id = f"operator-{request_id}"
        record = Record(record_id, node.core.state.incarnation, body)
        self.deliver(node, fx.ChangeProposed(request_id, record))
        return request_id

    def drain(self, entry: str, data_centre: str, *, drain: bool = True) -> int:
        """Propose to drain or restore a data centre; return the request's number."""
        resources = self.nodes[entry_process(entry)].core.state.control.resources
        resource = resources.get(("datacentres", data_centre))
        generation = resource.generation if resource else 0
        spec = {"drain": drain}
        return self.change(
            entry, ResourcePut("datacentres", data_centre, generation, spec)
        )
