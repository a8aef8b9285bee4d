"""Random faults of the links between entries, with the daemons' own claims.

Besides the disruptions of `volatile_fuzz`, all channels are reset or fall silent for
good at once, entries handle messages late, and stand still for short times.

Run `python -m scenarios.claims_fuzz FIRST LAST [slow|declared]` to play the seeds of a
range; `slow` plays entries that answer all claims too late, `declared` a store that
fails single entries while the declarations change.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from typing import Any

import attrs

from .claims_model import ClaimsModel
from .declared_model import IGNORE, REFUSE
from .soak_findings import Fault
from .volatile_fuzz import (
    ACTIONS,
    AGENTS,
    DRAWS,
    ENTRIES,
    RUNS_MS,
    Action,
    Plan,
    Play,
    shrink,
)

# Time from the first to the last disruption, in milliseconds.
EPISODE_MS = 4_000
TIMEOUTS_MS = (1_500, 6_000)
LAGS_MS = (100, 250, 400, 900)
STALLS_MS = (150, 250, 400, 900)
NOTICES_MS = (1, 500, 3_000)
# Client accounts send a job again after 1,300 ms; shorter times find more.
RESENDS_MS = (50, 400, 1_300, 1_300)
JOBS = 12
SLOW_LAGS_MS = (250, 400, 600, 900)
SLOW_MS = 12_000
SLOW_RUNS_MS = (300, 800, 1_500)
SLOW_JOBS = 16
NAMES = [f"e{number}" for number in range(ENTRIES)]
# Actions after which entries are still bound to the time limit of declarations.
UNDISTURBING = {"submit", "change_declarations", "cut_clients", "cut_agent"}
UNDISTURBING |= {"kill_agent", "freeze_agent", "cut_worker", "lose_stops", "crash"}
# Longest time for which `stall_entries` goes on.
LONGEST_STALLS_MS = 7_800
CHANGES = 8
# Time after the last other action in which declarations still change.
CHANGES_MS = 14_000


class ClaimsPlay(Play):
    """Plays a plan on the model with the daemons' own claims."""

    actions = dict(ACTIONS)
    draws = dict(DRAWS)
    model_class = ClaimsModel
    settle_ms = 1_500

    def run(self) -> list[str]:
        """Play all actions.

        Returns:
            The tasks of which two runs overlapped, and answers by outdated
            declarations.
        """
        start_ms = self.model.now_ms
        self.model.declared.faults += [
            fault
            for step in self.plan.actions
            if (fault := _fault_of(step, start_ms)) is not None
        ]
        try:
            found = super().run()
        finally:
            self.model.close()
        assert not self.model.errors, self.model.errors
        return found + self.model.declared.findings()


def _fault_of(step: Action, start_ms: int) -> Fault | None:
    """Return the disruption of entries that an action is; None if it is none."""
    if step.kind in UNDISTURBING:
        return None
    names: list[str] = []
    for value in step.values:
        names += value if isinstance(value, tuple) else [value]
    entries = [name for name in names if name in NAMES]
    lengths_ms = [v for v in names if isinstance(v, int) and not isinstance(v, bool)]
    for_ms = LONGEST_STALLS_MS if step.kind == "stall_entries" else 0
    at_ms = start_ms + step.at_ms
    what = " ".join([step.kind, *entries])
    return Fault(what, at_ms, at_ms + max([for_ms, *lengths_ms]))


def action(draw: Callable[[random.Random], tuple[Any, ...]]) -> Any:
    """Register a disruption; `draw` returns random arguments of it."""

    def add(function: Any) -> Any:
        ClaimsPlay.actions[function.__name__] = function
        ClaimsPlay.draws[function.__name__] = draw
        return function

    return add


@action(lambda draw: ())
def change_declarations(play: Play) -> None:
    """Write a new version of the declarations."""
    play.model.declared.declare_next(play.model.now_ms)


@action(
    lambda draw: (
        draw.choice(NAMES),
        draw.choice((REFUSE, IGNORE)),
        draw.choice((3_000, 8_000, 12_000)),
    )
)
def turn_away(play: Play, entry: str, mode: str, for_ms: int) -> None:
    """Let the store refuse or ignore one entry for a while."""
    declared = play.model.declared
    declared.turned_away[entry] = mode
    play.model.at(for_ms, lambda: declared.turned_away.pop(entry, None))


