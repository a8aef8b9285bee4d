"""Tests of runs that end while no owner of their task can record the end.

An owner that is cut off gives a run up after a while and starts the task again, so an
end that it learns of later must not count: the worker's lease has to lapse before the
worker is told to forget it.
"""

from __future__ import annotations

import pytest

from scenarios.ends_fuzz import play
from scenarios.stored_jobs import (
    JOB,
    TASKS,
    cut_from_owner,
    end_stored_runs,
    model_with_stored_job,
    run_until,
)
from scenarios.strict_model import StrictModel

CUT_OFF = ["u0", "u1"]
CUT_MS = 6_000
ENDS = ("done", "failed")


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
    cut_from_owner(model, CUT_OFF, CUT_MS)
    run_until(model, "run stopped")
    end_stored_runs(model, after_stop_ms, how)
    model.run(200)
    assert model.count(how, JOB) == TASKS
    finish(model, how)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("back_ms", [300, 600, 900])
def test_ends_found_by_a_restarted_agent_do_not_count_without_their_owner(
    back_ms: int, how: str
) -> None:
    """A new process of the agent knows no lease of the owner that could end."""
    model = model_with_stored_job()
    cut_from_owner(model, CUT_OFF, CUT_MS)
    model.run(1_000)
    for agent in CUT_OFF:
        model.kill(agent)
    end_stored_runs(model, 100, how)
    model.run(back_ms)
    for agent in CUT_OFF:
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
    cut_from_owner(model, CUT_OFF, CUT_MS)
    run_until(model, "run stopped")
    end_stored_runs(model, late_ms, how)
    model.run(1_000)
    model.lost_stops = 0
    finish(model, how)


def test_an_agent_that_wakes_up_renews_no_lease_for_runs_without_an_owner() -> None:
    """It renewed the worker's lease before it looked at the end of the owner's."""
    core = model_with_stored_job().workers["u0"].core
    state = core.state
    state.runs = {key: run for key, run in state.runs.items() if JOB in run.task}
    lease = state.shard_leases[state.shard_of_task(f"{JOB}.0.0.0")]
    stops_end_ms = lease.valid_until_ms + state.limits.stop_grace_ms
    assert core.next_renewal(stops_end_ms - 1).until_ms is not None
    assert core.next_renewal(stops_end_ms).until_ms is None


def test_runs_of_others_go_on_if_the_owner_is_back_in_time() -> None:
    """Without need, no lease may lapse for the ends of another owner's runs."""
    model = model_with_stored_job()
    cut_from_owner(model, CUT_OFF, 2_100)
    run_until(model, "run stopped")
    end_stored_runs(model, 10, "done")
    finish(model, "done")
    assert model.count("lapsed") == 0
    assert model.count("start", JOB) == TASKS


@pytest.mark.parametrize("seed", [19, 20])
def test_random_faults_start_no_task_after_a_noted_end(seed: int) -> None:
    """Both seeds started tasks again whose end `done` was acknowledged later."""
    outcome = play(seed)
    assert outcome.problems == [], "\n".join(outcome.actions)
