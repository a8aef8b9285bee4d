"""Renewals that are carried out late, with a lease that counts from their arrival."""

from __future__ import annotations

from scenarios.platform_model import SETTLE_MS, job
from scenarios.strict_model import PROMPT, Fate, StrictModel

JOB = "5c0e7a21d94b36f8"
RUN_MS = 5_000
FROZEN_MS = 4_000
# Delays of three renewals; each arrives before the lease of the one before ends.
LATE_MS = (2_240, 2_400, 2_500)
# Renewals between them that are carried out at once.
PROMPT_RENEWALS = 2


def test_runs_of_an_agent_that_stands_still_end_before_they_are_given_up() -> None:
    """Late renewals kept them going when the tasks had been started elsewhere."""
    model = StrictModel(entries=2, agents=3)
    for machine in model.machines.values():
        machine.run_ms = RUN_MS
    model.run(SETTLE_MS)
    spec = job(JOB, count=6, volatile=True)
    model.submit("post", spec, "e0", timeout_ms=12_000)
    model.run(50)
    assert all(machine.active for machine in model.machines.values())
    for late_ms in LATE_MS:
        late = Fate(late_ms, None, grant_moves=True)
        model.fates["u0", "/hold"] += [late, *[PROMPT] * PROMPT_RENEWALS]
    model.run(1_950)
    model.workers["u0"].frozen_until_ms = model.now_ms + FROZEN_MS
    model.run(12_000)
    assert model.overlapping() == []
