"""Guards against orders of faults that no scenario names."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings

from scenarios.random_faults import FaultMachine

TestRandomFaults = FaultMachine.TestCase
TestRandomFaults.settings = settings(
    max_examples=40,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
