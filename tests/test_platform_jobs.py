"""Guards against jobs that are lost, run twice at a time, or never end."""

from __future__ import annotations

import pytest

from catkincross.jobs import decode_record
from scenarios.platform_model import SERVICE, Model, job, ready_model

JOB = "5c0e7a21d94b36f8"


def ask_state(model: Model, spec, entry: str | None = None) -> str:
    owner = entry or model.owner_of(spec)
    host = model.owners[owner]
    host.core.job_state(model.now_ms, "state", spec.id)
    model.step(host)
    model.run(50)
    answer = model.answers["state"]
    return answer.detail if answer.outcome in ("state", "moved") else answer.outcome


def assert_runs_once(model: Model, tasks: int) -> None:
    assert model.overlapping() == []
    assert model.count("done") == tasks


def test_a_job_is_accepted_only_after_its_record_is_in_the_log() -> None:
    """An acknowledged job must survive the loss of all processes."""
    model = ready_model()
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    assert "post" not in model.answers
    model.run(20)
    assert model.answers["post"].outcome == "accepted"
    kept = [
        decode_record(d) for p in model.store.partitions.values() for d in p.records
    ]
    assert any(getattr(record, "spec", None) == spec for record in kept)
    model.run(500)
    assert ask_state(model, spec) == "completed"
    assert_runs_once(model, 4)


def test_the_same_job_again_is_one_job() -> None:
    """A request that arrives again must not run its tasks again."""
    model = ready_model()
    spec = job(JOB)
    owner = model.owner_of(spec)
    model.submit("first", spec, owner)
    model.submit("second", spec, owner)
    model.run(1_000)
    model.submit("third", spec, owner)
    model.run(1_000)
    outcomes = {model.answers[name].outcome for name in ("first", "second", "third")}
    assert outcomes == {"accepted"}
    assert model.count("start") == 4


def test_a_lost_answer_of_an_append_accepts_once() -> None:
    """An append that took effect without an answer must be repeated, not doubled."""
    model = ready_model()
    model.store.lose_answers = 1
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(1_000)
    assert model.answers["post"].outcome == "accepted"
    assert model.count("start") == 4


def test_a_killed_owner_is_succeeded_without_stopping_its_runs() -> None:
    """Tasks that run when their owner dies must be taken over, not run again."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 2_000
    spec = job(JOB)
    owner = model.owner_of(spec)
    model.submit("post", spec, owner)
    model.run(300)
    model.kill(owner)
    model.run(1_000)
    model.assign()
    model.run(3_000)
    assert ask_state(model, spec) == "completed"
    assert_runs_once(model, 4)
    assert model.count("start") == 4


def test_all_processes_killed_after_an_acknowledgement() -> None:
    """A job must end although no process that knew it is left."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 500
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(100)
    for name in [*model.owners, *model.workers]:
        model.kill(name)
    model.run(700)
    for name in model.machines:
        model.start_agent(name)
    model.start_entry("e0")
    model.start_entry("e1")
    model.assign()
    model.run(8_000)
    assert ask_state(model, spec) == "completed"
    assert model.overlapping() == []


def test_a_killed_agent_returns_and_its_runs_go_on() -> None:
    """Runs that outlive their agent must be found again, not run twice."""
    model = ready_model(agents=1)
    for machine in model.machines.values():
        machine.run_ms = 1_500
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(200)
    model.kill("u0")
    model.run(400)
    model.start_agent("u0")
    model.run(3_000)
    assert ask_state(model, spec) == "completed"
    assert_runs_once(model, 4)
    assert model.count("lapsed") == 0


@pytest.mark.parametrize("volatile", [False, True])
def test_a_cut_agent_lets_go_before_its_tasks_run_elsewhere(volatile: bool) -> None:
    """A run behind a cut must end before the same task starts on another worker."""
    model = ready_model(agents=2, entries=1)
    for machine in model.machines.values():
        machine.run_ms = 2_500
    spec = job(JOB, volatile=volatile)
    model.submit("post", spec, "e0", limit_ms=20_000)
    model.run(300)
    busy = {row[4] for row in model.runs() if row[1] == "start"}
    lost = sorted(busy)[0]
    model.cut_link("e0", lost)
    model.run(100)
    model.owners["e0"].core.agent_lost(model.now_ms, lost)
    model.run(12_000)
    assert model.overlapping() == []
    assert {task for _, what, task, _, _ in model.runs() if what == "done"} == {
        f"{JOB}.0.0.{index}" for index in range(4)
    }


