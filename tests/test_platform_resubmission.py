"""Volatile jobs that are sent again while runs of a lost entry or worker may go on."""

from __future__ import annotations

from catkincross.jobs import VOLATILE_SHARD
from catkincross.owner import SendToAgent
from catkincross.peers import Report, RunningTask, Stop
from scenarios.platform_model import SETTLE_MS, job, ready_model
from scenarios.volatile_fuzz import Action, Plan, play_plan
from scenarios.volatile_model import VolatileModel

JOB = "5c0e7a21d94b36f8"


def test_a_late_departure_of_an_earlier_worker_process_ends_no_run() -> None:
    """A departure names the worker but not its process, and may arrive late.

    The new process under the same identity still had the runs that were ended as lost
    and started elsewhere, and all of its further heartbeats were ignored.
    """
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 3_000
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    worker = model.machines["u0"]
    worker.crash(model.now_ms)
    model.register("u0")
    model.run(300)
    model.submit("next", job("a" * 16, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    assert worker.running
    model.workers["u0"].core.handle_worker_left(model.now_ms, worker.instance)
    model.run(1_000)
    model.register("u0")
    model.run(8_000)
    assert model.answers["post"].detail == "completed"
    assert model.overlapping() == []
    assert model.workers["u0"].core.state.ready


def test_runs_of_a_worker_that_left_for_good_are_given_up() -> None:
    """No list of runs shows their end, so they end as lost after the worker's lease."""
    model = VolatileModel()
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 3_000
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    worker = model.machines["u0"]
    assert worker.running
    model.cut_worker("u0", "lost", 20_000)
    model.workers["u0"].core.handle_worker_left(model.now_ms, worker.instance)
    model.run(1_200)
    assert model.workers["u0"].core.state.runs == {}
    model.run(4_000)
    assert model.count("done") == 4
    assert model.overlapping() == []


def test_the_run_of_a_job_begun_anew_is_not_replaced_by_an_old_one() -> None:
    """A job that was given up begins anew with run 1, after its agent was lost.

    When that agent was back it reported its old run 1. The entry assigned the task to
    it, forgot the new run, and started a third one when the old run had lapsed.
    """
    actions = (
        Action(150, "submit", (JOB, 4, "e2")),
        Action(2_420, "freeze_agent", ("u0", 3_000)),
        Action(2_420, "freeze_agent", ("u1", 3_000)),
        Action(2_924, "cut_clients", ("e2", 1)),
    )
    assert play_plan(Plan(92, (4_000,) * 4, actions)) == []


def test_an_old_run_of_the_same_number_is_stopped_and_not_adopted() -> None:
    """The entry would forget its own run of the task, which went on."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 3_000
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(50)
    core = model.owners["e0"].core
    own = core.state.volatile.jobs[JOB].tasks[0][0]
    holder = own.agent
    other = next(name for name in model.workers if name != holder)
    report = Report(
        VOLATILE_SHARD,
        core.state.volatile.epoch,
        [RunningTask(own.name, own.run)],
        [],
        model.machines[other].worker_incarnation,
        core.state.agents[other].last_order,
    )
    core.handle_agent_message(model.now_ms, other, report)
    stops = [
        effect
        for effect in core.step(model.now_ms)
        if isinstance(effect, SendToAgent) and isinstance(effect.content, Stop)
    ]
    assert own.agent == holder
    assert [stop.agent for stop in stops if stop.content.task == own.name] == [other]


def test_a_restarted_entry_waits_for_the_runs_of_its_earlier_process() -> None:
    """A new process knew nothing of the volatile jobs of the process before it.

    It started a job again 1,300 ms after the loss, while an agent that was killed soon
    after the entry, and came back, kept a run of it.
    """
    actions = (
        Action(49, "submit", ("000000000000250c", 3, "e1")),
        Action(196, "kill_entry", ("e1", 350, False)),
        Action(801, "kill_agent", ("u0", 600, True)),
    )
    assert play_plan(Plan(264, (4_000,) * 4, actions)) == []


def test_a_job_that_was_not_announced_does_not_run_twice() -> None:
    """Its entry was lost before it had announced the job to the other entries.

    Another entry started it again 1,300 ms later, while a frozen agent had not stopped
    the first run.
    """
    actions = (
        Action(171, "submit", ("0000000000002028", 4, "e0")),
        Action(195, "kill_entry", ("e0", 700, True)),
        Action(651, "freeze_agent", ("u3", 1_400)),
    )
    assert play_plan(Plan(475, (4_000,) * 4, actions)) == []


def test_a_request_that_arrives_late_does_not_begin_a_job_twice() -> None:
    """An entry asked the holder of a job, and the network held the request for 3 s.

    The holder had given the job up, and began it when the request arrived. The asking
    entry had closed the link meanwhile, learned that the job was given up, and began it
    as well.
    """
    actions = (
        Action(93, "submit", ("00000000000023a0", 2, "e1")),
        Action(243, "cut_entries", ("e1", "e2", True, 3_000)),
        Action(395, "cut_clients", ("e1", 500)),
    )
    assert play_plan(Plan(10_145, (1_500, 4_000, 4_000, 4_000), actions)) == []


def test_an_orphaned_run_ends_before_its_job_may_begin_elsewhere() -> None:
    """An agent came back 900 ms after it was killed, and found a run of a lost entry.

    It kept the run for 900 ms from then on, though the entry was lost before, so the
    run went on after the 2,250 ms for which the other entries wait.
    """
    actions = (
        Action(88, "submit", ("0000000000001d6d", 5, "e0")),
        Action(311, "kill_entry", ("e0", 350, False)),
        Action(938, "kill_agent", ("u1", 900, False)),
    )
    assert play_plan(Plan(129, (4_000,) * 4, actions)) == []


def test_an_entry_that_has_just_started_begins_no_job_of_a_live_entry() -> None:
    """It took a request 36 ms after its start, before other entries had linked to it.

    The job was still running at the entry whose client connection had broken.
    """
    actions = (
        Action(4, "submit", ("0000000000002348", 5, "e2")),
        Action(165, "submit", ("0000000000001973", 2, "e1")),
        Action(608, "kill_entry", ("e0", 3_000, True)),
        Action(1_044, "cut_clients", ("e1", 3_000)),
    )
    assert play_plan(Plan(10_496, (300, 300, 4_000, 4_000), actions)) == []


def test_a_restarted_host_waits_for_the_runs_of_its_earlier_entry() -> None:
    """No link of an entry closes when its host is turned off.

    The other entries still took the earlier process for a live one when the new one had
    started, so they did not tell it of the jobs, and it began one again.
    """
    actions = (
        Action(0, "submit", ("0000000000001095", 5, "e2")),
        Action(346, "lose_stops", (6,)),
        Action(1_308, "kill_entry", ("e2", 700, True)),
    )
    assert play_plan(Plan(1_163, (300, 300, 1_500, 4_000), actions)) == []


def test_a_worker_that_answers_after_its_departure_is_given_up_when_it_ends() -> None:
    """No heartbeat and no list of runs would ever show the end of its runs."""
    model = VolatileModel()
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 6_000
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=15_000)
    model.run(200)
    worker = model.machines["u0"]
    assert worker.running
    model.workers["u0"].core.handle_worker_left(model.now_ms, worker.instance)
    model.run(100)
    assert model.workers["u0"].core.state.runs
    model.cut_worker("u0", "lost", 20_000)
    model.run(1_700)
    assert model.workers["u0"].core.state.runs == {}
    model.run(7_000)
    assert model.count("done") == 4
    assert model.overlapping() == []


def test_a_late_departure_ends_no_run_while_the_present_worker_drains() -> None:
    """Draining does not tell which process of the worker a departure is of."""
    model = VolatileModel()
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 3_000
    worker = model.machines["u0"]
    model.submit("post", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    assert worker.running
    model.register("u0", draining=True)
    model.run(100)
    model.workers["u0"].core.handle_worker_left(model.now_ms, worker.instance)
    model.run(8_000)
    assert model.overlapping() == []
    assert model.count("done") == 4


def test_a_stop_does_not_end_the_run_of_another_entry() -> None:
    """Both entries number the runs of the same volatile job from 1."""
    model = ready_model(entries=2, agents=1)
    model.machines["u0"].run_ms = 3_000
    model.submit("post", job(JOB, count=1, volatile=True), "e0", timeout_ms=9_000)
    model.run(200)
    core = model.workers["u0"].core
    epoch = model.owners["e1"].core.state.volatile.epoch
    stop = Stop(VOLATILE_SHARD, epoch, f"{JOB}.0.0.0", 1)
    core.handle_entry_message(model.now_ms, "e1", stop)
    model.run(4_000)
    assert model.count("stopped") == 0
    assert model.answers["post"].detail == "completed"
