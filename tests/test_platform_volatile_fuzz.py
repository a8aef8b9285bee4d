"""Guards against two runs of a task after two faults within one lease."""

from __future__ import annotations

import pytest

from scenarios.volatile_fuzz import Action, Plan, plan_of, play_plan, shrink

SEEDS = range(16)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_after_faults_within_one_lease(seed: int) -> None:
    """Client accounts send their jobs again while runs of a lost entry may go on."""
    plan = plan_of(seed)
    assert play_plan(plan) == [], "\n".join(map(str, plan.actions))


def test_shrinking_keeps_only_the_actions_that_a_failure_needs() -> None:
    """A trace of many faults shows no cause."""
    actions = tuple(Action(n, "lose_stops", (n,)) for n in range(5))

    def fails(plan: Plan) -> list[str]:
        values = {action.values[0] for action in plan.actions}
        return ["twice"] if {1, 3} <= values else []

    shrunk = shrink(Plan(0, (300,) * 4, actions), fails)
    assert [action.values for action in shrunk.actions] == [(1,), (3,)]
