"""Tests of runs of earlier processes and jobs, taken for those of the present one."""

from __future__ import annotations

import pytest

from scenarios.platform_model import Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
RUN_MS = 3_000
# Time after which a client account sends a job again.
RETRANSMIT_MS = 1_300


def model_with_run_of_lost_entry(**options: int) -> tuple[Model, str]:
    """Return a model whose entry e1 restarted, and the agent that has its task's run.

    The agent cannot reach its worker, so it does not know yet that the run has ended.
    The client account has sent the job again, to the new process.
    """
    model = ready_model(agents=4, **options)
    for machine in model.machines.values():
        machine.run_ms = RUN_MS
    model.submit("post", job(JOB, count=1, volatile=True), "e1", timeout_ms=9_000)
    model.run(100)
    busy = next(name for name, machine in model.machines.items() if machine.running)
    model.worker_cut.add(busy)
    model.kill("e1")
    model.run(RETRANSMIT_MS // 2)
    model.start_entry("e1")
    model.run(RETRANSMIT_MS // 2)
    model.submit("again", job(JOB, count=1, volatile=True), "e1", timeout_ms=9_000)
    return model, busy


@pytest.mark.parametrize("heal_ms", [100, 700, 1_700])
def test_the_end_of_an_earlier_process_run_does_not_restart_the_task(
    heal_ms: int,
) -> None:
    """Both processes number the runs of volatile jobs from 1."""
    model, busy = model_with_run_of_lost_entry()
    model.run(heal_ms)
    assert model.count("start", TASK) == 2
    model.worker_cut.discard(busy)
    model.run(2 * RUN_MS)
    assert model.overlapping() == []
    assert model.count("start", TASK) == 2
    assert model.answers["again"].detail == "completed"


@pytest.mark.parametrize("back_ms", [100, 700, 1_700])
def test_the_loss_of_an_earlier_process_run_does_not_restart_the_task(
    back_ms: int,
) -> None:
    """The worker of the earlier run is replaced by one with another identity."""
    model, busy = model_with_run_of_lost_entry()
    model.run(back_ms)
    machine = model.machines[busy]
    machine.crash(model.now_ms)
    machine.instance = "w-new"
    model.worker_cut.discard(busy)
    model.register(busy)
    model.run(2 * RUN_MS)
    assert model.overlapping() == []
    assert model.count("start", TASK) == 2
    assert model.answers["again"].detail == "completed"


def test_a_job_begun_anew_numbers_its_runs_above_the_earlier_ones() -> None:
    """An end of the given-up job's run would be taken for one of the present run.

    The agent cannot be reached when the client account leaves, so the run is given up
    without word of its end.
    """
    model = ready_model(agents=4)
    for machine in model.machines.values():
        machine.run_ms = RUN_MS
    spec = job(JOB, count=1, volatile=True)
    model.submit("post", spec, "e1", timeout_ms=9_000)
    model.run(100)
    busy = next(name for name, machine in model.machines.items() if machine.running)
    model.workers[busy].frozen_until_ms = model.now_ms + 4_000
    model.run(200)
    model.owners["e1"].core.abandon(model.now_ms, "post", JOB)
    model.submit("again", spec, "e1", timeout_ms=20_000)
    model.run(5 * RUN_MS)
    numbers = [run for _, what, task, run, _ in model.runs() if what == "start"]
    assert len(numbers) == len(set(numbers)) == 2
    assert model.overlapping() == []
    assert model.answers["again"].detail == "completed"


def test_the_end_of_an_orphaned_run_does_not_end_the_run_on_another_agent() -> None:
    """The orphan was claimed together with the order to stop it.

    Its agent was restarted after the loss of the entry that had ordered it. The two
    runs overlap until the stop, and the task must not be started a third time.
    """
    model = ready_model(entries=2, agents=2)
    for machine in model.machines.values():
        machine.run_ms = 5_000
    model.submit("post", job(JOB, count=1, volatile=True), "e0", timeout_ms=15_000)
    model.run(200)
    busy = next(name for name, machine in model.machines.items() if machine.running)
    model.kill("e0")
    model.run(100)
    model.kill(busy)
    model.run(300)
    model.submit("again", job(JOB, count=1, volatile=True), "e1", timeout_ms=15_000)
    model.run(100)
    model.start_agent(busy)
    model.run(9_000)
    assert model.count("start", TASK) == 2
    assert len(model.overlapping()) <= 1
    assert model.answers["again"].detail == "completed"
