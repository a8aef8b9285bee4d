"""Tests of ejected workers, which get one task at a time until a run succeeds."""

from __future__ import annotations

import pytest

from catkincross.peers import EndedRun, Ends, NotStarted
from scenarios.platform_model import Model, job
from scenarios.run_endings import ENDINGS, STORED_ENDINGS, TASK, model_with_probe

NEXT = "a94b36f85c0e7a21"
# After a cut the agent connects again within this time.
RECONNECT_MS = 1_000
# Longer than the further ejections, and than the time after which runs are given up.
RECOVERY_MS = 9_000
ALL_ENDINGS = ENDINGS | STORED_ENDINGS
CASES = [(name, False) for name in ALL_ENDINGS] + [(name, True) for name in ENDINGS]


def gets_next_task(model: Model) -> bool:
    """Whether the worker gets a task of another job."""
    # Further runs of the probe's task are short.
    model.machines["u0"].run_ms = 100
    model.run(RECONNECT_MS)
    model.submit(NEXT, job(NEXT, count=1), "e0")
    model.run(RECOVERY_MS)
    assert model.answers[NEXT].outcome == "accepted"
    return model.count("start", NEXT) > 0


@pytest.mark.parametrize(("ending", "volatile"), CASES)
def test_a_probe_is_over_however_its_run_ends(ending: str, volatile: bool) -> None:
    """review/7: workers got no task for good after a probe of them was stopped."""
    model = model_with_probe(volatile=volatile)
    model.machines["u0"].run_ms = 100
    ALL_ENDINGS[ending](model)
    assert gets_next_task(model)
    assert model.overlapping() == []


@pytest.mark.parametrize("how", ["absent", "lost", "stopped", "lapsed", "not started"])
def test_a_probe_is_over_if_its_agent_infers_the_end(how: str) -> None:
    """Such ends have no number, and some orders are refused."""
    model = model_with_probe()
    model.machines["u0"].running.clear()
    message = Ends([EndedRun(0, TASK, 1, how)], 1)
    if how == "not started":
        message = NotStarted(TASK, 1, "no room", 0)
    model.owners["e0"].core.handle_agent_message(model.now_ms, "u0", message)
    assert gets_next_task(model)


def test_no_task_is_sent_beside_a_probe() -> None:
    """A worker that fails all runs would get several tasks at once."""
    assert not gets_next_task(model_with_probe())
