"""Guards against sequences of faults that no scenario covers."""

from __future__ import annotations

import pytest

from scenarios.platform_fuzz import play

# Seeds that have failed, each with the fault that it found.
FAILED_SEEDS = {
    5: "a run started between a worker's crash and the next renewal counted as lost",
    6: "as seed 5, with two workers",
    9: "a start order in flight during a repeated report counted as absent",
    13: "as seed 5",
    17: "an entry cut off from the store kept a shard that another had since owned",
    23: "as seed 17",
    308: "the model lost answers of calls that arrived during a freeze",
    344: "as seed 308",
}
SEEDS = sorted({*FAILED_SEEDS, *range(100, 124)})


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_violate_no_invariant(seed: int) -> None:
    """Runs of a task must not overlap or start after its job, and each job must end."""
    outcome = play(seed)
    assert outcome.problems == [], "\n".join(outcome.actions)