@action(lambda draw: (_some_entries(draw),))
def silence_store(play: Play, entries: tuple[str, ...]) -> None:
    """Let the open connections of entries to the store fall silent for good."""
    for entry in entries:
        play.model.declared.silenced_ms[entry] = play.model.now_ms


@action(lambda draw: (draw.choice((500, 2_000, 5_000)),))
def store_down(play: Play, for_ms: int) -> None:
    """Let the store refuse all calls for a while."""
    model = play.model
    model.store.down = True

    def recover() -> None:
        model.store.down = False

    model.at(for_ms, recover)


def _break_clients(play: Play, entry: str, notice_ms: int | None) -> None:
    if notice_ms is not None:
        play.reset_all(entry, notice_ms)


def _some_entries(draw: random.Random) -> tuple[str, ...]:
    return tuple(draw.sample(NAMES, draw.choice((1, 2, 3, 3))))


@action(
    lambda draw: (
        _some_entries(draw),
        draw.random() < 0.7,
        draw.random() < 0.5,
        draw.choice((None, *NOTICES_MS)),
    )
)
def reset_channels(
    play: Play,
    entries: tuple[str, ...],
    silent: bool,
    agents: bool,
    notice_ms: int | None,
) -> None:
    """Reset all channels of some entries, or let them fall silent for good."""
    for entry in entries:
        play.model.reset_channels(entry, silent=silent, agents=agents)
        _break_clients(play, entry, notice_ms)


@action(
    lambda draw: (
        _some_entries(draw),
        draw.choice(LAGS_MS),
        draw.choice((500, 2_000, 5_000)),
    )
)
def slow_entries(
    play: Play, entries: tuple[str, ...], lag_ms: int, for_ms: int
) -> None:
    """Let entries handle each message late for a while."""
    model = play.model
    for entry in entries:
        daemon = model.nodes.get(entry)
        if daemon is not None:
            daemon.lag_ms = lag_ms

            def recover(daemon: Any = daemon) -> None:
                daemon.lag_ms = 0

            model.at(for_ms, recover)


@action(lambda draw: (_some_entries(draw), draw.randrange(1_000), draw.randrange(2, 7)))
def stall_entries(play: Play, entries: tuple[str, ...], seed: int, number: int) -> None:
    """Let entries stand still for short times, one after the other."""
    model = play.model
    for entry in entries:
        draw = random.Random(f"{seed}/{entry}")
        at_ms = 0
        for _ in range(number):
            at_ms += draw.randrange(0, 400)
            for_ms = draw.choice(STALLS_MS)
            model.at(at_ms, lambda entry=entry, ms=for_ms: _freeze(play, entry, ms))
            at_ms += for_ms


def _freeze(play: Play, entry: str, for_ms: int) -> None:
    daemon = play.model.nodes.get(entry)
    if daemon is not None:
        daemon.host.frozen_until_ms = play.model.now_ms + for_ms


def _with_distinct_jobs(plan: Plan) -> Plan:
    """Return a plan without the second of two submissions of the same job."""
    seen: set[str] = set()
    actions = []
    for step in plan.actions:
        if step.kind != "submit" or step.values[0] not in seen:
            actions.append(step)
        if step.kind == "submit":
            seen.add(step.values[0])
    return attrs.evolve(plan, actions=tuple(actions))


def plan_of(seed: int) -> Plan:
    """Return the plan of a seed: jobs, and disruptions around them."""
    draw = random.Random(f"claims/{seed}")
    run_ms = tuple(draw.choice(RUNS_MS) for _ in range(AGENTS))
    disruptions = sorted(set(ClaimsPlay.actions) - {"submit", "change_declarations"})
    # Faults of the entries come more often than those of agents and workers.
    disruptions += ["reset_channels", "slow_entries", "stall_entries"] * 4
    disruptions += ["cut_clients"] * 4
    actions = [
        Action(draw.randrange(0, EPISODE_MS), "submit", DRAWS["submit"](draw))
        for _ in range(JOBS)
    ]
    for _ in range(draw.randrange(3, 9)):
        kind = draw.choice(disruptions)
        at_ms = draw.randrange(0, EPISODE_MS)
        actions.append(Action(at_ms, kind, ClaimsPlay.draws[kind](draw)))
    actions += _changes(draw)
    times_ms = draw.choice(RESENDS_MS), draw.choice(TIMEOUTS_MS)
    return _with_distinct_jobs(Plan(seed, run_ms, tuple(actions), *times_ms))


