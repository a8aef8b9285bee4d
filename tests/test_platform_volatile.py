"""Tests of volatile jobs: no concurrent runs of a task, no hanging or wasted work."""

from __future__ import annotations

from catkincross.operations import Declarations
from catkincross.workers import StartRun
from scenarios.platform_model import SETTLE_MS, Model, job, ready_model

JOB = "5c0e7a21d94b36f8"


def test_a_volatile_job_completes_while_the_store_is_down() -> None:
    """Volatile jobs are not stored, so an outage of the store must not delay them."""
    model = ready_model()
    model.store.down = True
    model.submit("post", job(JOB, volatile=True), "e1", timeout_ms=2_000)
    model.run(400)
    assert model.answers["post"].detail == "completed"
    assert model.overlapping() == []
    assert model.count("done") == 4


def test_a_volatile_job_stops_when_its_client_account_leaves() -> None:
    """Runs of a job that nobody waits for must not occupy workers.

    The client account may submit the job again; its runs must not overlap the old ones.
    """
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 5_000
    model.submit("post", job(JOB, volatile=True), "e1", timeout_ms=9_000)
    model.run(200)
    model.owners["e1"].core.abandon(model.now_ms, "post", JOB)
    model.run(200)
    assert model.count("stopped") == 4
    model.submit("again", job(JOB, volatile=True), "e1", timeout_ms=9_000)
    model.run(6_000)
    assert model.answers["again"].detail == "completed"
    assert model.overlapping() == []


def test_runs_of_a_lost_entry_stop_before_the_job_is_resubmitted() -> None:
    """A client account resubmits a job 1,300 ms after its entry was lost.

    If runs of the lost entry lasted longer, tasks would run twice at the same time.
    """
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 5_000
    model.submit("post", job(JOB, volatile=True), "e1", timeout_ms=9_000)
    model.run(200)
    model.kill("e1")
    model.run(1_300)
    assert model.count("stopped") == 4
    model.submit("again", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(9_000)
    assert model.answers["again"].detail == "completed"
    assert model.overlapping() == []


def test_a_volatile_job_that_cannot_end_in_time_is_answered_early() -> None:
    """The answer to a job that is given up must not be held until its deadline."""
    model = ready_model(agents=1)
    for machine in model.machines.values():
        machine.run_ms = 3_000
    for number in range(4):
        name = f"{number:016x}"
        spec = job(name, count=4, volatile=True, estimate_ms=1_000)
        model.submit(name, spec, "e0", timeout_ms=800)
    model.run(400)
    outcomes = [model.answers[f"{n:016x}"].outcome for n in range(1, 4)]
    assert outcomes == ["rejected"] * 3
    assert model.count("start", f"{3:016x}") == 0


def test_no_task_starts_in_an_evacuated_data_centre() -> None:
    """An evacuated data centre must get no new tasks, even if no other is left."""
    model = ready_model()
    for host in model.owners.values():
        declarations = Declarations(version=2, evacuated=frozenset({"perth"}))
        host.core.update_declarations(model.now_ms, declarations)
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=1_000)
    model.run(500)
    assert model.answers["post"].detail == "no_worker"
    assert model.runs() == []


def test_a_worker_that_fails_every_run_is_ejected() -> None:
    """A single failing worker must not fail jobs that other workers can complete."""
    model = ready_model()
    model.machines["u1"].fail_all = True
    for number in range(6):
        model.submit(f"{number}", job(f"{number:016x}", volatile=True), "e0", 4_000)
        model.run(300)
    details = {model.answers[f"{number}"].detail for number in range(6)}
    assert details == {"completed"}
    failed = [row for row in model.runs() if row[1] == "failed"]
    assert len(failed) <= 8


def test_starts_never_exceed_the_capacity_of_a_worker() -> None:
    """A worker does not check its capacity, so its agent has to.

    Two entries that place tasks on the same workers must not overload them.
    """
    model = ready_model(entries=2, agents=2)
    for number in range(20):
        spec = job(f"{number:016x}", count=3, volatile=True)
        model.submit(f"{number}", spec, f"e{number % 2}", timeout_ms=9_000)
    model.run(5_000)
    active: dict[str, int] = {}
    for _, what, _, _, agent in model.runs():
        active[agent] = active.get(agent, 0) + (1 if what == "start" else -1)
        assert active[agent] <= 4
    assert model.count("done") == 60
    assert model.overlapping() == []


