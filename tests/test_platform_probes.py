"""Tests of ejected workers, which get one task at a time until a run succeeds."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from catkincross.peers import EndedRun, Ends, NotStarted
from scenarios.platform_model import Model, job, ready_model

PROBE = "5c0e7a21d94b36f8"
NEXT = "a94b36f85c0e7a21"
PROBE_TASK = f"{PROBE}.0.0.0"
LONG_MS = 60_000
# Longer than the first ejection of 1,500 ms.
EJECTION_MS = 1_600
# Longer than the further ejections, and than the time after which runs are given up.
RECOVERY_MS = 9_000


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
    spec = job(PROBE, count=1, volatile=volatile)
    model.submit(PROBE, spec, "e0", timeout_ms=LONG_MS)
    model.run(200)
    assert PROBE_TASK in model.machines["u0"].running
    return model


def gets_next_task(model: Model) -> bool:
    """Whether the worker gets a task of another job."""
    # After a cut the agent connects again before jobs are accepted.
    model.run(1_000)
    model.submit(NEXT, job(NEXT, count=1), "e0")
    model.run(RECOVERY_MS)
    assert model.answers[NEXT].outcome == "accepted"
    return model.count("start", NEXT) > 0


def end_probe(model: Model, how: str) -> None:
    """Let the probe end on its worker."""
    run = model.machines["u0"].running[PROBE_TASK]
    run.ends_ms, run.how = model.now_ms + 10, how
    model.run(200)


def cancel(model: Model) -> None:
    """Cancel the job of the probe; its run ends `stopped`."""
    model.owners["e0"].core.cancel(model.now_ms, "cancel", PROBE)
    model.run(200)


def cancel_and_lose_shard(model: Model) -> None:
    """Cancel the job of the probe, and lose its shard before the run has ended."""
    model.machines["u0"].loses_stops = True
    cancel(model)
    model.deal_to(["e0"])
    model.owners["e0"].core.update_shard_assignment(
        model.now_ms, model.now_ms, [], model.generation
    )
    model.machines["u0"].loses_stops = False
    model.run(1_000)


def cut_worker(model: Model) -> None:
    """Cut the worker off until its lease has lapsed."""
    model.worker_cut.add("u0")
    model.run(2_500)
    model.worker_cut.clear()


def restart_agent(model: Model) -> None:
    """Kill the agent, and start it again after the worker's lease has lapsed."""
    model.kill("u0")
    model.run(2_500)
    model.start_agent("u0")


def cut_agent(model: Model) -> None:
    """Cut the agent off until its runs are given up."""
    model.cut_link("e0", "u0")
    model.run(6_000)
    model.heal_link("e0", "u0")


WAYS: dict[str, Callable[[Model], None]] = {
    "cancelled": cancel,
    "cancelled, and the shard is lost": cancel_and_lose_shard,
    "worker cut off": cut_worker,
    "worker crashes": lambda model: model.machines["u0"].crash(model.now_ms),
    "agent restarts": restart_agent,
    "agent cut off": cut_agent,
    **{
        how: lambda model, how=how: end_probe(model, how)
        for how in ("done", "failed", "stopped", "lapsed", "broken", "alone")
    },
}


# Only stored jobs are cancelled by their callers.
CASES = [(way, False) for way in WAYS]
CASES += [(way, True) for way in WAYS if not way.startswith("cancelled")]


@pytest.mark.parametrize(("way", "volatile"), CASES)
def test_a_probe_is_over_however_its_run_ends(way: str, volatile: bool) -> None:
    """review/7: workers got no task for good after a probe of them was stopped."""
    model = model_with_probe(volatile=volatile)
    # Further runs of the probe's task are short.
    model.machines["u0"].run_ms = 100
    WAYS[way](model)
    assert gets_next_task(model)
    assert model.overlapping() == []


@pytest.mark.parametrize("how", ["absent", "lost", "stopped", "lapsed", "broken"])
def test_a_probe_is_over_if_the_agent_tells_its_end_without_a_number(how: str) -> None:
    """Such ends are inferred by the agent."""
    model = model_with_probe()
    model.machines["u0"].running.clear()
    core = model.owners["e0"].core
    ends = Ends([EndedRun(0, PROBE_TASK, 1, how)], 1)
    core.handle_agent_message(model.now_ms, "u0", ends)
    model.machines["u0"].run_ms = 100
    assert gets_next_task(model)


def test_a_probe_is_over_if_its_run_was_not_started() -> None:
    """An order that the agent refuses is no probe."""
    model = model_with_probe()
    model.machines["u0"].running.clear()
    core = model.owners["e0"].core
    notice = NotStarted(PROBE_TASK, 1, "no room", 0)
    core.handle_agent_message(model.now_ms, "u0", notice)
    model.machines["u0"].run_ms = 100
    assert gets_next_task(model)


def test_no_task_is_sent_beside_a_probe() -> None:
    """A worker that fails all runs would get several tasks at once."""
    model = model_with_probe()
    assert not gets_next_task(model)
