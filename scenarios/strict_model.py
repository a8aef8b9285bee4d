"""Model of volatile jobs on workers that follow the published protocol strictly.

Each call of an agent to its worker has a fate of its own: it may be lost, be carried
out seconds later, or its answer may be lost or overtaken by others. Heartbeats of a
process that has ended may arrive after those of the next one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import attrs
import orjson

from catkincross.platform import read_heartbeat
from catkincross.platform._worker import START_REJECTIONS, _read_renewal_reply
from catkincross.workers import StartOutcome, StartRun, StopRun
from standins.strict_worker import Answer, StrictWorker

from .platform_effects import CALL_MS, Host
from .platform_model import SERVICE
from .volatile_model import VolatileModel

# Times after which the agent takes a call for unanswered, as in the daemon.
CALL_LIMIT_MS = 100
RENEWAL_PAUSE_MS = 15
RENEWAL_RETRY_MS = 50
SETTLE_ATTEMPTS = 4
WAIT_STEP_MS = 5


@attrs.frozen
class Fate:
    """What happens to one call.

    Attributes:
        delay_ms: Time until the worker carries it out; None if it never does.
        answer_ms: Further time until the answer arrives; None if it is lost.
        lists_first: Whether the lists of a renewal are read before its wait.
        grant_moves: Whether the time of a lease counts from the arrival of the call.
    """

    delay_ms: int | None = CALL_MS
    answer_ms: int | None = CALL_MS
    lists_first: bool = False
    grant_moves: bool = False


PROMPT = Fate()


@attrs.define(eq=False)
class StrictModel(VolatileModel):
    """The model; see `VolatileModel`.

    Attributes:
        machines: Workers by agent.
        fates: Fates of the next calls, by agent and path.
        draw_fate: Returns the fate of a call that has none in `fates`.
        heartbeat_delay_ms: Returns the delay of a heartbeat; None if it is lost.
    """

    machines: dict[str, StrictWorker] = attrs.field(factory=dict)
    fates: dict[tuple[str, str], list[Fate]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    draw_fate: Callable[[str, str], Fate] = lambda agent, path: PROMPT
    heartbeat_delay_ms: Callable[[str], int | None] = lambda agent: CALL_MS

    def start_agent(self, name: str, *, registers: bool = True) -> None:
        """Start an agent, and its worker if there is none yet."""
        if not isinstance(self.machines[name], StrictWorker):
            worker = self.machines[name] = StrictWorker(instance=f"w-{name}")
            worker.begin_life(self.now_ms)
        super().start_agent(name, registers=registers)

    # Processes of workers.

    def replace(self, name: str, back_ms: int, *, instance: str = "") -> None:
        """End the process of a worker, and start another one later.

        Args:
            name: Agent of the worker.
            back_ms: Time until then.
            instance: Identity of the new process; empty for the same one.
        """
        machine = self.machines[name]
        machine.end_life(self.now_ms, back_ms)
        born = machine.worker_incarnation

        def begin() -> None:
            if machine.worker_incarnation == born:
                machine.begin_life(self.now_ms, instance)
                self.send_heartbeat(name)

        self.at(back_ms, begin)

    def _tick(self) -> None:
        for machine in self.machines.values():
            # The next process is started by `replace`.
            machine.down_until_ms = machine.down_until_ms and max(
                machine.down_until_ms, self.now_ms + 1
            )
        super()._tick()

    # Heartbeats.

    def register(
        self, name: str, *, draining: bool = False, cpu: int | None = None
    ) -> None:
        """Let a worker send a heartbeat now."""
        machine = self.machines[name]
        machine.draining = draining
        if cpu is not None:
            machine.resize(self.now_ms, (cpu, *machine.capacity[1:]))
        self.workers[name].registered = True
        self.send_heartbeat(name)

    def send_heartbeat(self, name: str) -> None:
        """Let a worker send a heartbeat, which may be delayed or lost."""
        machine = self.machines[name]
        delay_ms = self.heartbeat_delay_ms(name)
        if machine.is_down(self.now_ms) or name in self.silent_workers:
            return
        body = machine.heartbeat(self.now_ms, SERVICE)
        if delay_ms is not None:
            instance = machine.instance
            self.at(delay_ms, lambda: self.put_heartbeat(name, instance, body))

    def put_heartbeat(self, name: str, instance: str, body: Any) -> None:
        """Let a heartbeat arrive at an agent."""

        def arrive() -> None:
            registration = read_heartbeat(instance, orjson.dumps(body))
            if registration is not None:
                host.core.handle_heartbeat(self.now_ms, registration)
                self.step(host)

        host = self.workers.get(name)
        if host is not None:
            self.when_awake(host, arrive)

    def delete(self, name: str, instance: str) -> None:
        """Let the notice of a worker's departure arrive at an agent."""
        host = self.workers.get(name)
        if host is not None:
            self.when_awake(
                host, lambda: host.core.handle_worker_left(self.now_ms, instance)
            )

    # Calls.

    def _carry_out(self, host: Host, effect: Any) -> None:
        match effect:
            case StopRun() if self.lost_stops:
                self.lost_stops -= 1
            case StopRun():
                body = {
                    "task": effect.task,
                    "run_id": effect.run,
                    "fencing_token": effect.fence,
                }
                self._exchange(host, effect.worker, "/run-stop", body, lambda _: None)
            case _:
                super()._carry_out(host, effect)

    def _fate(self, agent: str, path: str) -> Fate:
        queued = self.fates[agent, path]
        if queued:
            return queued.pop(0)
        match self.worker_cuts.get(agent):
            case "lost":
                return Fate(None)
            case "answers":
                return Fate(answer_ms=None)
        return self.draw_fate(agent, path)

    def _exchange(
        self,
        host: Host,
        target: str,
        path: str,
        body: dict[str, Any],
        receive: Callable[[Answer | None], None],
    ) -> None:
        """Send a call; `receive` gets the answer, or None if there is none in time."""
        machine = self.machines[host.name]
        limit_ms = CALL_LIMIT_MS + body.get("wait_ms", 0)
        fate = self._fate(host.name, path)
        is_open = True

        def answer(result: Answer | None) -> None:
            nonlocal is_open
            if is_open and host.up:
                is_open = False
                receive(result)

        def answer_later(result: Answer | None) -> None:
            if fate.answer_ms is not None:
                self.at(
                    fate.answer_ms,
                    lambda: self.when_awake(host, lambda: answer(result)),
                )

        def arrive() -> None:
            if machine.is_down(self.now_ms):
                answer_later(None)
                return
            if fate.grant_moves and "until_ms" in body:
                body["until_ms"] += fate.delay_ms
            status, fields = machine.call(self.now_ms, target, path, body)
            wait_ms = body.get("wait_ms", 0)
            if status == 200 and wait_ms and not fields["finished"]:
                self._wait(machine, fields, wait_ms, fate, answer_later)
            else:
                answer_later((status, fields))

        if fate.delay_ms is not None:
            self.at(fate.delay_ms, arrive)
        self.at(limit_ms, lambda: self.when_awake(host, lambda: answer(None)))

    def _wait(
        self,
        machine: StrictWorker,
        fields: dict[str, Any],
        left_ms: int,
        fate: Fate,
        answer: Callable[[Answer | None], None],
    ) -> None:
        """Let the answer to a renewal wait for the end of a run."""
        born = machine.worker_incarnation

        def check(left_ms: int) -> None:
            if machine.is_down(self.now_ms) or machine.worker_incarnation != born:
                answer(None)
                return
            machine.advance(self.now_ms)
            if not machine.finished and left_ms > 0:
                self.at(WAIT_STEP_MS, lambda: check(left_ms - WAIT_STEP_MS))
            elif fate.lists_first:
                answer((200, fields))
            else:
                newer = {
                    "clock_ms": machine.clock_ms(self.now_ms),
                    **machine.lists(self.now_ms),
                }
                answer((200, {**fields, **newer}))

        self.at(WAIT_STEP_MS, lambda: check(left_ms - WAIT_STEP_MS))

    def _start(self, host: Host, order: StartRun) -> None:
        body = {
            "task": order.task,
            "run_id": order.run,
            "spec": order.payload,
            "until_ms": order.until_ms,
            "fencing_token": order.fence,
        }

        def receive(result: Answer | None) -> None:
            outcome = _start_outcome(result)
            host.core.handle_start_outcome(self.now_ms, order, outcome)
            self.step(host)
            if outcome is StartOutcome.UNANSWERED:
                self._settle(host, SETTLE_ATTEMPTS)

        if host.core.is_wanted(order):
            self._exchange(host, order.worker, "/run-start", body, receive)

    def _settle(self, host: Host, attempts: int) -> None:
        def done(answered: bool) -> None:
            if not answered and attempts > 1:
                self._settle(host, attempts - 1)

        self._renew(host, done)

    def _renew_lease(self, host: Host) -> None:
        if self.workers.get(host.name) is not host:
            return
        if not self.awake(host):
            self.when_awake(host, lambda: self._renew_lease(host))
            return

        def done(answered: bool) -> None:
            pause_ms = RENEWAL_PAUSE_MS if answered else RENEWAL_RETRY_MS
            self.at(pause_ms, lambda: self._renew_lease(host))

        self._renew(host, done)

    def _renew(self, host: Host, done: Callable[[bool], None]) -> None:
        """Renew the lease once; `done` gets whether the worker answered."""
        sent_ms = self.now_ms
        renewal = host.core.next_renewal(sent_ms)
        body: dict[str, Any] = {
            "fencing_token": renewal.fence,
            "ack_cursor": renewal.ack,
        }
        if renewal.until_ms is not None:
            body["until_ms"] = renewal.until_ms
        if renewal.wait_ms:
            body["wait_ms"] = renewal.wait_ms

        def receive(result: Answer | None) -> None:
            status, fields = result or (0, {})
            if status == 409:
                host.core.handle_renewal_fenced(self.now_ms, renewal)
                self._renew(host, done)
                return
            if status == 200:
                reply = _read_renewal_reply(fields)
                host.core.handle_renewal_reply(self.now_ms, sent_ms, renewal, reply)
                self.step(host)
            done(status == 200)

        self._exchange(host, renewal.worker, "/hold", body, receive)


def _start_outcome(result: Answer | None) -> StartOutcome:
    status, fields = result or (0, {})
    if status == 200:
        return StartOutcome.STARTED
    if status == 409:
        return START_REJECTIONS.get(fields["reason"], StartOutcome.REFUSED)
    if status in (400, 421, 429, 503):
        return StartOutcome.REFUSED
    return StartOutcome.UNANSWERED
