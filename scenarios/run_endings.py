"""Ways in which the run of a task on the only worker of a model can end."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from .platform_model import Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
LONG_MS = 60_000
# Longer than the first ejection of 1,500 ms.
EJECTION_MS = 1_600
# Longer than the lease of a worker.
LAPSE_MS = 2_500
# Longer than the time after which an owner gives up runs of a lost agent.
GIVE_UP_MS = 6_000
ENDS = ("done", "failed", "stopped", "lapsed", "broken", "alone")

# Each one takes a model with the run; those of `STORED_ENDINGS` need a stored job.
ENDINGS: dict[str, Callable[[Model], None]] = {}
STORED_ENDINGS: dict[str, Callable[[Model], None]] = {}


def ending(name: str, table: dict[str, Callable[[Model], None]] = ENDINGS):
    """Register a way in which a run can end."""

    def register(function: Callable[[Model], None]) -> Callable[[Model], None]:
        table[name] = function
        return function

    return register


def model_with_probe(*, volatile: bool = False) -> Model:
    """Return a model whose only worker was ejected and has a long run as a probe."""
    model = ready_model(entries=1, agents=2)
    # A worker is ejected only while there is another one.
    model.kill("u1")
    model.machines["u0"].run_ms = LONG_MS
    health = model.owners["e0"].core.state.health
    assert not health.record_failure("u0", "one", model.now_ms, 2)
    assert health.record_failure("u0", "two", model.now_ms, 2)
    model.run(EJECTION_MS)
    model.submit(JOB, job(JOB, count=1, volatile=volatile), "e0", timeout_ms=LONG_MS)
    model.run(200)
    assert TASK in model.machines["u0"].running
    return model


def end_run(how: str, model: Model) -> None:
    """Let the run end on its worker."""
    run = model.machines["u0"].running[TASK]
    run.ends_ms, run.how = model.now_ms + 10, how
    model.run(200)


for _how in ENDS:
    ENDINGS[_how] = partial(end_run, _how)


@ending("cancelled", STORED_ENDINGS)
def cancel(model: Model) -> None:
    """Cancel the job; its run ends `stopped`."""
    model.owners["e0"].core.cancel(model.now_ms, "cancel", JOB)
    model.run(200)


@ending("cancelled, and the shard is lost", STORED_ENDINGS)
def cancel_and_lose_shard(model: Model) -> None:
    """Cancel the job, and lose its shard before the run has ended."""
    model.machines["u0"].loses_stops = True
    cancel(model)
    # The shard is assigned again under a later generation.
    model.deal_to(["e0"])
    model.owners["e0"].core.update_shard_assignment(
        model.now_ms, model.now_ms, [], model.generation
    )
    model.machines["u0"].loses_stops = False
    model.run(1_000)


@ending("worker cut off")
def cut_worker(model: Model) -> None:
    """Cut the worker off until its lease has lapsed."""
    model.worker_cut.add("u0")
    model.run(LAPSE_MS)
    model.worker_cut.clear()


@ending("worker crashes")
def crash_worker(model: Model) -> None:
    """Let the worker lose everything."""
    model.machines["u0"].crash(model.now_ms)


@ending("agent restarts")
def restart_agent(model: Model) -> None:
    """Kill the agent, and start it again after the worker's lease has lapsed."""
    model.kill("u0")
    model.run(LAPSE_MS)
    model.start_agent("u0")


@ending("agent cut off")
def cut_agent(model: Model) -> None:
    """Cut the agent off until its runs are given up."""
    model.cut_link("e0", "u0")
    model.run(GIVE_UP_MS)
    model.heal_link("e0", "u0")
