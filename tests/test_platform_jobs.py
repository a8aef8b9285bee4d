"""Guards against jobs that are lost or never end, and overlapping runs of a task."""

from __future__ import annotations

import pytest

from catkincross.jobs import decode_record
from scenarios.platform_model import SERVICE, Model, job, ready_model

JOB = "5c0e7a21d94b36f8"


def ask_state(model: Model, spec, entry: str | None = None) -> str:
    """Return the detail of an entry's `state` or `moved` answer, else its outcome."""
    owner = entry or model.owner_of(spec)
    host = model.owners[owner]
    host.core.job_state(model.now_ms, "state", spec.id)
    model.step(host)
    model.run(50)
    answer = model.answers["state"]
    return answer.detail if answer.outcome in ("state", "moved") else answer.outcome


def assert_runs_once(model: Model, tasks: int) -> None:
    """Check that no runs of a task overlapped and that `tasks` runs ended `done`."""
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
    decoded = [
        decode_record(data)
        for partition in model.store.partitions.values()
        for data in partition.records
    ]
    assert any(getattr(record, "spec", None) == spec for record in decoded)
    model.run(500)
    assert ask_state(model, spec) == "completed"
    assert_runs_once(model, 4)


def test_a_repeated_submission_is_one_job() -> None:
    """A client that repeats a request must not cause its tasks to run again."""
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


def test_a_lost_append_answer_accepts_the_job_once() -> None:
    """A retry of an append whose answer was lost must not record the job twice."""
    model = ready_model()
    model.store.lose_answers = 1
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(1_000)
    assert model.answers["post"].outcome == "accepted"
    assert model.count("start") == 4


def test_a_takeover_keeps_the_runs_of_a_killed_owner() -> None:
    """A new owner must adopt the runs of a killed owner, not start them again."""
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


def test_an_acknowledged_job_survives_the_loss_of_all_processes() -> None:
    """A job must end although all processes that knew it were killed."""
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


def test_a_restarted_agent_adopts_its_surviving_runs() -> None:
    """Runs that outlive their agent process must be adopted, not run twice."""
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
def test_a_partitioned_agent_ends_its_runs_before_they_start_elsewhere(
    volatile: bool,
) -> None:
    """A run behind a network partition must end before its task starts elsewhere."""
    model = ready_model(agents=2, entries=1)
    for machine in model.machines.values():
        machine.run_ms = 2_500
    spec = job(JOB, volatile=volatile)
    model.submit("post", spec, "e0", timeout_ms=20_000)
    model.run(300)
    busy_agents = {row[4] for row in model.runs() if row[1] == "start"}
    partitioned = sorted(busy_agents)[0]
    model.cut_link("e0", partitioned)
    model.run(100)
    model.owners["e0"].core.handle_agent_lost(model.now_ms, partitioned)
    model.run(12_000)
    assert model.overlapping() == []
    assert {task for _, what, task, _, _ in model.runs() if what == "done"} == {
        f"{JOB}.0.0.{index}" for index in range(4)
    }


def test_a_late_start_order_causes_no_second_run() -> None:
    """An unanswered start order must be fenced before its task starts elsewhere."""
    model = ready_model()
    model.lost_orders = 4
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(8_000)
    assert ask_state(model, spec) == "completed"
    assert_runs_once(model, 4)


def test_tasks_of_a_crashed_worker_run_again() -> None:
    """A job must not wait for runs that a worker lost in a crash."""
    model = ready_model(agents=1)
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(50)
    model.machines["u0"].crash(model.now_ms)
    model.register("u0")
    model.run(2_000)
    assert ask_state(model, spec) == "completed"


def test_jobs_are_rejected_at_once_while_the_store_is_down() -> None:
    """While the store is down, new jobs must be rejected and accepted ones must end."""
    model = ready_model()
    spec = job(JOB)
    model.submit("before", spec, model.owner_of(spec))
    model.run(30)
    model.store.down = True
    model.run(300)
    rejected = job("0000000000000001")
    model.submit("during", rejected, model.owner_of(rejected))
    model.run(100)
    assert model.answers["during"].outcome == "rejected"
    assert model.answers["during"].retry_after_ms > 0
    model.run(3_000)
    model.store.down = False
    model.run(4_000)
    assert ask_state(model, spec) == "completed"
    assert model.overlapping() == []
    assert model.count("start", rejected.id) == 0


def test_a_cancelled_job_is_stopped_and_stays_cancelled() -> None:
    """An acknowledged cancellation must stop the tasks and survive its owner."""
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


def test_no_task_starts_on_a_draining_worker() -> None:
    """A worker that is about to leave must get no new tasks."""
    model = ready_model(agents=2)
    model.register("u0", draining=True)
    model.run(50)
    spec = job(JOB)
    model.submit("post", spec, model.owner_of(spec))
    model.run(1_000)
    assert ask_state(model, spec) == "completed"
    assert {row[4] for row in model.runs()} == {"u1"}


def test_a_resumed_owner_starts_no_task() -> None:
    """An owner that was frozen during a takeover must be fenced when it resumes."""
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


def test_the_workers_of_the_model_serve_its_jobs() -> None:
    """If the workers served another service, the other tests would check nothing."""
    model = ready_model()
    agent_info = model.owners["e0"].core.state.agents["u0"]
    assert agent_info.state is not None
    assert agent_info.profile.service == SERVICE
    assert agent_info.state.ready


def test_an_entry_rereads_a_shard_that_another_entry_owned() -> None:
    """A job that an interim owner accepted must not be reported as unknown."""
    model = ready_model()
    spec = job(JOB)
    isolated = model.owner_of(spec)
    other = next(name for name in model.owners if name != isolated)
    model.store_cut.add(isolated)
    model.run(1_200)
    model.deal_to([other])
    model.run(100)
    model.submit("post", spec, other)
    model.run(600)
    assert model.answers["post"].outcome == "accepted"
    assert ask_state(model, spec, isolated) == "membership"
    model.store_cut.clear()
    model.assign()
    model.run(600)
    assert ask_state(model, spec, isolated) == "completed"


def test_a_job_is_not_rejected_because_its_shard_moves() -> None:
    """A submission that meets a hand-over must be carried out by the next owner.

    It was rejected as if the store were away, and a test on a busy machine waited for
    its job in vain.
    """
    model = ready_model(entries=2, agents=1)
    spec = job("a" * 16)
    owner = model.owner_of(spec)
    core = model.owners[owner].core
    core.submit(model.now_ms, "r", spec)
    core.update_shard_assignment(model.now_ms, model.now_ms, [], 99)
    model.step(model.owners[owner])
    assert model.answers["r"].outcome == "moved"
