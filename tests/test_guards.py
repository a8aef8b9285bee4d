"""Guards against safety checks that no scenario needs, or that no longer work."""

from __future__ import annotations

import pytest

from scenarios.guard_runs import GUARD_RUNS, run_guard


@pytest.mark.parametrize("guard", GUARD_RUNS)
def test_scenario_holds_with_the_check_and_fails_without_it(guard: str) -> None:
    assert run_guard(guard, active=True) == []
    assert run_guard(guard, active=False) != []
