"""Tests of scheduled jobs, whose steps run at given times of day."""

from __future__ import annotations

import attrs
import orjson

from catkincross.jobs import JobSpec, QueuePolicy, Schedule, Step
from catkincross.owner._wall_clock import (
    STEP_ACCEPTED_AFTER_MS,
    STEP_THRESHOLD_MS,
    WallClock,
)
from catkincross.platform import InvalidJob, read_job
from scenarios.platform_model import Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
POLICY = QueuePolicy("q", "checks")
# Time of day of the model at its time 0.
WALL_START_MS = 1_700_000_000_000
OCCURRENCES = 3
INTERVAL_MS = 400


def scheduled_model(first_in_ms: int = 500) -> tuple[Model, JobSpec]:
    """Return a model with an accepted job of two steps and three occurrences.

    Args:
        first_in_ms: Time from the submission to the first occurrence.
    """
    model = ready_model()
    for host in model.owners.values():
        host.core.update_wall_clock(model.now_ms, WALL_START_MS + model.now_ms)
    first_ms = WALL_START_MS + model.now_ms + first_in_ms
    plain = job(JOB, count=2)
    steps = (plain.steps[0], attrs.evolve(plain.steps[0], count=1, after=(0,)))
    schedule = Schedule(OCCURRENCES, first_ms, INTERVAL_MS)
    spec = attrs.evolve(plain, steps=steps, schedule=schedule)
    model.submit("post", spec, model.owner_of(spec))
    model.run(60)
    assert model.answers["post"].outcome == "accepted"
    return model, spec


def starts(model: Model, spec: JobSpec) -> dict[str, int]:
    """Return the start of each task by its name, in ms after the first due time."""
    assert spec.schedule is not None
    first_ms = spec.schedule.first_ms - WALL_START_MS
    return {row[2]: row[0] - first_ms for row in model.runs() if row[1] == "start"}


def state_of(model: Model, spec: JobSpec) -> str:
    """Return the state of a job at its owner."""
    host = model.owners[model.owner_of(spec)]
    host.core.job_state(model.now_ms, "state", spec.id)
    model.step(host)
    return model.answers["state"].detail


def test_each_occurrence_starts_when_it_is_due() -> None:
    """No step may start before it is due, and the first steps start within 20 ms."""
    model, spec = scheduled_model()
    model.run(300)
    assert starts(model, spec) == {}
    assert state_of(model, spec) == "queued"
    model.run(3_000)
    found = starts(model, spec)
    assert len(found) == OCCURRENCES * 3
    for name, start_ms in found.items():
        occurrence, step = (int(part) for part in name.split(".")[1:3])
        due_ms = occurrence * INTERVAL_MS
        assert due_ms <= start_ms <= due_ms + 400
        if step == 0:
            assert start_ms <= due_ms + 20
    assert state_of(model, spec) == "completed"
    assert model.overlapping() == []


def test_due_times_survive_a_restart_of_all_processes() -> None:
    """The schedule must be restored from the log: no task runs early or twice."""
    model, spec = scheduled_model()
    model.run(700)
    for name in [*model.owners, *model.workers]:
        model.kill(name)
    for number in range(2):
        model.start_entry(f"e{number}")
    for number in range(3):
        model.start_agent(f"u{number}")
    for host in model.owners.values():
        host.core.update_wall_clock(model.now_ms, WALL_START_MS + model.now_ms)
    model.assign()
    model.run(9_000)
    assert state_of(model, spec) == "completed"
    assert model.overlapping() == []
    for name, start_ms in starts(model, spec).items():
        assert start_ms >= int(name.split(".")[1]) * INTERVAL_MS


def test_a_step_of_the_wall_clock_starts_nothing_early() -> None:
    """The wall clock of some hosts steps by seconds, and steps back soon after."""
    model, spec = scheduled_model(first_in_ms=2_000)
    for host in model.owners.values():
        host.core.update_wall_clock(model.now_ms, WALL_START_MS + model.now_ms + 5_000)
    model.run(1_500)
    assert starts(model, spec) == {}


def test_a_lasting_step_of_the_wall_clock_is_accepted() -> None:
    """An entry that started with a wrong clock must use the right time in the end."""
    clock = WallClock()
    assert clock.offset_ms(0, 1_000) == 1_000
    assert clock.offset_ms(10, 9_010) == 1_000
    assert (
        clock.offset_ms(20, 1_020 + STEP_THRESHOLD_MS // 2)
        == 1_000 + STEP_THRESHOLD_MS // 2
    )
    assert clock.offset_ms(30, 9_030) < 2_000
    assert (
        clock.offset_ms(30 + STEP_ACCEPTED_AFTER_MS, 9_030 + STEP_ACCEPTED_AFTER_MS)
        == 9_000
    )


def test_steps_wait_only_for_steps_of_the_same_occurrence() -> None:
    """Occurrences may overlap, so they must not wait for each other."""
    spec = JobSpec(
        JOB, "", (Step(1), Step(1, after=(0,))), POLICY, False, Schedule(3, 0, 10)
    )
    assert [step.after for step in spec.all_steps()] == [(), (0,), (), (2,), (), (4,)]


def test_a_schedule_is_read_and_validated() -> None:
    """Valid schedules were rejected as unsupported; invalid ones name their field."""
    body = {"spec": "x", "steps": [{"count": 2}], "repeat_count": 3}
    times = {"first_run_ms": 5, "interval_ms": 7}
    found = read_job(JOB, orjson.dumps(body | times), POLICY)
    assert isinstance(found, JobSpec)
    assert found.schedule == Schedule(3, 5, 7)
    for wrong in ({"repeat_count": -1}, {"interval_ms": "x"}, {"repeat_count": 10**6}):
        bad = read_job(JOB, orjson.dumps(body | wrong), POLICY)
        assert isinstance(bad, InvalidJob)
        assert bad.problem.startswith(next(iter(wrong)))
