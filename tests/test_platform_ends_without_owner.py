"""Tests of runs that end while no owner of their task can record the end.

An owner that is cut off gives a run up after a while and starts the task again, so an
end that it learns of later must not count: the worker's lease has to lapse before the
worker is told to forget it.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from scenarios.ends_fuzz import play
from scenarios.platform_model import SETTLE_MS, job
from scenarios.strict_model import StrictModel
from standins.platform_worker import ActiveRun

JOB = "5c0e7a21d94b36f8"
VOLATILE_JOB = "a94b36f85c0e7a21"
WORKERS = 4
STOP_MS = 45
LONG_MS = 30_000
CUT_MS = 6_000
ENDS = ("done", "failed")


def model_with_stored_job() -> StrictModel:
    """Return a model with a stored job on workers that have runs of another entry."""
    model = StrictModel(entries=2, agents=WORKERS)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.stop_takes_ms = STOP_MS
        machine.run_ms = LONG_MS
    owner = model.owner_of(job(JOB))
    other = "e1" if owner == "e0" else "e0"
    spec = job(VOLATILE_JOB, count=WORKERS, volatile=True, anti_affinity=1)
    model.submit("busy", spec, other, timeout_ms=90_000)
    model.run(300)
    model.submit("post", job(JOB, count=2 * WORKERS), owner)
    model.run(300)
    assert len(list(stored_runs(model))) == 2 * WORKERS
    return model


def stored_runs(model: StrictModel) -> Iterator[ActiveRun]:
    """Return the runs of the stored job that go on."""
    for machine in model.machines.values():
        yield from (run for run in machine.active.values() if JOB in run.task)


def run_until(model: StrictModel, event: str) -> None:
    """Let time pass until a core has logged an event."""
    for _ in range(2_000):
        if any(name == event for _, _, name, _ in model.notes):
            return
        model.run(5)
    raise AssertionError(event)


def cut_from_owner(model: StrictModel, agents: list[str], for_ms: int) -> None:
    """Cut agents off from the owner of the stored job."""
    owner = model.owner_of(job(JOB))
    for agent in agents:
        model.block(owner, agent, for_ms)
        model.block(agent, owner, for_ms)


def finish(model: StrictModel, how: str) -> None:
    """Let all later runs be short, and check that none started without cause."""
    for machine in model.machines.values():
        machine.run_ms, machine.end_as = 100, how
    model.run(15_000)
    assert model.starts_after_noted_ends() == []
    assert model.overlapping() == []


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("after_stop_ms", [10, 20, 40])
def test_ends_during_a_stop_do_not_count_once_the_task_has_started_again(
    after_stop_ms: int, how: str
) -> None:
    """review/6: the owner had such ends acknowledged and did not record them."""
    model = model_with_stored_job()
    cut_from_owner(model, ["u0", "u1"], CUT_MS)
    run_until(model, "run stopped")
    for run in stored_runs(model):
        run.ends_ms, run.how = model.now_ms + after_stop_ms, how
    model.run(200)
    assert model.count(how, JOB) == 2 * WORKERS
    finish(model, how)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("back_ms", [300, 600, 900])
def test_ends_found_by_a_restarted_agent_do_not_count_without_their_owner(
    back_ms: int, how: str
) -> None:
    """A new process of the agent knows no lease of the owner that could end."""
    model = model_with_stored_job()
    cut_from_owner(model, ["u0", "u1"], CUT_MS)
    model.run(1_000)
    for agent in ("u0", "u1"):
        model.kill(agent)
    for run in stored_runs(model):
        run.ends_ms, run.how = model.now_ms + 100, how
    model.run(back_ms)
    for agent in ("u0", "u1"):
        model.start_agent(agent)
    finish(model, how)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("late_ms", [150, 500, 900])
def test_ends_of_runs_whose_stops_were_lost_do_not_count(
    late_ms: int, how: str
) -> None:
    """The lease was renewed again when the last run of the owner had ended."""
    model = model_with_stored_job()
    model.lost_stops = 1_000
    cut_from_owner(model, ["u0", "u1"], CUT_MS)
    run_until(model, "run stopped")
    for run in stored_runs(model):
        run.ends_ms, run.how = model.now_ms + late_ms, how
    model.run(1_000)
    model.lost_stops = 0
    finish(model, how)


def test_an_agent_that_wakes_up_renews_no_lease_for_runs_without_an_owner() -> None:
    """It renewed the worker's lease before it looked at the end of the owner's."""
    model = model_with_stored_job()
    core = model.workers["u0"].core
    stored = {key: run for key, run in core.state.runs.items() if JOB in run.task}
    core.state.runs = stored
    lease = core.state.shard_leases[core.state.shard_of_task(f"{JOB}.0.0.0")]
    stops_end_ms = lease.valid_until_ms + core.state.limits.stop_grace_ms
    assert core.next_renewal(stops_end_ms - 1).until_ms is not None
    assert core.next_renewal(stops_end_ms).until_ms is None


def test_runs_of_others_go_on_if_the_owner_is_back_in_time() -> None:
    """Without need, no lease may lapse for the ends of another owner's runs."""
    model = model_with_stored_job()
    cut_from_owner(model, ["u0", "u1"], 2_100)
    run_until(model, "run stopped")
    for run in stored_runs(model):
        run.ends_ms = model.now_ms + 10
    finish(model, "done")
    assert model.count("lapsed") == 0
    assert model.count("start", JOB) == 2 * WORKERS


@pytest.mark.parametrize("seed", [19, 20])
def test_random_faults_start_no_task_after_a_noted_end(seed: int) -> None:
    """Both seeds started tasks again whose end `done` was acknowledged later."""
    outcome = play(seed)
    assert outcome.problems == [], "\n".join(outcome.actions)