def test_an_order_carried_out_late_is_not_a_second_run() -> None:
    """An unanswered start must be made dead before the task starts elsewhere."""
    model = ready_model()
    model.lost_orders = 4
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(8_000)
    assert ask_state(model, spec) == "completed"
    assert_runs_once(model, 4)


def test_a_crashed_worker_has_its_tasks_run_again() -> None:
    """Tasks of a worker that lost everything must not be waited for."""
    model = ready_model(agents=1)
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(50)
    model.machines["u0"].crash(model.now_ms)
    model.register("u0")
    model.run(2_000)
    assert ask_state(model, spec) == "completed"


def test_jobs_are_rejected_at_once_while_the_store_is_down() -> None:
    """A job that cannot be stored must be rejected, and one accepted must end."""
    model = ready_model()
    spec = job(JOB)
    model.submit("before", spec, model.owner_of(spec))
    model.run(30)
    model.store.down = True
    model.run(300)
    late = job("0000000000000001")
    model.submit("during", late, model.owner_of(late))
    model.run(100)
    assert model.answers["during"].outcome == "rejected"
    assert model.answers["during"].retry_after_ms > 0
    model.run(3_000)
    model.store.down = False
    model.run(4_000)
    assert ask_state(model, spec) == "completed"
    assert model.overlapping() == []
    assert model.count("start", late.id) == 0


def test_a_cancelled_job_is_stopped_and_stays_cancelled() -> None:
    """A cancel that was acknowledged must stop the tasks and outlive its owner."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 5_000
    spec = job(JOB)
    owner = model.owner_of(spec)
    model.submit("post", spec, owner)
    model.run(200)
    model.owners[owner].core.cancel(model.now_ms, "cancel", spec.id)
    model.run(200)
    assert model.answers["cancel"].outcome == "cancelled"
    assert model.count("stopped") == 4
    model.kill(owner)
    model.assign()
    model.run(3_000)
    assert ask_state(model, spec) == "cancelled"
    assert model.count("start") == 4


def test_no_task_starts_on_a_worker_that_drains() -> None:
    """A worker that leaves must get no new work."""
    model = ready_model(agents=2)
    model.register("u0", draining=True)
    model.run(50)
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(1_000)
    assert ask_state(model, spec) == "completed"
    assert {row[4] for row in model.runs()} == {"u1"}


def test_a_thawed_owner_starts_nothing() -> None:
    """An owner that stood still while another took over must be refused."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 1_000
    spec = job(JOB, count=12)
    owner = model.owner_of(spec)
    model.submit("post", spec, owner)
    model.run(100)
    model.owners[owner].frozen_until_ms = model.now_ms + 4_000
    model.run(1_200)
    other = next(name for name in model.owners if name != owner)
    model.deal_to([other])
    model.run(14_000)
    assert ask_state(model, spec, other) == "completed"
    assert model.overlapping() == []
    assert model.count("done") == 12


def test_the_model_has_the_service_of_its_jobs() -> None:
    """A model whose workers serve another service would prove nothing."""
    model = ready_model()
    row = model.owners["e0"].core.state.agents["u0"]
    assert row.state is not None
    assert row.profile.service == SERVICE
    assert row.state.ready


def test_an_entry_reads_a_shard_anew_that_another_had_meanwhile() -> None:
    """A job accepted by another owner must not be answered as unknown."""
    model = ready_model()
    spec = job(JOB)
    cut = model.owner_of(spec)
    other = next(name for name in model.owners if name != cut)
    model.store_cut.add(cut)
    model.run(1_200)
    model.deal_to([other])
    model.run(100)
    model.submit("post", spec, other)
    model.run(600)
    assert model.answers["post"].outcome == "accepted"
    assert ask_state(model, spec, cut) == "membership"
    model.store_cut.clear()
    model.assign()
    model.run(600)
    assert ask_state(model, spec, cut) == "completed"
