"""Guards against starts beyond a worker's capacity when it shrinks, and what follows.

The capacity of a worker may shrink below what runs there, and grow again.
"""

from __future__ import annotations

import attrs
import pytest

from catkincross.jobs import JobSpec
from scenarios.capacity_check import starts_over_capacity
from scenarios.platform_model import HEARTBEAT_MS, Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
OTHER = "6d1f8b32ea5c4709"


def small_model(run_ms: int = 300, **options: int) -> Model:
    """Return a model with one entry and, unless stated, one worker of four cores."""
    model = ready_model(**{"entries": 1, "agents": 1, **options})
    for machine in model.machines.values():
        machine.run_ms = run_ms
    return model


def submit(model: Model, spec: JobSpec, timeout_ms: int = 0) -> None:
    """Hand in a job at the first entry, under its ID."""
    model.submit(spec.id, spec, "e0", timeout_ms=timeout_ms)


def over_capacity(model: Model, *specs: JobSpec) -> list[str]:
    """Return the starts that brought a worker over its capacity."""
    return starts_over_capacity(model, {spec.id: spec.steps[0] for spec in specs})


def running_count(model: Model, job_id: str = "") -> int:
    """Return the number of runs in progress, of one job or of all."""
    return sum(
        job_id in task
        for machine in model.machines.values()
        for task in machine.running
    )


def test_no_start_while_a_shrunk_worker_runs_more_than_its_capacity() -> None:
    """Runs that exceed the new capacity go on, and nothing may be added to them."""
    model = small_model(run_ms=1_000)
    first, second = job(JOB, count=3), job(OTHER, count=2)
    submit(model, first)
    model.run(100)
    model.register("u0", cpu=2_000)
    model.run(20)
    submit(model, second)
    model.run(800)
    assert model.count("start", OTHER) == 0
    assert model.count("stopped") == 0
    model.run(2_500)
    assert model.count("done") == 5
    assert over_capacity(model, first, second) == []


def test_an_order_sent_before_a_shrink_is_refused_after_it() -> None:
    """An entry may decide on a state from before the shrink; the agent must refuse."""
    model = small_model()
    spec = job(JOB, count=4)
    submit(model, spec)
    # The record is durable after 4 ms, and the orders arrive 1 ms after they are sent.
    while not any(row[2] == "run sent" for row in model.notes):
        model.run(1)
    model.register("u0", cpu=2_000)
    model.run(40)
    refused = [row for row in model.notes if row[2] == "start refused"]
    assert {row[3]["reason"] for row in refused} == {"no room"}
    assert running_count(model) == 2
    model.run(2_000)
    assert model.count("done") == 4
    assert over_capacity(model, spec) == []


def test_a_stored_job_that_fits_nowhere_after_a_shrink_runs_once_it_fits() -> None:
    """An accepted job must neither be lost nor run on a worker that is too small."""
    model = small_model()
    spec = job(JOB, count=2)
    submit(model, spec)
    model.run(2)
    model.register("u0", cpu=500)
    model.run(6_000)
    assert model.answers[JOB].outcome == "accepted"
    assert running_count(model) == model.count("start") == 0
    model.register("u0", cpu=1_000)
    model.run(1_500)
    assert model.count("done") == 2
    assert over_capacity(model, spec) == []


def test_capacity_that_grows_again_is_used_without_delay() -> None:
    """Waiting tasks must start within the interval between two states of an agent."""
    model = small_model(run_ms=2_000)
    model.register("u0", cpu=1_000)
    model.run(200)
    submit(model, job(JOB, count=4))
    model.run(300)
    assert running_count(model) == 1
    model.register("u0", cpu=4_000)
    model.run(60)
    assert running_count(model) == 4


def test_a_heartbeat_from_before_a_shrink_that_arrives_late_changes_nothing() -> None:
    """A heartbeat that is overtaken, or arrives twice, must not undo a later one."""
    model = small_model()
    late = model.heartbeat("u0")
    model.run(5)
    model.register("u0", cpu=1_000)
    shrunk = model.heartbeat("u0")
    for content in (late, shrunk, shrunk, late):
        model.deliver_heartbeat("u0", content)
    assert model.workers["u0"].core.state.free_capacity()[0] == 1_000
    spec = job(JOB, count=4)
    submit(model, spec)
    model.run(300)
    assert running_count(model) == 1
    assert over_capacity(model, spec) == []


def test_a_restarted_agent_starts_nothing_before_it_knows_the_capacity() -> None:
    """A new agent process must not use the capacity that its predecessor knew."""
    model = small_model(run_ms=2_000)
    spec = job(JOB, count=4)
    submit(model, spec)
    model.run(100)
    model.kill("u0")
    model.machines["u0"].resize(model.now_ms, (2_000, 8_192, 0))
    model.run(300)
    model.start_agent("u0", registers=False)
    other = job(OTHER, count=2)
    submit(model, other)
    model.run(HEARTBEAT_MS)
    assert model.count("start", OTHER) == 0
    model.register("u0")
    model.run(4_000)
    assert model.count("done") >= 6
    assert over_capacity(model, spec, other) == []


