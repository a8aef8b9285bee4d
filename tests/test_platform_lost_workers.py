"""Workers that are lost for good, or give no answer for longer than their lease."""

from __future__ import annotations

import pytest

from scenarios.platform_model import Model, job, ready_model
from scenarios.volatile_model import VolatileModel

JOB = "5c0e7a21d94b36f8"
FOR_GOOD_MS = 1_000_000
# The time after which a silent worker is lost, and the start of the next run.
RESTART_MS = 5_400


def model_with_runs(volatile: bool, *, run_ms: int = 1_500) -> Model:
    """Return a model in which each worker has a run of one job."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = run_ms
    spec = job(JOB, count=6, volatile=volatile)
    entry = "e0" if volatile else model.owner_of(spec)
    model.submit("post", spec, entry, timeout_ms=20_000)
    model.run(300)
    assert all(machine.running for machine in model.machines.values())
    return model


def lose_worker(model: Model, name: str) -> None:
    """Let a worker end for good; its heartbeats end too."""
    model.silent_workers.add(name)
    model.machines[name].crash(model.now_ms)
    model.machines[name].down_until_ms = model.now_ms + FOR_GOOD_MS


@pytest.mark.parametrize("volatile", [False, True])
def test_tasks_of_a_worker_that_is_lost_for_good_run_elsewhere(volatile: bool) -> None:
    """Nothing told the agent that the runs had ended, and it kept them for ever."""
    model = model_with_runs(volatile)
    lose_worker(model, "u0")
    model.run(RESTART_MS + 1_500)
    assert model.count("done") == 6
    assert model.overlapping() == []
    assert not model.workers["u0"].core.busy


def test_tasks_of_a_lost_worker_run_elsewhere_after_its_agent_restarts() -> None:
    """The new agent had no list of runs, so it never reported that there are none."""
    model = model_with_runs(False)
    lose_worker(model, "u0")
    model.kill("u0")
    model.run(400)
    model.start_agent("u0", registers=False)
    model.run(RESTART_MS + 2_500)
    assert model.count("done") == 6
    assert model.overlapping() == []


def test_tasks_of_a_lost_worker_run_elsewhere_if_its_last_report_is_lost() -> None:
    """The agent tells an entry once that runs are lost, on a link that may break."""
    model = model_with_runs(False)
    owner = model.owner_of(job(JOB))
    lose_worker(model, "u0")
    while model.workers["u0"].core.state.runs:
        model.run(5)
    model.cut.add((owner, "u0"))
    model.run(50)
    model.heal_link(owner, "u0")
    model.run(4_000)
    assert model.count("done") == 6
    assert model.overlapping() == []


@pytest.mark.parametrize("mode", ["lost", "answers", "late"])
def test_a_silent_worker_that_runs_on_is_left_to_its_lease(mode: str) -> None:
    """A worker that is only cut off must not have its tasks started elsewhere."""
    model = VolatileModel()
    model.run(600)
    for machine in model.machines.values():
        machine.run_ms = 9_000
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=30_000)
    model.run(200)
    assert model.machines["u0"].running
    model.cut_worker("u0", mode, 7_000)
    model.run(20_000)
    assert any(row[2] == "worker lost" for row in model.notes)
    assert model.overlapping() == []
    assert model.count("done") == 4


def test_a_worker_that_is_cut_off_for_less_than_its_lease_keeps_its_runs() -> None:
    """Silence alone ends no run: the lease has to end first."""
    model = model_with_runs(False, run_ms=2_000)
    model.worker_cut.add("u0")
    model.run(800)
    model.worker_cut.clear()
    model.run(4_000)
    assert model.count("start") == model.count("done") == 6


def test_a_silent_worker_gets_no_start_orders() -> None:
    """Each order would have renewed the lease that has to end, and waited in vain."""
    model = model_with_runs(False)
    lose_worker(model, "u0")
    model.run(500)
    assert not model.workers["u0"].core.state.ready


def test_a_crash_is_counted_although_the_worker_was_away_for_long() -> None:
    """The run had ended as lost before the worker's next life showed the crash."""
    model = model_with_runs(False, run_ms=4_000)
    task = next(iter(model.machines["u0"].running))
    model.machines["u0"].crash(model.now_ms)
    model.machines["u0"].down_until_ms = model.now_ms + 7_000
    model.run(12_000)
    state = model.owners[model.owner_of(job(JOB))].core.state
    found = state.find_task(task)
    assert found is not None
    assert [crash.agent for crash in found[1].crashes.values()] == ["u0"]
    assert model.count("done") == 6


@pytest.mark.parametrize("volatile", [False, True])
def test_a_task_of_a_lost_worker_may_run_where_its_neighbours_have_ended(
    volatile: bool,
) -> None:
    """Tasks that were done kept their place under `anti_affinity`, so it never ran."""
    model = ready_model()
    spec = job(JOB, count=3, volatile=volatile, anti_affinity=1)
    entry = "e0" if volatile else model.owner_of(spec)
    for machine in model.machines.values():
        machine.run_ms = 1_500
    model.submit("post", spec, entry, timeout_ms=20_000)
    model.run(300)
    assert all(len(machine.running) == 1 for machine in model.machines.values())
    lose_worker(model, "u0")
    model.run(RESTART_MS + 3_000)
    assert model.count("done") == 3
    assert model.overlapping() == []


def test_neighbours_that_run_keep_their_place() -> None:
    """No two tasks of a step with a limit of one may run on one worker at a time."""
    model = ready_model()
    spec = job(JOB, count=6, anti_affinity=1)
    model.submit("post", spec, model.owner_of(spec), timeout_ms=20_000)
    model.run(6_000)
    assert model.count("done") == 6
    for name in model.machines:
        active = 0
        for _, what, _, _, agent in model.runs():
            if agent == name:
                active += 1 if what == "start" else -1
                assert active <= 1
