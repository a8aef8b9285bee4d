"""Entries that the store fails while the declarations change, in the model."""

from __future__ import annotations

import pytest

from catkincross.daemons._declarations import DeclarationFollower
from scenarios.claims_fuzz import declared_plan_of, play_plan
from scenarios.claims_model import ClaimsModel
from scenarios.declared_model import IGNORE, REFUSE

SEEDS = range(4)
# Seed that fails if no entry asks another one.
UNASKED_SEED = 8
CHANGE_MS = 400


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


@pytest.mark.parametrize("mode", [REFUSE, IGNORE])
def test_changes_in_quick_succession_do_not_keep_an_entry_from_being_sure(
    mode: str,
) -> None:
    """It was behind at each exchange, and so denied no queue any more."""
    model = ClaimsModel(entries=3, agents=2)
    model.run(2_000)
    model.declared.turned_away["e0"] = mode
    confirmed = []
    for _ in range(20):
        model.declared.declare_next(model.now_ms)
        model.run(CHANGE_MS)
        confirmed.append(model.nodes["e0"].follower.confirmed)
    model.close()
    assert confirmed == [True] * 20
