"""Guards against violations of the invariants under each fault at each step."""

from __future__ import annotations

import pytest

from scenarios.matrix import Step, cells, not_applicable, run_cell

CELLS = [
    pytest.param(step, fault, id=f"{step.name} / {fault}")
    for step, fault in cells()
    if not not_applicable(step, fault)
]


@pytest.mark.parametrize(("step", "fault"), CELLS)
def test_invariants_hold(step: Step, fault: str) -> None:
    assert run_cell(step, fault) == []