def test_an_agent_raises_its_fencing_token_above_that_of_the_worker() -> None:
    """An agent whose clock was set back must not stay fenced by its worker.

    Fencing tokens follow from the clock, so a restarted agent may begin below a token
    that the worker has seen.
    """
    model = Model(agents=1)
    order = StartRun("x.0.0.0", 1, "", "", 0, 50_000)
    model.machines["u0"].start(model.now_ms, order)
    model.run(SETTLE_MS)
    spec = job(JOB, volatile=True)
    model.submit("post", spec, "e0", timeout_ms=2_000)
    model.run(1_000)
    assert model.answers["post"].detail == "completed"


def test_ends_are_acknowledged_after_a_restart_of_the_agent() -> None:
    """The worker must be able to forget ended runs from before the restart.

    It lists only 500 ended runs at a time, so old ones would hide new ones.
    """
    model = ready_model(agents=1)
    for number in range(3):
        model.submit(f"{number}", job(f"{number:016x}", volatile=True), "e0", 4_000)
        model.run(400)
    model.kill("u0")
    model.run(300)
    model.start_agent("u0")
    model.run(300)
    for number in range(3, 6):
        model.submit(f"{number}", job(f"{number:016x}", volatile=True), "e0", 4_000)
        model.run(400)
    assert model.count("done") == 24
    assert model.machines["u0"].finished == []


def test_a_waiting_job_is_forgotten_when_its_client_account_leaves() -> None:
    """A job without a started task is forgotten at once, and must never start.

    A request left behind for it would refer to an unknown job.
    """
    model = ready_model(agents=1)
    for machine in model.machines.values():
        machine.run_ms = 1_000
    model.submit("first", job("0" * 16, volatile=True), "e0", timeout_ms=5_000)
    model.submit("waits", job(JOB, volatile=True), "e0", timeout_ms=5_000)
    model.run(100)
    model.owners["e0"].core.abandon(model.now_ms, "waits", JOB)
    model.run(3_000)
    assert model.answers["first"].detail == "completed"
    assert model.count("start", JOB) == 0


def test_runs_survive_a_restart_of_the_agent_before_the_worker_registers() -> None:
    """The next heartbeat of a worker may come after its lease would have ended.

    A restarted agent has to renew the lease before that, or the runs are lost.
    """
    model = ready_model(agents=1)
    model.machines["u0"].run_ms = 2_500
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    model.kill("u0")
    model.run(500)
    model.start_agent("u0", registers=False)
    model.run(1_400)
    model.register("u0")
    model.run(3_000)
    assert model.answers["post"].detail == "completed"
    assert model.count("start") == 4


def test_jobs_wait_for_the_agents_of_an_entry_that_has_just_started() -> None:
    """After a restart of all processes no job may be rejected while workers are idle.

    An entry knows no agents at first; they connect and register within seconds.
    """
    model = Model()
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=3_000)
    model.run(1_500)
    assert model.answers["post"].detail == "completed"


def test_ends_before_a_late_registration_are_acknowledged() -> None:
    """Runs that ended while no agent was up must be acknowledged to the worker.

    The agent restarts and learns of these ends before its worker registers. The worker
    lists only 500 ended runs at a time, so old ones would hide new ones.
    """
    model = ready_model(agents=1)
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(40)
    model.kill("u0")
    model.run(500)
    assert len(model.machines["u0"].finished) == 4
    model.start_agent("u0", registers=False)
    model.run(1_000)
    model.register("u0")
    model.run(2_000)
    assert model.machines["u0"].finished == []


def test_a_job_whose_start_orders_were_all_refused_counts_as_not_run() -> None:
    """A job must still be rejected as not run after a full worker refused its starts.

    Start orders count as possible runs until the agent reports them as refused.
    """
    model = ready_model(entries=2, agents=1)
    model.machines["u0"].run_ms = 3_000
    first = job("0" * 16, volatile=True, estimate_ms=1_000)
    second = job(JOB, volatile=True, estimate_ms=1_000)
    model.submit("first", first, "e0", timeout_ms=9_000)
    model.submit("second", second, "e1", timeout_ms=800)
    model.run(790)
    assert any(row[2] == "run not started" for row in model.notes)
    assert model.count("start", JOB) == 0
    assert model.answers["second"].outcome == "rejected"


