"""Volatile jobs that a second entry gets while the first one may still run them."""

from __future__ import annotations

import pytest

from scenarios.platform_model import SETTLE_MS, job, ready_model
from scenarios.volatile_fuzz import Action, Plan, play_plan
from scenarios.volatile_model import VolatileModel

JOB = "5c0e7a21d94b36f8"
RUNS_MS = (1_500,) * 4
# Client accounts send a job again this long after its connection broke.
QUICK_RESEND_MS = 50


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("kill_ms", [4, 13, 60])
def test_a_job_does_not_run_twice_when_its_entry_is_killed_after_the_start(
    kill_ms: int, seed: int
) -> None:
    """The entry was killed before it had announced the job.

    The next entry knew nothing of it and began it at once, beside the first runs.
    """
    actions = (
        Action(171, "submit", (JOB, 4, "e0")),
        Action(171 + kill_ms, "kill_entry", ("e0", 700, False)),
    )
    plan = Plan(seed, RUNS_MS, actions, QUICK_RESEND_MS)
    assert play_plan(plan) == []


@pytest.mark.parametrize("seed", range(4))
def test_a_job_does_not_run_twice_when_its_entry_stood_still(seed: int) -> None:
    """The entry read the request when it went on, after its client account had left.

    It began the job before it noted that, while another entry had it by then.
    """
    actions = (
        Action(171, "freeze_entry", ("e0", 500, False)),
        Action(175, "submit", (JOB, 4, "e0")),
        Action(615, "cut_clients", ("e0", 200)),
    )
    plan = Plan(seed, RUNS_MS, actions, QUICK_RESEND_MS)
    assert play_plan(plan) == []


@pytest.mark.parametrize("seed", range(4))
def test_a_job_does_not_run_twice_when_two_entries_are_killed(seed: int) -> None:
    """The entry that has the job and one that knows of it were lost together."""
    actions = (
        Action(171, "submit", (JOB, 4, "e0")),
        Action(184, "kill_entry", ("e0", 700, False)),
        Action(184, "kill_entry", (f"e{1 + seed % 2}", 700, False)),
    )
    plan = Plan(seed, RUNS_MS, actions, QUICK_RESEND_MS)
    assert play_plan(plan) == []


def test_a_refused_start_does_not_start_a_task_beside_the_run_that_is_there() -> None:
    """An agent refused the start since the worker had a run of the task.

    The entry took that for a full worker and sent the task to another agent at once.
    """
    model = VolatileModel(entries=2, agents=2)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 3_000
    model.submit("first", job(JOB, count=1, volatile=True), "e0", timeout_ms=6_000)
    model.run(100)
    holder = next(name for name, m in model.machines.items() if m.running)
    other = next(name for name in model.machines if name != holder)
    model.block("e1", other, 150)
    model.block(other, "e1", 150)
    model.owners["e1"].core.handle_agent_lost(model.now_ms, other)
    model.submit("second", job(JOB, count=1, volatile=True), "e1", timeout_ms=6_000)
    model.run(5_000)
    refusals = [note[3] for note in model.notes if note[2] == "start refused"]
    assert {refusal["reason"] for refusal in refusals} == {"another run is here"}
    given_up = [note for note in model.notes if note[2] == "job given up"]
    assert [(note[1], note[3]["job"]) for note in given_up] == [("e1", JOB)]
    assert model.overlapping() == []


def test_an_entry_that_stood_still_starts_no_job_that_was_taken_over() -> None:
    """Its runs had been stopped, and it started the tasks again when it went on.

    By then another entry had waited for the end of the runs, and had begun the job.
    """
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 3_000
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=20_000)
    model.run(100)
    model.owners["e0"].frozen_until_ms = model.now_ms + 4_000
    model.run(8_000)
    assert model.count("start") == 4
    assert model.answers["post"].outcome == "unknown"


@pytest.mark.parametrize("down_ms", [100, 700, 1_600])
def test_agents_prove_that_nothing_runs_only_when_nothing_does(down_ms: int) -> None:
    """All entries and agents lose power, and the workers keep their runs for a while.

    Entries that waited for the longest time in any case served nothing for 2,250 ms.
    """
    model = VolatileModel(entries=2, agents=3)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 6_000
    model.submit("post", job(JOB, count=6, volatile=True), "e0", timeout_ms=9_000)
    model.run(300)
    for name in ("e0", "e1", "u0", "u1", "u2"):
        model.kill(name)
    model.run(down_ms)
    for name in ("e0", "e1"):
        model.start_entry(name)
    for name in ("u0", "u1", "u2"):
        model.start_agent(name)
    model.assign()
    started_ms = model.now_ms
    proofs = []
    while model.now_ms < started_ms + 6_000:
        model.run(10)
        core = model.owners["e1"].core
        if core.lost_runs_ended(model.now_ms, started_ms):
            proofs.append(model.now_ms - started_ms)
            assert not any(machine.running for machine in model.machines.values())
    assert proofs
    assert proofs[0] < 2_250
