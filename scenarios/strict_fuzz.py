"""Random faults between agents and strict workers, under volatile jobs sent again.

Client accounts send jobs of three kinds at a rate that fills the workers, and send a
job again after a broken connection or an answer that leaves its end open. No two runs
of a task may go on at the same time, and no agent may tell the end of a run that goes
on.

    python -m scenarios.strict_fuzz --seeds 1-100
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from typing import Any

import attrs
import click

from catkincross.peers import Answer
from standins.strict_worker import StrictWorker

from .platform_effects import CALL_MS, Host
from .platform_model import SERVICE, SETTLE_MS, job
from .strict_model import PROMPT, Fate, StrictModel
from .volatile_requests import Request

ENTRIES = 3
AGENTS = 5
TRAFFIC_MS = 8_000
# Time after the traffic in which late calls arrive and all runs end.
QUIET_MS = 15_000
DEADLINE_MS = 1_500
RESEND_MS = 1_300
MAX_SENDS = 3
# Tasks, run time of each, and jobs per second.
KINDS = ((8, 120, 3.0), (4, 1_800, 0.6), (2, 400, 9.0))
LATE_MS = (2_000, 12_000)
# Ends of which an agent tells although the worker does not list them.
INFERRED_ENDS = ("absent", "lost", "crashed")


@attrs.define(eq=False)
class TimedWorker(StrictWorker):
    """Strict worker whose run times depend on the job."""

    times: dict[str, int] = attrs.field(factory=dict)

    def _start_order(self, now_ms: int, body: dict[str, Any]) -> str:
        self.run_ms = self.times.get(body["task"].partition(".")[0], 100)
        return super()._start_order(now_ms, body)


@attrs.define(eq=False)
class Fuzz:
    """One random course of events.

    Attributes:
        late: Agents whose calls go unanswered and are carried out late, with the share
            of the calls.
        late_grants: The same for renewals, whose lease counts from their arrival.
        slow: Agents whose calls are delayed and overtake each other, with the longest
            delay in milliseconds.
        silent: Agents that get no answers to a share of the calls.
        beats: Agents whose heartbeats are delayed, with the longest delay.
        actions: What was done, for the report.
    """

    seed: int
    kinds: tuple[str, ...] = ()
    rng: random.Random = attrs.field(init=False)
    model: StrictModel = attrs.field(init=False)
    late: dict[str, float] = attrs.field(factory=dict)
    late_grants: dict[str, float] = attrs.field(factory=dict)
    slow: dict[str, int] = attrs.field(factory=dict)
    silent: dict[str, float] = attrs.field(factory=dict)
    beats: dict[str, int] = attrs.field(factory=dict)
    actions: list[str] = attrs.field(factory=list)
    false_ends: list[str] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    _jobs: int = 0
    _notes_read: int = 0

    def __attrs_post_init__(self) -> None:
        """Start all processes."""
        self.rng = random.Random(self.seed)
        model = self.model = StrictModel(entries=ENTRIES, agents=AGENTS)
        times: dict[str, int] = {}
        for name, machine in model.machines.items():
            worker = model.machines[name] = TimedWorker(
                instance=machine.instance,
                clock_rate=self.rng.choice((1.0, 0.98)),
                stop_takes_ms=self.rng.choice((0, 50)),
                times=times,
            )
            worker.begin_life(model.now_ms)
        self.times = times
        model.draw_fate = self._draw_fate
        model.heartbeat_delay_ms = self._heartbeat_delay_ms
        model.run(SETTLE_MS)

    times: dict[str, int] = attrs.field(init=False)

    def run(self) -> list[str]:
        """Play everything; return what was wrong."""
        model = self.model
        end_ms = model.now_ms + TRAFFIC_MS
        for kind, (_, _, rate) in enumerate(KINDS):
            self._send_repeatedly(kind, rate, end_ms)
        self._disturb_repeatedly(end_ms)
        model.at(1, self._watch)
        model.run(TRAFFIC_MS + QUIET_MS)
        overlapping = [f"two runs of {task}" for task in model.overlapping()]
        return overlapping + self.false_ends

    def _watch(self) -> None:
        """Check what the agents tell of ends against what the workers run."""
        rows = self.model.notes[self._notes_read :]
        self._notes_read = len(self.model.notes)
        for at_ms, name, event, fields in rows:
            inferred = event == "run not started" or (
                event == "run ended" and fields["how"] in INFERRED_ENDS
            )
            if not inferred or name not in self.model.machines:
                continue
            machine = self.model.machines[name]
            machine.advance(self.model.now_ms)
            if (fields["task"], fields["run"]) in machine.active:
                how = fields.get("how", event)
                self.false_ends.append(
                    f"{at_ms} {name} {fields['task']}#{fields['run']} told {how}"
                )
        self.model.at(1, self._watch)

    # Client accounts.

    def _send_repeatedly(self, kind: int, rate: float, end_ms: int) -> None:
        model = self.model
        if model.now_ms >= end_ms:
            return
        self._jobs += 1
        job_id = f"{self._jobs:016x}"
        count, run_ms, _ = KINDS[kind]
        self.times[job_id] = run_ms
        self._send(job_id, count, run_ms, 1)
        pause_ms = int(self.rng.expovariate(rate) * 1_000) + 1
        model.at(pause_ms, lambda: self._send_repeatedly(kind, rate, end_ms))

    def _send(self, job_id: str, count: int, run_ms: int, number: int) -> None:
        model = self.model
        entry = f"e{self.rng.randrange(ENTRIES)}"
        done = False

        def finish(outcome: str) -> None:
            nonlocal done
            if done:
                return
            done = True
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if outcome in ("unknown", "broken", "left") and number < MAX_SENDS:
                model.at(
                    RESEND_MS, lambda: self._send(job_id, count, run_ms, number + 1)
                )

        def on_answer(answer: Answer) -> None:
            finish(answer.outcome)

        spec = job(job_id, count=count, volatile=True, estimate_ms=run_ms)
        key = f"{job_id}/{number}"
        request = Request(key, spec, model.now_ms + DEADLINE_MS, on_answer)
        if entry not in model.nodes:
            finish("broken")
            return
        model.receive(entry, request)

        def leave() -> None:
            if not done:
                node = model.nodes.get(entry)
                if node is not None:
                    model.when_awake(node.host, lambda: model.leave(entry, request))
                finish("left")

        model.at(DEADLINE_MS, leave)

    # Faults.

    def _draw_fate(self, agent: str, path: str) -> Fate:
        rng = self.rng
        if rng.random() < self.late.get(agent, 0.0):
            return Fate(rng.randint(*LATE_MS), None)
        if path == "/hold" and rng.random() < self.late_grants.get(agent, 0.0):
            return Fate(rng.randint(*LATE_MS), None, grant_moves=True)
        if rng.random() < self.silent.get(agent, 0.0):
            return Fate(CALL_MS, None)
        longest_ms = self.slow.get(agent)
        if longest_ms:
            return Fate(
                rng.randint(1, longest_ms),
                rng.randint(1, longest_ms),
                lists_first=rng.random() < 0.5,
            )
        return PROMPT

    def _heartbeat_delay_ms(self, agent: str) -> int | None:
        longest_ms = self.beats.get(agent)
        if not longest_ms:
            return CALL_MS
        return None if self.rng.random() < 0.2 else self.rng.randint(1, longest_ms)

    def _disturb_repeatedly(self, end_ms: int) -> None:
        model, rng = self.model, self.rng
        if model.now_ms >= end_ms:
            return
        agent = f"u{rng.randrange(AGENTS)}"
        kind = rng.choice(self.kinds or sorted(FAULTS))
        length_ms = rng.choice((100, 400, 1_000, 2_500, 4_000))
        self.actions.append(f"{model.now_ms} {kind} {agent} {length_ms}")
        FAULTS[kind](self, agent, length_ms)
        model.at(rng.randint(50, 1_200), lambda: self._disturb_repeatedly(end_ms))

    def freeze(self, host: Host, length_ms: int) -> None:
        """Let a process stand still, unless it does already.

        The messages that it holds would be overtaken by later ones if the end of the
        freeze were moved.
        """
        if self.model.awake(host):
            host.frozen_until_ms = self.model.now_ms + length_ms

    def for_a_while(
        self, table: dict[str, Any], agent: str, value: Any, ms: int
    ) -> None:
        """Set a value of an agent, and remove it later."""
        table[agent] = value
        self.model.at(ms, lambda: table.pop(agent, None))


FAULTS: dict[str, Callable[[Fuzz, str, int], None]] = {}
# Faults that let an agent take another process for its worker.
IDENTITY_FAULTS = ("crash", "foreign_heartbeat", "late_heartbeats", "wall_clock")


def fault(function: Callable[[Fuzz, str, int], None]) -> Any:
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


@fault
def late_calls(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Carry out calls seconds later, without an answer."""
    fuzz.for_a_while(fuzz.late, agent, fuzz.rng.choice((0.2, 0.7, 1.0)), length_ms)


