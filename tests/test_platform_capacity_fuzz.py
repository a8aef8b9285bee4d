"""Guards against starts over a capacity that changes while other faults happen."""

from __future__ import annotations

import pytest

from scenarios.capacity_fuzz import play_capacity

# Seeds that fail if runs are started by old heartbeats.
OLD_HEARTBEAT_SEEDS = {3, 13, 52}
SEEDS = sorted(OLD_HEARTBEAT_SEEDS | set(range(100, 112)))


@pytest.mark.parametrize("seed", SEEDS)
def test_random_changes_of_capacity_violate_no_invariant(seed: int) -> None:
    """No start may exceed its worker's capacity, and each job must end."""
    outcome = play_capacity(seed)
    assert outcome.problems == [], "\n".join(outcome.actions)
