"""Calls to a worker that has been started again under the same identity."""

from __future__ import annotations

import pytest

from scenarios.platform_model import SETTLE_MS, job
from scenarios.strict_model import Fate, StrictModel

EARLIER = "5c0e7a21d94b36f8"
JOB = "9a0e7a21d94b36f8"
RUN_MS = 400


def model_with_acknowledged_ends(*, keeps_ack: bool = False) -> StrictModel:
    """Return a model in which the agent has acknowledged four ends of the worker."""
    model = StrictModel(entries=2, agents=1)
    machine = model.machines["u0"]
    machine.keeps_ack = keeps_ack
    model.run(SETTLE_MS)
    spec = job(EARLIER, count=4)
    model.submit("first", spec, model.owner_of(spec))
    model.run(1_000)
    assert model.count("done", EARLIER) == 4
    machine.run_ms = RUN_MS
    return model


@pytest.mark.parametrize("keeps_ack", [False, True])
def test_ends_are_not_acknowledged_by_a_renewal_for_an_earlier_process(
    keeps_ack: bool,
) -> None:
    """The ends were forgotten before the agent read them, and the tasks ran again.

    The first renewal that the new process gets acknowledges ends of the earlier one.
    """
    model = model_with_acknowledged_ends(keeps_ack=keeps_ack)
    model.replace("u0", 300)
    model.run(1_500)
    spec = job(JOB, count=4)
    model.submit("second", spec, model.owner_of(spec))
    model.run(5_000)
    assert model.count("done", JOB) == 4
    assert model.count("start", JOB) == 4


@pytest.mark.parametrize("late_ms", [500, 1_500, 3_000])
def test_a_late_start_order_begins_no_run_on_the_next_process(late_ms: int) -> None:
    """The next process has seen no fencing token, and its clock begins anew."""
    model = model_with_acknowledged_ends()
    model.fates["u0", "/run-start"].append(Fate(late_ms, None))
    spec = job(JOB, count=1, volatile=True)
    model.submit("second", spec, "e0", timeout_ms=9_000)
    model.run(20)
    model.replace("u0", 300)
    model.run(6_000)
    assert model.overlapping() == []
    assert model.count("start", JOB) == 1


def test_a_late_start_order_of_an_earlier_agent_is_not_carried_out() -> None:
    """The agent that ordered the run has ended, and the task has been queued again."""
    model = model_with_acknowledged_ends()
    model.fates["u0", "/run-start"].append(Fate(2_000, None))
    spec = job(JOB, count=1, volatile=True)
    model.submit("second", spec, "e0", timeout_ms=9_000)
    model.run(20)
    model.kill("u0")
    model.run(250)
    model.start_agent("u0")
    model.run(6_000)
    assert model.overlapping() == []
    assert model.count("start", JOB) == 1
