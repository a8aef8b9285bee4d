"""Guards against long-running tasks that stop before their job is cancelled."""

from __future__ import annotations

import orjson
import pytest

from catkincross.jobs import JobSpec, QueuePolicy
from catkincross.platform import InvalidJob, read_job
from scenarios.platform_model import Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
POLICY = QueuePolicy("q", "checks")
TASKS = 4


def long_running_model(**options: int) -> tuple[Model, JobSpec]:
    """Return a model with an accepted job of long-running tasks."""
    model = ready_model(**options)
    spec = job(JOB, count=TASKS, long_running=True)
    model.submit("post", spec, model.owner_of(spec))
    model.run(80)
    assert model.answers["post"].outcome == "accepted"
    return model, spec


def running_count(model: Model) -> int:
    """Return the number of runs in progress."""
    return sum(len(machine.running) for machine in model.machines.values())


def state_of(model: Model, spec: JobSpec) -> str:
    """Return the state that the owner of a job reports for it."""
    host = model.owners[model.owner_of(spec)]
    host.core.job_state(model.now_ms, "state", spec.id)
    model.step(host)
    return model.answers["state"].detail


@pytest.mark.parametrize("how", ["done", "failed"])
def test_tasks_are_restarted_however_they_end(how: str) -> None:
    """A long-running task must be restarted after its end and not fail its job."""
    model, spec = long_running_model()
    for machine in model.machines.values():
        machine.fail_all = how == "failed"
    model.run(2_000)
    assert model.count(how) > TASKS * 4
    assert state_of(model, spec) == "running"
    for machine in model.machines.values():
        machine.fail_all = False
        machine.run_ms = 60_000
    model.run(300)
    assert running_count(model) == TASKS
    assert model.overlapping() == []


def test_tasks_of_a_lost_worker_are_restarted() -> None:
    """Tasks of a lost worker must run again on other workers."""
    model, _ = long_running_model()
    for machine in model.machines.values():
        machine.run_ms = 60_000
    model.run(500)
    model.kill("u0")
    model.machines["u0"].crash(model.now_ms)
    model.run(5_000)
    assert running_count(model) == TASKS
    assert model.overlapping() == []


def test_tasks_outlive_their_owner() -> None:
    """A new owner must adopt the runs, and stop them when the job is cancelled."""
    model, spec = long_running_model()
    for machine in model.machines.values():
        machine.run_ms = 60_000
    model.run(500)
    model.kill(model.owner_of(spec))
    model.run(1_000)
    model.assign()
    model.run(1_000)
    before = model.count("start")
    assert running_count(model) == TASKS
    host = model.owners[model.owner_of(spec)]
    host.core.cancel(model.now_ms, "cancel", spec.id)
    model.step(host)
    model.run(1_000)
    assert running_count(model) == 0
    assert model.count("start") == before
    assert state_of(model, spec) == "cancelled"


def test_a_restart_does_not_wait_behind_newer_jobs() -> None:
    """Under load, newer jobs must not keep a long-running task from restarting."""
    model, _ = long_running_model(agents=2)
    for number in range(40):
        spec = job(f"{number:016x}", count=4, volatile=True)
        model.submit(f"{number}", spec, "e0", timeout_ms=60_000)
    model.run(1_000)
    starts = [row[0] for row in model.runs() if row[1] == "start" and JOB in row[2]]
    gaps = [later - earlier for earlier, later in zip(starts, starts[1:], strict=False)]
    assert max(gaps) < 400


def test_a_long_running_flag_of_a_job_applies_to_its_steps() -> None:
    """Jobs with a `long_running` flag of their own were rejected as unsupported."""
    body = {"spec": "x", "long_running": True, "steps": [{"count": 2, "may_miss": 1}]}
    spec = read_job(JOB, orjson.dumps(body), POLICY)
    assert isinstance(spec, JobSpec)
    assert spec.steps[0].long_running
    rejected = read_job(JOB, orjson.dumps(body | {"best_effort": True}), POLICY)
    assert isinstance(rejected, InvalidJob)
    assert "long_running" in rejected.problem
