"""Heartbeats that do not come from the worker whose runs go on."""

from __future__ import annotations

from typing import Any

import attrs
import orjson
import pytest

from catkincross.peers import Ends, Lease, RunningTask
from catkincross.platform import read_heartbeat
from catkincross.workers import LeaseRenewalReply, SendToEntry, StartOutcome, WorkerCore
from scenarios.platform_model import SERVICE, SETTLE_MS, job
from scenarios.strict_model import StrictModel
from standins.strict_worker import StrictWorker
from tests.test_platform_unanswered import TASK, order_run, ready_core, reply

JOB = "5c0e7a21d94b36f8"
RUN_MS = 400
# The wall clock of a host may be this far ahead.
CLOCK_ERROR_MS = 20_000


def model_with_runs(agents: int = 3, clock_error_ms: int = 0) -> StrictModel:
    """Return a model in which each worker has runs of a volatile job."""
    model = StrictModel(entries=2, agents=agents)
    for machine in model.machines.values():
        machine.run_ms = RUN_MS
    if clock_error_ms:
        for name, machine in model.machines.items():
            machine.wall_clock_error_ms = clock_error_ms
            model.replace(name, 5)
    model.run(SETTLE_MS)
    return model


def begin_job(model: StrictModel) -> None:
    """Submit a job, and wait until its tasks run on all workers."""
    spec = job(JOB, count=6, volatile=True)
    model.submit("post", spec, "e0", timeout_ms=4_000)
    model.run(50)
    assert all(machine.active for machine in model.machines.values())


def ends_told(model: StrictModel) -> list[str]:
    """Return how the agent of the first worker said that its runs had ended."""
    return [
        fields["how"]
        for _, name, event, fields in model.notes
        if name == "u0" and event == "run ended"
    ]


def foreign_heartbeat(model: StrictModel, **changes: Any) -> dict[str, Any]:
    """Return a heartbeat of a writer that is no worker of this host."""
    other = StrictWorker(instance="w-other")
    other.begin_life(model.now_ms)
    return {**other.heartbeat(model.now_ms, SERVICE), **changes}


def test_a_heartbeat_of_another_writer_ends_no_runs() -> None:
    """The agent took its worker for crashed, and the tasks ran elsewhere beside it."""
    model = model_with_runs()
    begin_job(model)
    body = foreign_heartbeat(model, service="unknown")
    model.put_heartbeat("u0", "w-other", body)
    model.run(3_000)
    assert model.overlapping() == []
    assert ends_told(model) == ["done", "done"]


def test_a_heartbeat_with_a_field_of_another_type_is_not_read() -> None:
    """It comes from another writer and must name no worker to use."""
    body = StrictWorker(instance="w-u0").heartbeat(0, SERVICE)
    changed = [
        {**body, field: value}
        for field in ("address", "version", "slots", "cold_left_ms", "clock_ms", "born")
        for value in (None, ["x"], {}, True, 1.5)
    ]
    for heartbeat in changed:
        assert read_heartbeat("w-u0", orjson.dumps(heartbeat)) is None, heartbeat


def test_a_heartbeat_without_a_field_is_not_read() -> None:
    """It comes from another writer and must name no worker to use."""
    body = StrictWorker(instance="w-u0").heartbeat(0, SERVICE)
    for field in ("address", "version", "slots", "cold_left_ms"):
        changed = {name: value for name, value in body.items() if name != field}
        assert read_heartbeat("w-u0", orjson.dumps(changed)) is None, field


def test_a_delayed_heartbeat_of_an_earlier_worker_ends_no_runs() -> None:
    """Its start lay in the future, as the wall clock has been set back since.

    The agent was started after that, and knows only the worker that is there.
    """
    model = model_with_runs(clock_error_ms=CLOCK_ERROR_MS)
    machine = model.machines["u0"]
    delayed = machine.heartbeat(model.now_ms, SERVICE)
    earlier = machine.instance
    model.kill("u0")
    machine.wall_clock_error_ms = 0
    model.replace("u0", 300, instance="w-next")
    model.run(600)
    model.start_agent("u0")
    model.run(SETTLE_MS)
    begin_job(model)
    model.put_heartbeat("u0", earlier, delayed)
    model.run(3_000)
    assert model.overlapping() == []


def test_a_delayed_heartbeat_that_a_new_agent_reads_first_ends_no_runs() -> None:
    """The next heartbeat of the worker that is there was taken for that of a new one.

    A new agent takes any worker on its host for its own until it reads a heartbeat.
    """
    model = model_with_runs()
    machine = model.machines["u0"]
    machine.run_ms = 4_000
    earlier, delayed = machine.instance, machine.heartbeat(model.now_ms, SERVICE)
    model.replace("u0", 300, instance="w-next")
    model.run(1_600)
    begin_job(model)
    model.kill("u0")
    model.run(50)
    model.start_agent("u0", registers=False)
    model.run(50)
    model.put_heartbeat("u0", earlier, delayed)
    model.run(50)
    model.send_heartbeat("u0")
    model.run(6_000)
    assert model.overlapping() == []