def _changes(draw: random.Random) -> list[Action]:
    """Return changes of the declarations during the disruptions and after them."""
    times_ms = [draw.randrange(0, EPISODE_MS) for _ in range(CHANGES)]
    times_ms += [draw.randrange(EPISODE_MS, CHANGES_MS) for _ in range(CHANGES)]
    return [Action(at_ms, "change_declarations") for at_ms in times_ms]


def slow_plan_of(seed: int) -> Plan:
    """Return a plan in which all entries handle each message late for 12 s."""
    draw = random.Random(f"slow/{seed}")
    slow = (tuple(NAMES), draw.choice(SLOW_LAGS_MS), SLOW_MS)
    actions = [Action(50, "slow_entries", slow)]
    for _ in range(SLOW_JOBS):
        job_id = f"{draw.randrange(1_000, 9_999):016x}"
        values = job_id, draw.randrange(1, 4), draw.choice(NAMES)
        actions.append(Action(draw.randrange(100, 7_000), "submit", values))
    for entry in NAMES:
        for _ in range(draw.randrange(1, 4)):
            at_ms = draw.randrange(1_000, 8_000)
            values = entry, draw.choice(NOTICES_MS)
            actions.append(Action(at_ms, "cut_clients", values))
    if draw.random() < 0.4:
        at_ms = draw.randrange(5_000)
        stalls = tuple(NAMES), draw.randrange(1_000), draw.randrange(2, 7)
        actions.append(Action(at_ms, "stall_entries", stalls))
    run_ms = tuple(draw.choice(SLOW_RUNS_MS) for _ in range(AGENTS))
    times_ms = draw.choice(RESENDS_MS), draw.choice(TIMEOUTS_MS)
    return _with_distinct_jobs(Plan(seed, run_ms, tuple(actions), *times_ms))


def declared_plan_of(seed: int) -> Plan:
    """Return a plan in which the store fails single entries or all of them."""
    draw = random.Random(f"declared/{seed}")
    kinds = ["turn_away"] * 3 + ["silence_store"] * 2
    kinds += ["store_down", "kill_entry", "freeze_entry", "reset_channels"]
    actions = _changes(draw)
    for _ in range(draw.randrange(1, 4)):
        kind = draw.choice(kinds)
        at_ms = draw.randrange(0, EPISODE_MS)
        actions.append(Action(at_ms, kind, ClaimsPlay.draws[kind](draw)))
    return Plan(seed, SLOW_RUNS_MS + RUNS_MS[:1], tuple(actions))


def play_plan(plan: Plan) -> list[str]:
    """Play a plan; return what was found, as `ClaimsPlay.run`."""
    return ClaimsPlay(plan).run()


def main(first: int, last: int, make_plan: Callable[[int], Plan]) -> int:
    """Play a range of seeds, and print the smallest plan of each that fails."""
    failed = 0
    for seed in range(first, last + 1):
        plan = make_plan(seed)
        tasks = play_plan(plan)
        if tasks:
            failed += 1
            small = shrink(plan, play_plan)
            print(f"seed {seed}: {sorted(set(tasks))}, smallest plan:", flush=True)
            times_ms = small.run_ms, small.resend_ms, small.timeout_ms
            print("  run_ms, resend_ms, timeout_ms:", times_ms)
            for step in small.actions:
                print(f"  {step}", flush=True)
    print(f"{failed} of {last + 1 - first} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    makers = {"slow": slow_plan_of, "declared": declared_plan_of}
    maker = makers[sys.argv[3]] if sys.argv[3:] else plan_of
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), maker))