def test_a_late_job_behind_a_long_backlog_is_rejected_before_its_deadline() -> None:
    """A job behind more work than its time allows must be rejected early.

    It would otherwise wait until its client account gives up, and never start.
    """
    model = ready_model(agents=1, entries=1)
    model.machines["u0"].run_ms = 2_000
    for number in range(5):
        spec = job(f"{number:016x}", volatile=True, estimate_ms=400)
        model.submit(f"{number}", spec, "e0", timeout_ms=1_900)
    model.run(50)
    assert model.answers == {}
    model.run(550)
    assert "1" in model.answers
    for number, answer in model.answers.items():
        assert answer.outcome == "rejected"
        assert answer.retry_after_ms > 0
        assert model.count("start", f"{int(number):016x}") == 0


def test_a_delayed_heartbeat_of_a_worker_that_left_registers_nothing() -> None:
    """A worker that has left must not be used again after a late heartbeat of it."""
    model = ready_model(entries=1, agents=1)
    agent = model.workers["u0"].core
    model.register("u0", draining=True)
    agent.handle_worker_left(model.now_ms, model.machines["u0"].instance)
    model.register("u0")
    model.run(500)
    assert agent.state.registration is None
    model.submit("r", job("a" * 16, volatile=True), "e0", timeout_ms=1_000)
    model.run(2_000)
    assert model.count("start") == 0


def test_a_postponed_submission_is_dropped_when_its_client_account_leaves() -> None:
    """Workers would run a job that nobody waits for any more."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 5_000
    model.submit("post", job(JOB, volatile=True), "e1", timeout_ms=9_000)
    model.run(200)
    core = model.owners["e1"].core
    core.abandon(model.now_ms, "post", JOB)
    model.submit("again", job(JOB, volatile=True), "e1", timeout_ms=9_000)
    core.abandon(model.now_ms, "again", JOB)
    model.run(6_000)
    assert model.count("start") == 4
    assert JOB not in core.state.volatile.jobs


def test_a_job_that_was_given_up_after_its_start_is_not_rejected_as_not_run() -> None:
    """A rejection tells the client account that no task has run, which must be true."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 5_000
    model.submit("post", job(JOB, volatile=True), "e1", timeout_ms=400)
    model.run(2_000)
    assert model.answers["post"].outcome == "unknown"
    core = model.owners["e1"].core
    # Any reason for a rejection will do.
    core.state.volatile.append_failing_since_ms = model.now_ms
    model.submit("again", job(JOB, volatile=True), "e1", timeout_ms=400)
    model.submit("other", job("b" * 16, volatile=True), "e1", timeout_ms=400)
    model.run(100)
    assert model.answers["again"].outcome == "unknown"
    assert model.answers["other"].outcome == "rejected"
    model.run(11_000)
    assert core.state.volatile.given_up_ms == {}


def test_entries_learn_whether_a_job_that_was_given_up_may_have_run() -> None:
    """Another entry may reject a job as not run only if no task of it was sent."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 5_000
    core = model.owners["e1"].core
    core.take_volatile_changes()
    model.submit("started", job(JOB, volatile=True), "e1", timeout_ms=400)
    model.run(2_000)
    core.submit(model.now_ms, "left", job("b" * 16, volatile=True), timeout_ms=400)
    core.abandon(model.now_ms, "left", "b" * 16)
    changes = core.take_volatile_changes()
    assert (changes.begun, changes.ended) == ([], [])
    assert (changes.given_up, changes.dropped) == ([JOB], ["b" * 16])


def test_start_orders_of_other_entries_do_not_keep_runs_of_a_lost_entry() -> None:
    """Each start order renews the worker's lease, also that of a run to be stopped.

    Stops that the worker does not get would leave the run to its lease alone, and
    another entry may begin the job 2,250 ms after the loss.
    """
    model = ready_model(agents=1)
    machine = model.machines["u0"]
    machine.run_ms = 6_000
    model.submit("post", job(JOB, count=1, volatile=True), "e1", timeout_ms=9_000)
    model.run(200)
    machine.run_ms = 50
    machine.loses_stops = True
    model.kill("e1")
    for number in range(23):
        spec = job(f"{number:016x}", count=1, volatile=True)
        model.submit(f"{number}", spec, "e0", timeout_ms=9_000)
        model.run(100)
    ends = [what for _, what, task, *_ in model.runs() if task.startswith(JOB)]
    assert ends == ["start", "lapsed"]
