"""Checks of the promises over a run of the driver."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from catkincross.effects import JobSubmitted
from catkincross.entry_core._entry_core import EntryCore
from catkincross.ids import hash_key
from catkincross.messages import JobAnswer, JobState, Truth
from catkincross.resources._control_state import ControlState
from catkincross.resources._fold import fold_record

from .driver import Driver

DRAIN_BOUND_MS = 3_000

Check = Callable[[Driver], list[str]]
INVARIANTS: dict[str, Check] = {}


def invariant(name: str) -> Callable[[Check], Check]:
    """Register a check that returns a line for each violation."""

    def register(check: Check) -> Check:
        INVARIANTS[name] = check
        return check

    return register


def violations(driver: Driver, names: list[str] | None = None) -> list[str]:
    """Return all violations of some or all invariants, with their names."""
    return [
        f"{name}: {line}"
        for name, check in INVARIANTS.items()
        if names is None or name in names
        for line in check(driver)
    ]


def _submissions(driver: Driver) -> list[tuple[JobSubmitted, JobAnswer | None]]:
    return [
        (job, driver.answers.get(job.request_id)) for job in driver.submitted.values()
    ]


@invariant("at most one start")
def _at_most_one_start(driver: Driver) -> list[str]:
    counts = Counter(
        item.start.task for item in driver.starts if not item.start.idempotent
    )
    return [f"{task} started {n} times" for task, n in counts.items() if n > 1]


@invariant("complete or failed")
def _complete_or_failed(driver: Driver) -> list[str]:
    lines = []
    for job, answer in _submissions(driver):
        if answer is None:
            continue
        if answer.state is JobState.COMPLETE:
            indices = [result.task.index for result in answer.results]
            if indices != list(range(len(job.tasks))):
                lines.append(f"{job.key}: complete with results of {indices}")
        elif answer.results:
            lines.append(f"{job.key}: {answer.state} with results")
    return lines


@invariant("own and whole answer")
def _own_answer(driver: Driver) -> list[str]:
    lines = []
    for job, answer in _submissions(driver):
        if answer is None or answer.state is not JobState.COMPLETE:
            continue
        if job.key and answer.key != job.key:
            lines.append(f"{job.key}: got the answer of {answer.key}")
        payloads = [result.payload for result in answer.results]
        if payloads != [spec.payload for spec in job.tasks]:
            lines.append(f"{job.key}: got other payloads")
    return lines


@invariant("not run is true")
def _not_run_is_true(driver: Driver) -> list[str]:
    lines = []
    for job, answer in _submissions(driver):
        if answer is None or answer.truth is not Truth.NOT_RUN:
            continue
        key_hash = hash_key(answer.key)
        answered_ms = driver.answered_ms[job.request_id]
        submitted_ms = [
            driver.submitted_ms[other.request_id]
            for other in driver.submitted.values()
            if other.key == job.key and job.key and other.request_id != job.request_id
        ]
        resubmitted_ms = min(
            (t for t in submitted_ms if t >= answered_ms), default=None
        )
        for item in driver.starts:
            if item.start.task.key_hash != key_hash:
                continue
            if resubmitted_ms is None or item.at_ms < resubmitted_ms:
                lines.append(f"{answer.key}: not_run but started at {item.at_ms}")
    return lines


def drains(driver: Driver) -> list[tuple[str, int, int]]:
    """Return data centre, time of acceptance and time of restoration of each drain.

    A drain is accepted when its record is appended, unless the fold drops it.
    """
    state = ControlState()
    open_drains: dict[str, int] = {}
    found = []
    for time_ms, offset, record in driver.appended:
        fold_record(state, offset, record, time_ms)
        for (kind, name), resource in state.resources.items():
            if kind != "datacentres":
                continue
            if resource.spec.get("drain"):
                open_drains.setdefault(name, time_ms)
            elif name in open_drains:
                found.append((name, open_drains.pop(name), time_ms))
    end_ms = driver.now_ms + 1
    return found + [(name, since_ms, end_ms) for name, since_ms in open_drains.items()]


@invariant("no start after a drain")
def _no_start_after_drain(driver: Driver) -> list[str]:
    lines = []
    for data_centre, accepted_ms, restored_ms in drains(driver):
        for item in driver.starts:
            node = driver.nodes[item.agent]
            if node.core.state.settings.data_centre != data_centre:
                continue
            if accepted_ms + DRAIN_BOUND_MS < item.at_ms < restored_ms:
                lines.append(
                    f"{item.start.task} started in {data_centre} "
                    f"{item.at_ms - accepted_ms} ms after the drain"
                )
    return lines


@invariant("no reversion")
def _no_reversion(driver: Driver) -> list[str]:
    lines = []
    for process, versions in driver.versions_seen.items():
        for before, after in zip(versions, versions[1:], strict=False):
            if after < before:
                lines.append(f"{process} went back from version {before} to {after}")
    states: dict[int, object] = {}
    for node in driver.nodes.values():
        if not isinstance(node.core, EntryCore) or not node.alive:
            continue
        control = node.core.state.control
        view = {
            key: (resource.generation, resource.spec)
            for key, resource in control.resources.items()
        }
        if states.setdefault(control.version, view) != view:
            lines.append(f"{node.process} differs at version {control.version}")
    return lines


@invariant("every caller is answered")
def _every_caller_is_answered(driver: Driver) -> list[str]:
    lines = []
    for job, answer in _submissions(driver):
        entry = driver.nodes[driver.submitted_at[job.request_id]]
        if answer is not None or not entry.alive or entry.paused:
            continue
        if entry.life != driver.submitted_life[job.request_id]:
            continue
        if (
            driver.now_ms
            > driver.submitted_ms[job.request_id] + job.deadline_ms + 5_000
        ):
            lines.append(f"{job.key}: no answer after its deadline")
    return lines
