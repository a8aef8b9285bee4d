"""Tests of tasks that run until their job is cancelled."""

from __future__ import annotations

import orjson
import pytest

from catkincross.jobs import JobSpec, QueuePolicy
from catkincross.platform import BadJob, read_job
from scenarios.platform_model import Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
POLICY = QueuePolicy("q", "checks")
TASKS = 4


def lasting_model(**options: int) -> tuple[Model, JobSpec]:
    """Return a model with an accepted job whose tasks last."""
    model = ready_model(**options)
    spec = job(JOB, count=TASKS, long_running=True)
    model.submit("post", spec, model.owner_of(spec))
    model.run(80)
    assert model.answers["post"].outcome == "accepted"
    return model, spec


def running(model: Model) -> int:
    """Return the number of tasks that run now."""
    return sum(len(machine.running) for machine in model.machines.values())


def state_of(model: Model, spec: JobSpec) -> str:
    """Return the state of a job at its owner."""
    host = model.owners[model.owner_of(spec)]
    host.core.job_state(model.now_ms, "state", spec.id)
    model.step(host)
    return model.answers["state"].detail


@pytest.mark.parametrize("how", ["done", "failed"])
def test_tasks_are_started_again_however_they_end(how: str) -> None:
    """A task that lasts must not stay away after its end, nor fail its job."""
    model, spec = lasting_model()
    for machine in model.machines.values():
        machine.fail_all = how == "failed"
    model.run(2_000)
    assert model.count(how) > TASKS * 4
    assert state_of(model, spec) == "running"
    for machine in model.machines.values():
        machine.fail_all = False
        machine.run_ms = 60_000
    model.run(300)
    assert running(model) == TASKS
    assert model.overlapping() == []


def test_tasks_go_on_when_a_worker_is_lost() -> None:
    """The tasks of a lost worker must be at work elsewhere."""
    model, _ = lasting_model()
    for machine in model.machines.values():
        machine.run_ms = 60_000
    model.run(500)
    model.kill("u0")
    model.machines["u0"].crash(model.now_ms)
    model.run(5_000)
    assert running(model) == TASKS
    assert model.overlapping() == []


def test_tasks_outlive_their_owner() -> None:
    """A new owner must adopt the runs, and end them at a cancel."""
    model, spec = lasting_model()
    for machine in model.machines.values():
        machine.run_ms = 60_000
    model.run(500)
    model.kill(model.owner_of(spec))
    model.run(1_000)
    model.assign()
    model.run(1_000)
    before = model.count("start")
    assert running(model) == TASKS
    host = model.owners[model.owner_of(spec)]
    host.core.cancel(model.now_ms, "cancel", spec.id)
    model.step(host)
    model.run(1_000)
    assert running(model) == 0
    assert model.count("start") == before
    assert state_of(model, spec) == "cancelled"


def test_a_restart_does_not_wait_behind_younger_jobs() -> None:
    """Under load a task that lasts would otherwise stay away for good."""
    model, _ = lasting_model(agents=2)
    for number in range(40):
        spec = job(f"{number:016x}", count=4, volatile=True)
        model.submit(f"{number}", spec, "e0", limit_ms=60_000)
    model.run(1_000)
    starts = [row[0] for row in model.runs() if row[1] == "start" and JOB in row[2]]
    gaps = [later - sooner for sooner, later in zip(starts, starts[1:], strict=False)]
    assert max(gaps) < 400


def test_the_flag_of_a_job_holds_for_its_steps() -> None:
    """Queues of lasting jobs were rejected as unsupported."""
    body = {"spec": "x", "long_running": True, "steps": [{"count": 2, "may_miss": 1}]}
    found = read_job(JOB, orjson.dumps(body), POLICY)
    assert isinstance(found, JobSpec)
    assert found.steps[0].long_running
    wrong = read_job(JOB, orjson.dumps(body | {"best_effort": True}), POLICY)
    assert isinstance(wrong, BadJob)
    assert "long_running" in wrong.text