@fault
def late_grants(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Carry out renewals seconds later; their leases count from the arrival."""
    share = fuzz.rng.choice((0.05, 0.2, 0.5))
    fuzz.for_a_while(fuzz.late_grants, agent, share, 5_500)


@fault
def lost_answers(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Carry out calls at once, and lose their answers."""
    fuzz.for_a_while(fuzz.silent, agent, fuzz.rng.choice((0.2, 0.7, 1.0)), length_ms)


@fault
def slow_calls(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Let calls and answers overtake each other."""
    fuzz.for_a_while(fuzz.slow, agent, fuzz.rng.choice((10, 60, 150, 400)), length_ms)


@fault
def late_heartbeats(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Delay or lose heartbeats, also beyond the end of the worker's process."""
    fuzz.for_a_while(fuzz.beats, agent, 6_000, length_ms)


@fault
def foreign_heartbeats(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Send heartbeats of a process that is not there, with any time of its start."""
    model, rng = fuzz.model, fuzz.rng
    other = StrictWorker(instance=rng.choice((f"w-{agent}", "w-other")))
    other.wall_clock_error_ms = rng.choice((-20_000, 0, 20_000))
    other.begin_life(model.now_ms)
    other.draining = rng.random() < 0.2
    for after_ms in range(0, length_ms, 1_000):
        body = other.heartbeat(model.now_ms + after_ms, SERVICE)
        model.at(
            after_ms,
            lambda body=body: model.put_heartbeat(agent, other.instance, body),
        )


@fault
def wrong_clock(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Set the wall clock of the worker's host, for its next processes."""
    machine = fuzz.model.machines[agent]
    machine.wall_clock_error_ms = fuzz.rng.choice((-20_000, 0, 20_000))


@fault
def crash(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """End the worker; it comes back under the same or another identity."""
    model = fuzz.model
    if model.machines[agent].is_down(model.now_ms):
        return
    instance = f"w-{agent}-{model.now_ms}" if fuzz.rng.random() < 0.5 else ""
    model.replace(agent, fuzz.rng.randint(300, 3_000), instance=instance)


@fault
def release(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Drain a worker and let another one follow; notices of it may be late."""
    model, rng = fuzz.model, fuzz.rng
    machine = model.machines[agent]
    if machine.is_down(model.now_ms) or agent not in model.workers:
        return
    instance = machine.instance
    model.register(agent, draining=True)

    def leave() -> None:
        if machine.instance != instance or machine.is_down(model.now_ms):
            return
        following = f"w-{agent}-{model.now_ms}" if rng.random() < 0.7 else ""
        model.replace(agent, rng.randint(100, 1_000), instance=following)
        model.at(rng.choice((1, 200, 3_000)), lambda: model.delete(agent, instance))

    model.at(rng.randint(500, 4_000), leave)


@fault
def wall_clock(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Set the wall clock of a worker's host, by which the next process is born."""
    error_ms = fuzz.rng.choice((0, 3_000, 20_000))
    fuzz.model.machines[agent].wall_clock_error_ms = error_ms


@fault
def foreign_heartbeat(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Send a heartbeat of a writer that is no worker of the host."""
    model = fuzz.model
    other = StrictWorker(instance=f"foreign-{model.now_ms}")
    other.begin_life(model.now_ms - fuzz.rng.choice((0, 0, 60_000)))
    service = fuzz.rng.choice((SERVICE, "unknown"))
    body = other.heartbeat(model.now_ms, service)
    model.put_heartbeat(agent, other.instance, body)


@fault
def cut_worker(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Cut a worker from its agent; its runs go on until the lease ends."""
    mode = fuzz.rng.choice(("lost", "answers"))
    fuzz.model.cut_worker(agent, mode, length_ms * 2)


@fault
def unhealthy(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Let a worker refuse start orders, or fail all that it starts."""
    machine = fuzz.model.machines[agent]
    name = fuzz.rng.choice(("unhealthy", "fail_all", "stalled", "loses_stops"))
    setattr(machine, name, True)
    fuzz.model.at(length_ms, lambda: setattr(machine, name, False))


@fault
def shrink(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Let the capacity of a worker shrink for a while."""
    model = fuzz.model
    machine = model.machines[agent]
    machine.resize(model.now_ms, (2_000, 8_192, 0))
    model.at(length_ms, lambda: machine.resize(model.now_ms, (4_000, 8_192, 0)))


@fault
def kill_agent(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Kill an agent and start it again."""
    model = fuzz.model
    if agent in model.workers:
        registers = fuzz.rng.random() < 0.5
        model.kill(agent)
        model.at(
            fuzz.rng.choice((250, 600, 900)),
            lambda: model.start_agent(agent, registers=registers),
        )


@fault
def freeze_agent(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Let an agent stand still."""
    host = fuzz.model.workers.get(agent)
    if host is not None:
        fuzz.freeze(host, length_ms)


@fault
def freeze_entry(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Let an entry stand still."""
    name = f"e{fuzz.rng.randrange(ENTRIES)}"
    node = fuzz.model.nodes.get(name)
    if node is not None:
        fuzz.freeze(node.host, min(length_ms, 2_500))


@fault
def cut_link(fuzz: Fuzz, agent: str, length_ms: int) -> None:
    """Hold the messages between an entry and an agent."""
    entry = f"e{fuzz.rng.randrange(ENTRIES)}"
    way = fuzz.rng.choice(("to", "from", "both"))
    if way != "from":
        fuzz.model.block(entry, agent, length_ms)
    if way != "to":
        fuzz.model.block(agent, entry, length_ms)


@click.command()
@click.option("--seeds", default="1-20", help="Range of seeds `A-B`.")
@click.option("--fault", "kinds", multiple=True, type=click.Choice(sorted(FAULTS)))
def main(seeds: str, kinds: tuple[str, ...]) -> None:
    """Play seeds and print what was wrong."""
    first, _, last = seeds.partition("-")
    failed = 0
    totals: dict[str, int] = {}
    for seed in range(int(first), int(last or first) + 1):
        fuzz = Fuzz(seed, kinds)
        problems = fuzz.run()
        for outcome, number in fuzz.outcomes.items():
            totals[outcome] = totals.get(outcome, 0) + number
        if problems:
            failed += 1
            click.echo(f"seed {seed}: {len(problems)}")
            click.echo(
                "\n".join(f"  {line}" for line in [*problems[:8], *fuzz.actions])
            )
    click.echo(f"{failed} seeds failed; answers {totals}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
