"""A stored job on workers whose leases are also renewed for runs of another entry."""

from __future__ import annotations

from collections.abc import Iterator

from standins.platform_worker import ActiveRun

from .platform_model import SETTLE_MS, job
from .strict_model import StrictModel

JOB = "5c0e7a21d94b36f8"
VOLATILE_JOB = "a94b36f85c0e7a21"
WORKERS = 4
TASKS = 2 * WORKERS
STOP_MS = 45
LONG_MS = 30_000
# Longest time until an event that is waited for, in steps of `STEP_MS`.
STEP_MS = 5
MAX_STEPS = 2_000


def model_with_stored_job() -> StrictModel:
    """Return a model in which all tasks of the stored job run."""
    model = StrictModel(entries=2, agents=WORKERS)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.stop_takes_ms = STOP_MS
        machine.run_ms = LONG_MS
    owner = model.owner_of(job(JOB))
    other = "e1" if owner == "e0" else "e0"
    spec = job(VOLATILE_JOB, count=WORKERS, volatile=True, anti_affinity=1)
    model.submit("busy", spec, other, timeout_ms=3 * LONG_MS)
    model.run(300)
    model.submit("post", job(JOB, count=TASKS), owner)
    model.run(300)
    assert len(list(stored_runs(model))) == TASKS
    return model


def stored_runs(model: StrictModel) -> Iterator[ActiveRun]:
    """Return the runs of the stored job that go on."""
    for machine in model.machines.values():
        yield from (run for run in machine.active.values() if JOB in run.task)


def end_stored_runs(model: StrictModel, after_ms: int, how: str) -> None:
    """Let the runs of the stored job end by themselves after a time."""
    for run in stored_runs(model):
        run.ends_ms, run.how = model.now_ms + after_ms, how


def run_until(model: StrictModel, event: str) -> None:
    """Let time pass until a core has logged an event.

    Raises:
        AssertionError: If no core logs it.
    """
    for _ in range(MAX_STEPS):
        if any(name == event for _, _, name, _ in model.notes):
            return
        model.run(STEP_MS)
    raise AssertionError(event)


def cut_from_owner(model: StrictModel, agents: list[str], for_ms: int) -> None:
    """Cut agents off from the owner of the stored job."""
    owner = model.owner_of(job(JOB))
    for agent in agents:
        model.block(owner, agent, for_ms)
        model.block(agent, owner, for_ms)
