"""Guards against ends that agents infer although the run goes on at the worker."""

from __future__ import annotations

import pytest

from scenarios.strict_fuzz import FAULTS, IDENTITY_FAULTS, Fuzz

SEEDS = range(1, 7)
CALL_FAULTS = tuple(
    sorted(set(FAULTS) - {"foreign_heartbeat", "late_grants", "wall_clock"})
)


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_between_agents_and_workers_end_no_run_that_goes_on(seed: int) -> None:
    """Such a run is started elsewhere, and the task runs twice at a time."""
    fuzz = Fuzz(seed, CALL_FAULTS)
    assert fuzz.run() == [], "\n".join(fuzz.actions)
    assert fuzz.outcomes["state"]


def test_heartbeats_of_other_processes_end_no_run_that_goes_on() -> None:
    """The agent took its worker for crashed when a heartbeat named another one."""
    problems = [
        problem for seed in SEEDS for problem in Fuzz(seed, IDENTITY_FAULTS).run()
    ]
    assert problems == []
