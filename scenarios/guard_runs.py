"""Shows that each safety check is needed: without it a named scenario fails."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import attrs

from catkincross.effects import Received
from catkincross.guards import ALL_GUARDS, Guards
from catkincross.messages import PlaceTasks, StartTasks, TaskStart

from .driver import MESSAGE_DELAY_MS, Driver
from .invariants import violations
from .matrix import build, submit

SETTLE_MS = 30_000

Scenario = Callable[[Driver], list[str]]
GUARD_RUNS: dict[str, tuple[str, Scenario]] = {}


def needs_guard(guard: str, name: str) -> Callable[[Scenario], Scenario]:
    """Register a scenario that fails without a guard.

    The function gets a ready driver and returns violations beyond the invariants.
    """

    def register(scenario: Scenario) -> Scenario:
        GUARD_RUNS[guard] = (name, scenario)
        return scenario

    return register


def run_guard(guard: str, *, active: bool) -> list[str]:
    """Run the scenario of a guard with the guard on or off.

    Returns:
        A line for each violation.
    """
    guards = ALL_GUARDS if active else attrs.evolve(Guards(), **{guard: False})
    driver = build(guards=guards)
    found = GUARD_RUNS[guard][1](driver)
    driver.run(SETTLE_MS)
    return found + violations(driver)


def when(driver: Driver, kind: type, action: Callable[[str, str], None]) -> None:
    """Do something once, when an item of a kind first occurs."""

    def observe(process: str, other: str, item: Any) -> None:
        if isinstance(item, kind):
            driver.observers.remove(observe)
            action(process, other)

    driver.observers.append(observe)


def delay_first(driver: Driver, kind: type, delay_ms: int) -> None:
    """Delay the first message of a kind; later ones are not held up."""
    usual = driver.route

    def route(sender: str, to: str, message: Any) -> list[int]:
        if not isinstance(message, kind):
            return usual(sender, to, message)
        driver.route = usual
        return [delay_ms]

    driver.route = route


def watch_starts(
    driver: Driver, broken: Callable[[Any, TaskStart], bool], text: str
) -> list[str]:
    """Return a list that collects the starts at which a condition is broken."""
    found: list[str] = []

    def observe(process: str, other: str, item: Any) -> None:
        if isinstance(item, TaskStart):
            state = driver.nodes[process].core.state
            if broken(state, item):
                found.append(f"{item.task} at {process}: {text}")

    driver.observers.append(observe)
    return found


@needs_guard("duplicate", "a duplicate of a start order arrives while its task runs")
def _duplicate(driver: Driver) -> list[str]:
    usual = driver.route

    def twice(sender: str, to: str, message: Any) -> list[int]:
        delays = usual(sender, to, message)
        extra = [MESSAGE_DELAY_MS + 400] if isinstance(message, StartTasks) else []
        return delays + extra

    driver.route = twice
    submit(driver, "e1", "k0", 8)
    return []


@needs_guard("fence", "a placement of an ended owner arrives after its successor ran")
def _fence(driver: Driver) -> list[str]:
    delay_first(driver, PlaceTasks, 15_000)
    paused: list[str] = []

    def pause_owner(process: str, other: str) -> None:
        paused.append(process)
        driver.pause(process)

    when(driver, PlaceTasks, pause_owner)
    submit(driver, "e1", "k1", 40)
    driver.run(14_000)
    for entry in ("e1", "e2", "e3"):
        if f"entry/{entry}" not in paused:
            submit(driver, entry, "k1", 40)
    return watch_starts(
        driver,
        lambda state, start: all(
            entry.incarnation != start.owner for entry in state.view.entries
        ),
        "started for an ended owner",
    )


@needs_guard("freshness", "a drain is accepted while a data centre is cut off")
def _freshness(driver: Driver) -> list[str]:
    for entry in ("entry/e2", "entry/e3"):
        driver.cut("entry/e1", entry)
        for agent in ("agent/u1", "agent/u3"):
            driver.cut(agent, entry)
    driver.log_cut.add("entry/e1")
    driver.drain("e2", "perth")
    for number in range(30):
        driver.at(
            driver.now_ms + 300 * number,
            lambda number=number: submit(driver, "e1", f"f{number}", 2) and None,
        )
    driver.run(10_000)
    driver.heal()
    return []


@needs_guard("start_by", "an agent is frozen between receiving and starting a task")
def _start_by(driver: Driver) -> list[str]:
    def freeze(process: str, other: str) -> None:
        driver.pause(other)
        driver.at(driver.now_ms + 1_300, lambda: driver.resume(other))

    when(driver, StartTasks, freeze)
    submit(driver, "e1", "k0", 8)
    return watch_starts(
        driver,
        lambda state, start: state.now_ms > start.start_by_ms,
        "started after its start-by time",
    )


@needs_guard("epoch", "a start order of a killed home arrives after the next grant")
def _epoch(driver: Driver) -> list[str]:
    usual = driver.route

    def route(sender: str, to: str, message: Any) -> list[int]:
        if not isinstance(message, StartTasks):
            return usual(sender, to, message)
        driver.route = usual
        late = Received(sender, message)
        driver.at(driver.now_ms + 5, lambda: driver.kill(sender))
        driver.at(driver.now_ms + 700, lambda: driver.deliver(driver.nodes[to], late))
        return []

    driver.route = route
    found = watch_starts(
        driver,
        lambda state, start: start.grant_epoch != state.grant_epoch,
        "started under an earlier grant",
    )
    submit(driver, "e3", "k0", 8)
    return found


@needs_guard("drain", "a start order arrives after the view of a drain")
def _drain(driver: Driver) -> list[str]:
    delay_first(driver, StartTasks, 700)
    submit(driver, "e1", "k0", 8)
    driver.drain("e1", "perth")
    driver.drain("e1", "stirling")
    return watch_starts(
        driver,
        lambda state, start: state.view.draining,
        "started although the agent knew of the drain",
    )


@needs_guard("census", "an owner is killed in its job, which is submitted again")
def _census(driver: Driver) -> list[str]:
    when(driver, TaskStart, lambda process, other: _kill_owner(driver, "k1"))
    submit(driver, "e1", "k1", 40)
    driver.run(9_000)
    for entry in ("e1", "e2", "e3"):
        if driver.nodes[f"entry/{entry}"].alive:
            submit(driver, entry, "k1", 40)
    return []


def _kill_owner(driver: Driver, key: str) -> None:
    owners = [
        process
        for _, process, _, message in driver.sent
        if isinstance(message, StartTasks | PlaceTasks) and process.startswith("entry/")
    ]
    driver.at(driver.now_ms, lambda: driver.kill(owners[0]))


def main() -> int:
    """Print each guard with the scenario that fails without it."""
    wrong = 0
    for guard, (name, _) in GUARD_RUNS.items():
        with_guard = run_guard(guard, active=True)
        without = run_guard(guard, active=False)
        ok = not with_guard and bool(without)
        wrong += not ok
        print(f"{guard:10} | {name} | {'ok' if ok else 'WRONG'}")
        print(f"    with it: {with_guard[:1] or 'no violation'}")
        print(f"    without it: {without[:1] or 'no violation'}")
    print(f"{len(GUARD_RUNS) - wrong} guards shown, {wrong} not shown")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
