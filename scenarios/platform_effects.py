"""Effects of the cores in the virtual-time model of the platform."""

from __future__ import annotations

from typing import Any

import attrs

from catkincross.jobs import decode_record
from catkincross.owner import (
    Append,
    AppendOutcome,
    BroadcastToEntries,
    ClaimShard,
    Note,
    Reply,
    SendToAgent,
)
from catkincross.peers import ReportTo
from catkincross.workers import SendToEntry, StartOutcome, StartRun, StopRun
from standins.platform_worker import PlatformWorker

LINK_MS = 1
STORE_MS = 4
CALL_MS = 1
RENEWAL_MS = 50
ORDER_TIMEOUT_MS = 300


@attrs.define(eq=False)
class Host:
    """A process of the system.

    Attributes:
        core: Its core.
        up: Whether it runs.
        frozen_until_ms: Until when it stands still.
        registered: Whether the worker of this agent process sends it heartbeats.
    """

    name: str
    core: Any
    up: bool = True
    frozen_until_ms: int = 0
    registered: bool = False


class EffectsMixin:
    """Carries out the effects of the cores, with the fields and methods of `Model`."""

    __slots__ = ()

    def step(self, host: Host) -> None:
        """Run a core and carry out its effects."""
        if not self.awake(host):
            return
        for effect in host.core.step(self.now_ms):
            self._carry_out(host, effect)

    def _carry_out(self, host: Host, effect: Any) -> None:
        match effect:
            case SendToAgent(agent, content):
                self._pass(host.name, agent, content, to_agent=True)
            case SendToEntry(entry, content):
                self._pass(entry, host.name, content, to_agent=False)
            case BroadcastToEntries(message):
                for name in message.agents:
                    self.at(2 * LINK_MS, lambda name=name: self._relay(host, name))
            case Reply(request, answer):
                self.answers[request] = answer
            case Append():
                self.at(STORE_MS + effect.delay_ms, lambda: self._append(host, effect))
            case ClaimShard():
                self.at(STORE_MS, lambda: self._claim(host, effect))
            case StartRun():
                self.at(CALL_MS, lambda: self._start(host, effect))
            case StopRun():
                if host.name not in self.worker_cut:
                    self.at(CALL_MS, lambda: self._stop(host, effect))
            case Note(event, fields):
                self.notes.append((self.now_ms, host.name, event, fields))
            case _:
                row = (self.now_ms, host.name, effect.event, effect.fields)
                self.notes.append(row)

    def _relay(self, seeker: Host, agent: str) -> None:
        """Let an entry that an agent has a link to pass on a request for a report."""
        worker = self.workers.get(agent)
        if worker is None or not self.awake(worker):
            return
        for entry in worker.core.state.entries:
            owner = self.owners.get(entry)
            if owner and self.awake(owner) and (entry, agent) not in self.cut:
                message = ReportTo(seeker.name)
                worker.core.handle_entry_message(self.now_ms, entry, message)
                return

    def _pass(self, entry: str, agent: str, content: Any, *, to_agent: bool) -> None:
        owner, worker = self.owners.get(entry), self.workers.get(agent)
        self.sent[agent, type(content).__name__] += 1
        link = self.links_opened[entry, agent]

        def arrive() -> None:
            if self.links_opened[entry, agent] != link:
                # It was sent on an earlier link, which has closed.
                return
            if (entry, agent) in self.cut or owner is None or worker is None:
                return
            if self.owners.get(entry) is not owner:
                return
            if self.workers.get(agent) is not worker:
                return
            target = worker if to_agent else owner
            if not self.awake(target):
                self.at(target.frozen_until_ms - self.now_ms, arrive)
            elif to_agent:
                worker.core.handle_entry_message(self.now_ms, entry, content)
                self.step(worker)
            else:
                owner.core.handle_agent_message(self.now_ms, agent, content)
                self.step(owner)

        self.at(LINK_MS, arrive)

    def _append(self, host: Host, work: Append) -> None:
        self.store.now_ms = self.now_ms
        if not self._reaches_store(host):
            self.at(STORE_MS, lambda: self._append(host, work))
            return
        outcome = self.store.append(work.shard, work.epoch, work.sequence, work.records)
        if self.awake(host):
            args = work.shard, work.epoch, work.sequence, outcome
            host.core.handle_append_outcome(self.now_ms, *args)
            self.step(host)

    def _claim(self, host: Host, work: ClaimShard) -> None:
        if not self._reaches_store(host) or self.store.down:
            self.at(STORE_MS, lambda: self._claim(host, work))
            return
        outcome = self.store.append(work.shard, work.epoch, 0, ())
        if outcome is AppendOutcome.FENCED:
            host.core.handle_shard_fenced(self.now_ms, work.shard, work.epoch)
            return
        self.store.now_ms = self.now_ms
        records = [decode_record(data) for data in self.store.read(work.shard)]
        host.core.handle_shard_claimed(self.now_ms, work.shard, work.epoch, records)
        self.step(host)

    def _reaches_store(self, host: Host) -> bool:
        return self.awake(host) and host.name not in self.store_cut

    def _start(self, host: Host, order: StartRun) -> None:
        machine = self.machines[host.name]

        def answer(outcome: StartOutcome) -> None:
            if host.up and not self.awake(host):
                # A call that was answered during a freeze is read after it.
                self.at(host.frozen_until_ms - self.now_ms, lambda: answer(outcome))
            elif host.up:
                host.core.handle_start_outcome(self.now_ms, order, outcome)
                self.step(host)

        if host.name in self.worker_cut:
            self.at(ORDER_TIMEOUT_MS, lambda: answer(StartOutcome.UNANSWERED))
        elif machine.is_down(self.now_ms):
            self.at(CALL_MS, lambda: answer(StartOutcome.UNANSWERED))
        elif self.lost_orders:
            self.lost_orders -= 1
            self.at(self.late_ms, lambda: self._start_late(machine, order))
            self.at(ORDER_TIMEOUT_MS, lambda: answer(StartOutcome.UNANSWERED))
        else:
            answer(machine.start(self.now_ms, order))

    def _start_late(self, machine: PlatformWorker, order: StartRun) -> None:
        if not machine.is_down(self.now_ms):
            machine.start(self.now_ms, order)

    def _stop(self, host: Host, order: StopRun) -> None:
        machine = self.machines[host.name]
        if not machine.is_down(self.now_ms):
            machine.stop(self.now_ms, order)

    def _renew_lease(self, host: Host) -> None:
        if self.workers.get(host.name) is not host:
            return
        machine = self.machines[host.name]
        reachable = host.name not in self.worker_cut
        if self.awake(host) and reachable and not machine.is_down(self.now_ms):
            renewal = host.core.next_renewal(self.now_ms)
            reply = machine.renew_lease(self.now_ms, renewal)
            if reply is not None:
                host.core.handle_renewal_reply(self.now_ms, self.now_ms, renewal, reply)
            else:
                host.core.handle_renewal_fenced(self.now_ms, renewal)
            self.step(host)
        self.at(RENEWAL_MS, lambda: self._renew_lease(host))
