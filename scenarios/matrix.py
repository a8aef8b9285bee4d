"""The fault matrix: every fault at every step, on pure code, in virtual time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import attrs

from catkincross.effects import JobSubmitted
from catkincross.guards import ALL_GUARDS, Guards
from catkincross.messages import (
    AgentView,
    ForwardJob,
    HeartbeatReply,
    JobAnswer,
    PeerHeartbeat,
    PlaceTasks,
    StartTasks,
    TaskResults,
    TaskSpec,
    TaskStart,
)
from catkincross.records import Record, ResourcePut

from .driver import Driver
from .faults import FAULTS, NEEDS_MESSAGE
from .invariants import INVARIANTS, violations

RUN_MS = 45_000
SEED = 11

Trigger = Callable[[str, str, Any], bool]


@attrs.frozen
class Step:
    """A step on the way of a job or of a change.

    Attributes:
        matches: Whether an event `(process, other, item)` is this step.
        is_message: Whether the step is a message between two processes.
    """

    name: str
    matches: Trigger
    is_message: bool


def _message(name: str, kind: type, sender: str = "", to: str = "") -> Step:
    def matches(process: str, other: str, item: Any) -> bool:
        return (
            isinstance(item, kind)
            and process.startswith(sender)
            and other.startswith(to)
        )

    return Step(name, matches, True)


def _is_drain(item: Any) -> bool:
    return isinstance(item, Record) and isinstance(item.body, ResourcePut)


STEPS = [
    Step("job submitted", lambda p, o, i: isinstance(i, JobSubmitted), False),
    _message("job forwarded", ForwardJob),
    _message("tasks placed", PlaceTasks),
    _message("tasks sent", StartTasks),
    Step("task started", lambda p, o, i: isinstance(i, TaskStart), False),
    _message("result sent", TaskResults, "agent/", "entry/"),
    _message("result relayed", TaskResults, "entry/", "entry/"),
    _message("job answered", JobAnswer),
    Step("change appended", lambda p, o, i: _is_drain(i), False),
    Step(
        "drain shown to an agent",
        lambda p, o, i: isinstance(i, AgentView) and i.draining,
        True,
    ),
    _message("agent's heartbeat answered", HeartbeatReply),
    _message("entries' heartbeat", PeerHeartbeat),
]


def build(seed: int = SEED, guards: Guards = ALL_GUARDS) -> Driver:
    """Return a driver with three entries and four agents that are ready."""
    driver = Driver(seed=seed, guards=guards)
    for number, data_centre in enumerate(("perth", "stirling", "dundee"), 1):
        driver.add_entry(f"e{number}", data_centre)
    driver.run(1_000)
    for number in range(4):
        driver.add_agent(f"u{number + 1}", ("perth", "stirling")[number % 2], slots=4)
    driver.run(2_000)
    driver.run_ms = lambda agent, start: 150 + 40 * (start.task.index % 5)
    return driver


def submit(
    driver: Driver, entry: str, key: str, count: int = 40, *, deadline_ms: int = 20_000
) -> int:
    """Submit a job whose tasks return their payload."""
    job = JobSubmitted(
        request_id=0,
        key=f"team/{key}",
        digest=f"{key}/{count}".encode(),
        team="team",
        service="s",
        tasks=[TaskSpec(f"{key}/{index}".encode()) for index in range(count)],
        deadline_ms=deadline_ms,
    )
    return driver.submit(entry, job)


def workload(driver: Driver) -> None:
    """Schedule jobs, resubmissions at other entries, a drain and its end."""
    start_ms = driver.now_ms
    for number in range(6):
        key, entry = f"k{number}", f"e{number % 3 + 1}"
        driver.at(
            start_ms + 120 * number,
            lambda entry=entry, key=key: _submit_if_alive(driver, entry, key),
        )
        other = f"e{(number + 1) % 3 + 1}"
        for delay_ms in (700, 5_000, 24_000):
            driver.at(
                start_ms + delay_ms + 120 * number,
                lambda other=other, key=key: _submit_if_alive(driver, other, key),
            )
    driver.at(start_ms + 400, lambda: _drain_if_alive(driver, drain=True))
    driver.at(start_ms + 15_000, lambda: _drain_if_alive(driver, drain=False))


def _submit_if_alive(driver: Driver, entry: str, key: str) -> None:
    if driver.nodes[f"entry/{entry}"].alive:
        submit(driver, entry, key)


def _drain_if_alive(driver: Driver, *, drain: bool) -> None:
    for entry in ("e2", "e1", "e3"):
        node = driver.nodes[f"entry/{entry}"]
        if node.alive and not node.paused and node.core.state.incarnation is not None:
            driver.drain(entry, "stirling", drain=drain)
            return


def not_applicable(step: Step, fault: str) -> str:
    """Return why a fault cannot happen at a step, or an empty string."""
    if fault in NEEDS_MESSAGE and not step.is_message:
        return "the step is inside one process"
    return ""


def run_cell(step: Step, fault: str, *, guards: Guards = ALL_GUARDS) -> list[str]:
    """Run the workload with a fault at the first occurrence of a step.

    Returns:
        A line for each violation of an invariant.
    """
    driver = build(guards=guards)
    inject_once(driver, step, fault)
    workload(driver)
    driver.run(RUN_MS)
    return violations(driver)


def inject_once(driver: Driver, step: Step, fault: str) -> None:
    """Inject a fault when a step first occurs."""
    usual = driver.route
    delays: list[list[int]] = []

    def observe(process: str, other: str, item: Any) -> None:
        if not step.matches(process, other, item):
            return
        driver.observers.remove(observe)
        result = FAULTS[fault](driver, process, other)
        if result is not None:
            delays.append(result)
            routed = driver.route

            def once(sender: str, to: str, message: Any) -> list[int]:
                driver.route = usual if routed is usual else routed
                return delays.pop()

            driver.route = once

    driver.observers.append(observe)


def cells() -> list[tuple[Step, str]]:
    """Return all pairs of a step and a fault."""
    return [(step, fault) for step in STEPS for fault in FAULTS]


def main() -> int:
    """Print the matrix; return 1 if a cell fails."""
    names = ", ".join(INVARIANTS)
    print(f"Each cell checks: {names}. All cells run on pure code, seed {SEED}.")
    failed = 0
    for step, fault in cells():
        reason = not_applicable(step, fault)
        found = [] if reason else run_cell(step, fault)
        failed += bool(found)
        result = f"n/a ({reason})" if reason else ("FAILED" if found else "ok")
        print(f"{step.name:28} | {fault:45} | {result}")
        for line in found:
            print(f"    {line}")
    print(f"{failed} cells failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