@pytest.mark.parametrize("resource", ["memory_mb", "gpu"])
def test_memory_and_accelerators_of_a_shrunk_worker_are_respected(
    resource: str,
) -> None:
    """Each resource is limited by itself."""
    model = small_model(run_ms=2_000)
    machine = model.machines["u0"]

    def resize(tasks: int) -> None:
        # Room for this many tasks by the resource, and for four by the others.
        capacity = {
            "memory_mb": (4_000, 64 * tasks, 0),
            "gpu": (4_000, 8_192, tasks),
        }[resource]
        machine.resize(model.now_ms, capacity)
        model.register("u0")

    resize(3)
    model.run(200)
    spec = job(JOB, count=4)
    step = attrs.evolve(spec.steps[0], gpu=int(resource == "gpu"))
    spec = attrs.evolve(spec, steps=(step,))
    submit(model, spec)
    model.run(300)
    assert running_count(model) == 3
    resize(1)
    model.run(300)
    assert running_count(model) == 3
    resize(4)
    model.run(200)
    assert running_count(model) == 4
    assert over_capacity(model, spec) == []


def test_a_gang_with_a_member_refused_after_a_shrink_starts_as_a_whole() -> None:
    """Members that started must not wait for one that no longer fits."""
    model = small_model(run_ms=500, agents=3)
    spec = job(JOB, count=12, gang=True)
    submit(model, spec)
    while not any(row[2] == "run sent" for row in model.notes):
        model.run(1)
    model.register("u1", cpu=2_000)
    model.run(400)
    assert running_count(model) == 0
    model.register("u1", cpu=4_000)
    model.run(300)
    assert running_count(model) == 12
    numbers = {
        active_run.run
        for machine in model.machines.values()
        for active_run in machine.running.values()
    }
    assert len(numbers) == 1
    assert model.overlapping() == []
    assert over_capacity(model, spec) == []


def test_no_start_by_a_capacity_that_was_last_heard_before_a_freeze() -> None:
    """A worker may have shrunk while its agent was frozen and read no heartbeat."""
    model = small_model(run_ms=2_000)
    model.register("u0")
    spec = job(JOB, count=4)
    host = model.workers["u0"]
    host.frozen_until_ms = model.now_ms + 6_000
    model.run(100)
    model.machines["u0"].resize(model.now_ms, (1_000, 8_192, 0))
    # The agent woke 200 ms ago and offers its worker again.
    model.run(6_100)
    model.silent_workers.add("u0")
    submit(model, spec)
    model.run(500)
    model.silent_workers.clear()
    model.run(2_000)
    other = job(OTHER, count=2)
    submit(model, other)
    model.run(5_000)
    assert model.count("done", OTHER) == 2
    assert over_capacity(model, spec, other) == []


def test_no_start_by_an_old_capacity_while_heartbeats_are_lost() -> None:
    """Heartbeats may be lost or unreadable while the worker answers renewals."""
    model = small_model(run_ms=100)
    model.register("u0")
    model.silent_workers.add("u0")
    model.machines["u0"].resize(model.now_ms + 100, (1_000, 8_192, 0))
    specs = [job(f"{number:016x}", count=4) for number in range(40)]
    for spec in specs:
        submit(model, spec)
        model.run(200)
    assert over_capacity(model, *specs) == []
    model.silent_workers.clear()
    model.run(30_000)
    answers = [model.answers[spec.id].outcome for spec in specs]
    assert model.count("done") == 4 * answers.count("accepted") >= 80


def test_a_repeated_heartbeat_does_not_keep_an_old_capacity_in_use() -> None:
    """A copy of an old heartbeat says nothing about the capacity of now."""
    model = small_model(run_ms=100)
    model.silent_workers.add("u0")
    old = model.heartbeat("u0")
    model.deliver_heartbeat("u0", old)
    model.machines["u0"].resize(model.now_ms, (1_000, 8_192, 0))
    model.run(3_000)
    model.deliver_heartbeat("u0", old)
    model.run(1_700)
    spec = job(JOB, count=4)
    submit(model, spec)
    model.run(500)
    assert over_capacity(model, spec) == []


def test_a_few_lost_heartbeats_do_not_stop_the_work() -> None:
    """A worker whose heartbeats come again within two intervals stays in use."""
    model = small_model(run_ms=100)
    model.silent_workers.add("u0")
    model.run(2 * HEARTBEAT_MS)
    submit(model, job(JOB, count=4))
    model.run(60)
    assert running_count(model) == 4


def test_a_restarted_worker_is_not_judged_by_the_capacity_of_its_earlier_life() -> None:
    """A new life under the same identity may be smaller than the one before."""
    model = small_model(run_ms=1_000)
    machine = model.machines["u0"]
    spec = job(JOB, count=4)
    submit(model, spec)
    model.run(100)
    model.silent_workers.add("u0")
    machine.crash(model.now_ms)
    machine.resize(model.now_ms, (1_000, 8_192, 0))
    model.run(700)
    assert running_count(model) == 0
    model.silent_workers.clear()
    model.run(7_000)
    assert model.count("done") == 4
    assert over_capacity(model, spec) == []


def test_a_change_of_capacity_is_logged_with_what_is_in_use() -> None:
    """Refused starts and waiting tasks after a shrink must be explained by the log."""
    model = small_model(run_ms=2_000)
    submit(model, job(JOB, count=3))
    model.run(100)
    model.notes.clear()
    model.register("u0", cpu=2_000)
    model.register("u0")
    model.register("u0", cpu=4_000)
    model.run(20)
    found = [row[3] for row in model.notes if row[2] == "worker capacity"]
    old, new, in_use = [4_000, 8_192, 0], [2_000, 8_192, 0], [3_000, 192, 0]
    assert found == [
        {"worker": "w-u0", "old": old, "new": new, "in_use": in_use},
        {"worker": "w-u0", "old": new, "new": old, "in_use": in_use},
    ]
