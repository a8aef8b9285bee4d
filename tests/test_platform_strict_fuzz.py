"""Guards against ends that agents infer although the run goes on at the worker."""

from __future__ import annotations

import pytest

from scenarios.strict_fuzz import Fuzz

SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_between_agents_and_workers_end_no_run_that_goes_on(seed: int) -> None:
    """Such a run is started elsewhere, and the task runs twice at a time."""
    fuzz = Fuzz(seed)
    assert fuzz.run() == [], "\n".join(fuzz.actions)
    assert fuzz.outcomes["state"]
