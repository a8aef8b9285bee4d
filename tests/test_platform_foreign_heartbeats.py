"""Heartbeats that do not come from the worker whose runs go on."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from catkincross.platform import read_heartbeat
from scenarios.platform_model import SERVICE, SETTLE_MS, job
from scenarios.strict_model import StrictModel
from standins.strict_worker import StrictWorker

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