def test_the_heartbeat_of_the_next_worker_ends_no_runs_of_one_that_drains() -> None:
    """A worker goes on for seconds after it has announced that it leaves."""
    model = model_with_runs()
    begin_job(model)
    model.register("u0", draining=True)
    model.run(50)
    model.put_heartbeat("u0", "w-next", foreign_heartbeat(model))
    model.run(3_000)
    assert model.overlapping() == []
    assert ends_told(model) == ["done", "done"]


def test_the_worker_is_used_again_after_a_heartbeat_of_another_writer() -> None:
    """Its own heartbeats were ignored for good, as it had been started earlier."""
    model = model_with_runs(agents=1)
    model.put_heartbeat("u0", "w-other", foreign_heartbeat(model))
    model.run(6_000)
    begin_job(model)


@pytest.mark.parametrize("instance", ["", "w-next"])
def test_a_worker_is_used_whose_wall_clock_was_set_back(instance: str) -> None:
    """The heartbeats of its new process were taken for those of an earlier one."""
    model = model_with_runs(agents=1, clock_error_ms=CLOCK_ERROR_MS)
    model.machines["u0"].wall_clock_error_ms = 0
    model.replace("u0", 300, instance=instance)
    model.run(8_000)
    begin_job(model)


def test_a_late_departure_of_an_earlier_process_ends_no_runs() -> None:
    """A notice does not tell which process of the same identity has left."""
    model = model_with_runs()
    model.replace("u0", 300)
    model.run(2_000)
    begin_job(model)
    model.delete("u0", "w-u0")
    model.run(3_000)
    assert model.overlapping() == []
    assert ends_told(model) == ["done", "done"]


NEXT_BORN = 9


def heartbeat_of_next(core: WorkerCore, now_ms: int) -> None:
    """Let a heartbeat of the next worker arrive."""
    registration = core.state.registration
    assert registration is not None
    next_worker = attrs.evolve(
        registration, worker="w-next", worker_incarnation=NEXT_BORN, draining=False
    )
    assert not core.handle_heartbeat(now_ms, next_worker)


def answer_as_next(core: WorkerCore, now_ms: int) -> list[str]:
    """Let only the next worker answer two renewals; return the ends that are told."""
    answer = LeaseRenewalReply(NEXT_BORN, now_ms, (), ())
    for _ in range(2):
        renewal = core.next_renewal(now_ms)
        if renewal.worker == "w-next":
            core.handle_renewal_reply(now_ms, now_ms, renewal, answer)
    assert core.state.worker == "w-next"
    sent = [e.message for e in core.step(now_ms) if isinstance(e, SendToEntry)]
    return [end.how for m in sent if isinstance(m, Ends) for end in m.ended]


def test_another_worker_is_not_called_while_the_worker_answers() -> None:
    """A call that another process answers renews no lease of the worker with runs."""
    core = ready_core()
    core.handle_start_outcome(0, order_run(core), StartOutcome.STARTED)
    running = RunningTask(TASK, 1, "", 10)
    for now_ms in range(10, 2_000, 50):
        heartbeat_of_next(core, now_ms)
        renewal = core.next_renewal(now_ms)
        assert (renewal.worker, renewal.until_ms is None) == ("w", False)
        core.handle_renewal_reply(now_ms, now_ms, renewal, reply(now_ms, (running,)))
        core.step(now_ms)
        core.handle_entry_message(now_ms, "e1", Lease(now_ms, 2_000, [], 9, 800))
    assert core.state.worker == "w"
    assert (TASK, 1) in core.state.runs


def test_runs_of_a_worker_that_drains_end_with_its_lease_at_the_earliest() -> None:
    """It may go on with its runs for seconds after the next worker has started."""
    core = ready_core()
    core.handle_start_outcome(0, order_run(core), StartOutcome.STARTED)
    registration = core.state.registration
    assert registration is not None
    draining = attrs.evolve(registration, draining=True, sequence=2)
    assert core.handle_heartbeat(5, draining)
    heartbeat_of_next(core, 10)
    core.next_renewal(10)
    lease_end_ms = core.state.lease_end_ms
    told = {}
    for now_ms in range(50, 2_000, 50):
        for how in answer_as_next(core, now_ms):
            told[how] = now_ms
    assert list(told) == ["absent"]
    assert told["absent"] >= lease_end_ms


def test_a_worker_that_has_crashed_is_replaced_at_the_first_answer() -> None:
    """The tasks of a worker that is gone must not wait for more than one call."""
    core = ready_core()
    core.handle_start_outcome(0, order_run(core), StartOutcome.STARTED)
    core.next_renewal(5)
    heartbeat_of_next(core, 10)
    assert set(answer_as_next(core, 20)) == {"crashed"}
