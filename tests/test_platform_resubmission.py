"""Volatile jobs that are sent again while runs of a lost entry or worker may go on."""

from __future__ import annotations

from scenarios.platform_model import job, ready_model

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
