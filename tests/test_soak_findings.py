"""What a soak reports of overlapping runs, and what its callers do."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import attrs

from scenarios.soak_callers import Callers, SoakPlan, SoakWorker
from scenarios.soak_findings import Fault, Send, describe, overlapping_runs

from .test_soak_daemons import daemon

TASK = "0000000000000007.0.0.1"


def worker(name: str, *events: tuple[int, str, int]) -> SoakWorker:
    """Return a worker with events of the task: time, event and run."""
    made = SoakWorker(name, seed=1, run_range_ms=(40, 1_500))
    made.run_events = [(at, what, TASK, run) for at, what, run in events]
    return made


def test_runs_at_two_workers_are_reported_with_sends_and_faults() -> None:
    """A finding that named only the task could not be traced to its fault."""
    pairs = overlapping_runs(
        [
            worker("w0", (5_000, "start", 1), (5_900, "done", 1)),
            worker("w1", (5_400, "start", 1), (6_000, "stopped", 1)),
        ]
    )
    job_id = TASK.partition(".")[0]
    sends = [
        Send(job_id, "e1", 4_900, 5_200, "ServerDisconnectedError"),
        Send("0000000000000008", "e2", 4_900, 5_200, "200"),
    ]
    faults = [
        Fault("kill e1", 5_200, 5_210),
        Fault("freeze e0", 1_000, 1_900),
        Fault("reload e3", 9_000, 9_000),
    ]
    assert [describe(pair, sends, faults, 1_000) for pair in pairs] == [
        f"task {TASK} ran twice at a time\n"
        "  run 1 on w0: 4.000 to 4.900 s, done\n"
        "  run 1 on w1: 4.400 to 5.000 s, stopped\n"
        "  sent to e1: 3.900 to 4.200 s, ServerDisconnectedError\n"
        "  kill e1: 4.200 to 4.210 s"
    ]


def test_a_run_that_replaces_another_on_its_worker_is_reported() -> None:
    """The worker forgets the first run, so its end is never listed."""
    events = (0, "start", 1), (50, "start", 2), (90, "done", 2)
    assert len(overlapping_runs([worker("w0", *events)])) == 1


def test_a_run_that_begins_at_the_end_of_another_is_not_reported() -> None:
    """Times are in whole milliseconds, so an end and a start may share one."""
    first = worker("w0", (0, "start", 1), (50, "lapsed", 1))
    second = worker("w1", (50, "start", 2), (90, "done", 2))
    assert overlapping_runs([first, second]) == []


@attrs.define(eq=False)
class ScriptedCallers(Callers):
    """Callers that get given answers."""

    answers: list[tuple[int | None, Any]] = attrs.field(factory=list)

    async def ask(self, *_: Any, **__: Any) -> tuple[int | None, Any]:
        """Return the next answer."""
        return self.answers.pop(0)


def sent_to(tmp_path: Path, answers: list[tuple[int | None, Any]]) -> list[str]:
    """Return the entries to which a volatile job goes with these answers."""
    plan = attrs.evolve(SoakPlan.dense(), resend_s=0.0, seconds=0.01)
    plan = attrs.evolve(plan, volatile_of_three=3, jobs_per_s=50.0)
    entries = [daemon(name, tmp_path, []) for name in ("e0", "e1")]
    callers = ScriptedCallers(entries, plan, None, answers=answers)  # type: ignore
    asyncio.run(callers.submit(random.Random(1)))
    assert callers.accepted == []
    return [send.entry for send in callers.sends]


def test_a_volatile_job_without_an_answer_goes_to_another_entry(tmp_path: Path) -> None:
    """Callers that never sent a job again did not show that it ran twice."""
    first, second = sent_to(tmp_path, [(None, "caller left"), (200, {})])
    assert first != second


def test_a_job_is_sent_three_times_at_most(tmp_path: Path) -> None:
    """A job that is sent for ever keeps a soak from ending."""
    assert len(sent_to(tmp_path, [(None, "caller left")] * 3)) == 3


def test_a_job_that_was_answered_is_not_sent_again(tmp_path: Path) -> None:
    """A second request after an answer would be a new job."""
    assert len(sent_to(tmp_path, [(200, {})])) == 1
