"""Entries that the store fails while the declarations change, in the model."""

from __future__ import annotations

import pytest

from catkincross.daemons._declarations import DeclarationFollower
from scenarios.claims_fuzz import declared_plan_of, play_plan

SEEDS = range(4)
# Seed that fails if no entry asks another one.
UNASKED_SEED = 8


@pytest.mark.parametrize("seed", SEEDS)
def test_no_entry_answers_by_outdated_declarations(seed: int) -> None:
    """Entries that the store turned away went on with what they had read."""
    plan = declared_plan_of(seed)
    assert play_plan(plan) == [], "\n".join(map(str, plan.actions))


def test_the_model_finds_entries_that_learn_nothing_from_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A model that finds no fault in any code shows nothing."""
    monkeypatch.setattr(DeclarationFollower, "_ask", lambda _: None)
    assert play_plan(declared_plan_of(UNASKED_SEED)) != []
