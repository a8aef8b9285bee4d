"""Guards against work that fits on no worker after a shrink and holds up other work."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from catkincross.jobs import JobSpec
from scenarios.platform_model import job
from tests.test_platform_shrinking_capacity import (
    JOB,
    OTHER,
    over_capacity,
    running_count,
    small_model,
    submit,
)


def _large_job(number: int, constraint: str) -> JobSpec:
    """Return a job of a task that lasts, and that needs a core or more."""
    steps = {
        "label": {"count": 1, "requires": "r1"},
        "affinity": {"count": 1, "anti_affinity": 1},
        "sizes": {"count": 1},
        "gangs": {"count": 2, "gang": True},
    }
    spec = job(f"{number:016x}", long_running=True, **steps[constraint])
    cpu = 1_100 - number if constraint == "sizes" else 1_000
    return attrs.evolve(spec, steps=(attrs.evolve(spec.steps[0], cpu=cpu),))


def test_a_gang_that_no_longer_fits_does_not_starve_the_service() -> None:
    """Workers must not be reserved for a gang that they cannot hold even if idle."""
    model = small_model(run_ms=100, agents=3)
    gang = job(JOB, count=12, gang=True)
    submit(model, gang)
    model.run(2)
    model.register("u1", cpu=2_000)
    model.run(1_000)
    assert model.answers[JOB].outcome == "accepted"
    starts = model.count("start", JOB)
    narrow = [job(f"{number:016x}", count=1) for number in range(10)]
    for spec in narrow:
        submit(model, spec)
        model.run(100)
    model.run(300)
    assert model.count("done") == 10
    assert model.count("start", JOB) == starts
    model.register("u1", cpu=4_000)
    model.run(1_000)
    assert model.count("start", JOB) == starts + 12
    assert over_capacity(model, gang, *narrow) == []


def test_a_gang_beside_tasks_that_last_does_not_starve_the_service() -> None:
    """Tasks that do not end may hold what the gang needs since a worker shrank."""
    model = small_model(run_ms=600_000, agents=3)
    submit(model, job(OTHER, count=2, long_running=True))
    model.run(100)
    for machine in model.machines.values():
        machine.run_ms = 100
    free = next(name for name, machine in model.machines.items() if not machine.running)
    submit(model, job(JOB, count=10, gang=True))
    model.run(2)
    model.register(free, cpu=3_000)
    model.run(1_000)
    assert model.answers[JOB].outcome == "accepted"
    starts = model.count("start", JOB)
    for number in range(300):
        submit(model, job(f"{number:016x}", count=1))
        model.run(100)
    assert model.count("done") > 120
    assert model.count("start", JOB) == starts


def _small_job(job_id: str, **step: Any) -> JobSpec:
    """Return a job of two tasks that need half a core each."""
    spec = job(job_id, count=2, **step)
    return attrs.evolve(spec, steps=(attrs.evolve(spec.steps[0], cpu=500),))


@pytest.mark.parametrize("constraint", ["label", "affinity", "sizes", "gangs"])
def test_tasks_that_fit_nowhere_do_not_hold_up_those_that_fit(constraint: str) -> None:
    """Tasks that were started once keep their place at the head of the queue."""
    model = small_model(run_ms=100, agents=2)
    large = [_large_job(number, constraint) for number in range(30)]
    for spec in large:
        submit(model, spec)
        model.run(1)
    for name in model.machines:
        model.register(name, cpu=900)
    model.run(1_000)
    assert {model.answers[spec.id].outcome for spec in large} == {"accepted"}
    starts = model.count("start")
    submit(model, _small_job(OTHER, long_running=True))
    model.run(90)
    assert running_count(model, OTHER) == 2
    assert model.count("start") == starts + 2


def test_work_that_fits_nowhere_does_not_count_as_backlog() -> None:
    """Jobs that fit must not be rejected for a wait behind those that cannot start."""
    model = small_model(run_ms=100, agents=2)
    for number in range(30):
        submit(model, _large_job(number, "label"))
    model.run(2)
    for name in model.machines:
        model.register(name, cpu=900)
    model.run(1_000)
    submit(model, _small_job(OTHER))
    model.run(300)
    assert model.answers[OTHER].outcome == "accepted"
    assert model.count("done", OTHER) == 2


def test_a_volatile_job_that_fits_nowhere_is_answered_before_its_deadline() -> None:
    """The client account must not wait for a job that no worker can run."""
    model = small_model()
    model.register("u0", cpu=4_000)
    # The worker is full, so that the job waits when it shrinks.
    submit(model, job(OTHER, count=4, volatile=True), timeout_ms=20_000)
    model.run(50)
    submit(model, job(JOB, count=2, volatile=True), timeout_ms=20_000)
    model.register("u0", cpu=900)
    model.run(1_000)
    answer = model.answers[JOB]
    assert (answer.outcome, answer.detail) == ("rejected", "no_worker")
    assert answer.retry_after_ms > 0
    assert model.count("start", JOB) == 0


def test_a_started_volatile_job_that_fits_nowhere_is_answered_as_unknown() -> None:
    """A task of it has run, so it must not be rejected as one that has not."""
    model = small_model(run_ms=100)
    small = job(JOB).steps[0]
    steps = attrs.evolve(small, count=1), attrs.evolve(small, cpu=3_000, after=(0,))
    spec = attrs.evolve(job(JOB, volatile=True), steps=steps)
    submit(model, spec, timeout_ms=20_000)
    model.run(50)
    model.register("u0", cpu=2_000)
    model.run(2_000)
    assert model.answers[JOB].outcome == "unknown"
    assert model.count("start", JOB) == 1


def test_a_volatile_job_outlives_a_short_shrink() -> None:
    """A job that can still be in time must not be given up at once."""
    model = small_model(run_ms=100)
    submit(model, job(OTHER, count=4, volatile=True), timeout_ms=20_000)
    model.run(10)
    spec = job(JOB, count=2, volatile=True, estimate_ms=1_000)
    submit(model, spec, timeout_ms=20_000)
    model.register("u0", cpu=900)
    model.run(400)
    model.register("u0", cpu=4_000)
    model.run(500)
    assert model.answers[JOB].detail == "completed"
    assert model.count("start", JOB) == 2


def test_replicas_that_wait_for_another_worker_do_not_starve_others() -> None:
    """review/more/starving: 24 of them were as many as a placement pass looked at."""
    model = small_model(run_ms=600_000, agents=3)
    replicas = job("0" * 16, count=3, long_running=True, anti_affinity=1)
    step_spec = attrs.evolve(replicas.steps[0], cpu=50)
    for number in range(1, 41):
        submit(model, attrs.evolve(replicas, id=f"{number:016x}", steps=(step_spec,)))
        model.run(50)
    assert model.count("start") == 3 * 40
    model.kill("u0")
    model.machines["u0"].running.clear()
    model.run(5_000)
    for machine in model.machines.values():
        machine.run_ms = 100
    submit(model, job(JOB, count=2))
    model.run(1_000)
    assert model.answers[JOB].outcome == "accepted"
    assert model.count("done", JOB) == 2
