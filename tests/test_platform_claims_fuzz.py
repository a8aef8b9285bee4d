"""Guards against jobs at two entries, with the daemons' own claims and links."""

from __future__ import annotations

import pytest

from catkincross.daemons._job_claimer import JobClaimer
from catkincross.dispatch import NoHolder
from scenarios.claims_fuzz import plan_of, play_plan, slow_plan_of

SEEDS = range(6)
# Seed that fails if entries begin jobs without a claim.
UNCLAIMED_SEED = 1


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_when_channels_fall_silent_and_entries_are_late(
    seed: int,
) -> None:
    """Client accounts send their jobs again at any entry."""
    plan = plan_of(seed)
    assert play_plan(plan) == [], "\n".join(map(str, plan.actions))


def test_the_model_finds_jobs_that_begin_without_a_claim(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A model that finds no fault in any code shows nothing."""

    async def claim(_: JobClaimer, __: str) -> NoHolder:
        return NoHolder()

    monkeypatch.setattr(JobClaimer, "claim", claim)
    assert play_plan(slow_plan_of(UNCLAIMED_SEED)) != []
