"""Tests of tasks that have to run alone, beside workers that never become empty."""

from __future__ import annotations

import pytest

from scenarios.platform_model import SETTLE_MS, Model, job, ready_model

LASTING_JOB = "0000000000000001"
CRASHED_JOB = "5c0e7a21d94b36f8"
LATER_JOB = "a94b36f85c0e7a21"
WORKERS = 3
LONG_MS = 1_000_000
# Time from the crash of a worker until it is back and has lasting tasks again.
BACK_MS = 5_000
# A task that lasts has to go on within this time.
LASTING_WAIT_MS = 9_000


def run_alone_on_every_worker(model: Model, job_id: str) -> None:
    """Hand in a lasting job with a task on each worker."""
    spec = job(job_id, count=WORKERS, long_running=True, anti_affinity=1)
    model.submit(job_id, spec, model.owner_of(spec))
    model.run(SETTLE_MS)


def model_with_isolated_task(*, long_running: bool = False) -> Model:
    """Return a model with a task under which two workers with other runs crashed."""
    model = ready_model(agents=WORKERS)
    for machine in model.machines.values():
        machine.run_ms = LONG_MS
        machine.deadly = frozenset({f"{CRASHED_JOB}.0.0.0"})
    run_alone_on_every_worker(model, LASTING_JOB)
    spec = job(CRASHED_JOB, count=1, long_running=long_running)
    model.submit(CRASHED_JOB, spec, model.owner_of(spec))
    for _ in range(1_000):
        if model.count("crashed", CRASHED_JOB) == 2:
            break
        model.run(10)
    assert model.count("crashed", CRASHED_JOB) == 2
    for machine in model.machines.values():
        machine.deadly = frozenset()
    model.run(BACK_MS)
    return model


@pytest.mark.parametrize("long_running", [False, True])
def test_a_task_that_waits_to_run_alone_keeps_no_worker_reserved_for_good(
    long_running: bool,
) -> None:
    """review/10: a lasting task waited for good beside a worker with room."""
    model = model_with_isolated_task(long_running=long_running)
    run_alone_on_every_worker(model, LATER_JOB)
    model.run(LASTING_WAIT_MS)
    assert model.count("start", LATER_JOB) == WORKERS


@pytest.mark.parametrize("long_running", [False, True])
def test_a_task_that_never_finds_an_empty_worker_runs_beside_others(
    long_running: bool,
) -> None:
    """review/10: the job was shown as running for good, and had no run."""
    model = model_with_isolated_task(long_running=long_running)
    starts = model.count("start", CRASHED_JOB)
    for machine in model.machines.values():
        machine.run_ms = LONG_MS if long_running else 300
    model.run(2 * LASTING_WAIT_MS)
    assert model.count("start", CRASHED_JOB) == starts + 1
    assert model.count("crashed", LASTING_JOB) == 2
