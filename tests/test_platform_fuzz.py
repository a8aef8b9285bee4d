"""Guards against faults in an order that no scenario lists."""

from __future__ import annotations

import pytest

from scenarios.platform_fuzz import play

# Seeds that failed, each with its cause.
FAILED_SEEDS = {
    5: "a start between a worker's crash and the agent's next look was taken for lost",
    6: "the same, with two workers",
    9: "an order that crossed a repeated report was taken for absent",
    13: "a start after a crash, as in seed 5",
    17: "an entry cut from the store kept a shard that another had owned since",
    23: "as seed 17",
    308: "the model lost the answers of calls that came during a freeze",
    344: "as seed 308",
}
SEEDS = sorted({*FAILED_SEEDS, *range(100, 124)})


@pytest.mark.parametrize("seed", SEEDS)
def test_random_faults_break_no_rule(seed: int) -> None:
    """No task runs twice at a time, none after its job, and every job ends."""
    outcome = play(seed)
    assert outcome.problems == [], "\n".join(outcome.actions)
