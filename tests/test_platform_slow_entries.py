"""Volatile jobs at entries that take longer than the limit to answer a claim."""

from __future__ import annotations

import pytest

from catkincross.peers import Answer
from scenarios.claims_fuzz import NAMES, play_plan
from scenarios.claims_model import ClaimsModel
from scenarios.platform_model import SETTLE_MS, job
from scenarios.volatile_fuzz import Action, Plan
from scenarios.volatile_requests import Request

JOB = "5c0e7a21d94b36f8"
ALL = tuple(NAMES)


def test_a_job_of_a_client_that_left_does_not_run_twice_at_entries_that_are_late() -> (
    None
):
    """The claims were answered 1,000 ms too late, and the holder was named.

    The client account sent the job again 1,300 ms after its connection had broken.
    """
    actions = (
        Action(50, "slow_entries", (ALL, 600, 12_000)),
        Action(2_163, "submit", ("00000000000006f1", 1, "e2")),
        Action(2_472, "submit", ("0000000000000614", 3, "e0")),
        Action(3_107, "submit", ("0000000000000b4a", 3, "e1")),
        Action(3_765, "cut_clients", ("e2", 3_000)),
        Action(4_026, "stall_entries", (ALL, 68, 3)),
    )
    assert play_plan(Plan(157, (300,) * 4, actions)) == []


# How long a client account waits, in milliseconds.
LIMIT_MS = 1_500


@pytest.mark.parametrize("lag_ms", [50, 250, 400, 600])
def test_a_job_that_is_sent_again_at_once_does_not_run_twice_at_entries_that_are_late(
    lag_ms: int,
) -> None:
    """Without an answer in time for 2,250 ms, each job began without a claim."""
    actions = (
        Action(1, "slow_entries", (ALL, lag_ms, 12_000)),
        *(
            Action(2, "submit", (f"{n + 1:016x}", 1, name))
            for n, name in enumerate(ALL)
        ),
        Action(3_000, "submit", (JOB, 2, "e0")),
        Action(3_150, "cut_clients", ("e0", 500)),
    )
    for seed in range(4):
        plan = Plan(seed, (800,) * 4, actions, resend_ms=50, timeout_ms=1_500)
        assert play_plan(plan) == []


@pytest.mark.parametrize("lag_ms", [120, 250])
def test_jobs_complete_although_all_entries_answer_claims_late(lag_ms: int) -> None:
    """Answers were dropped since the entries were heard, and each job got 504."""
    model = ClaimsModel(entries=3, agents=6)
    for machine in model.machines.values():
        machine.run_ms = 20
    model.run(SETTLE_MS)
    for daemon in model.nodes.values():
        daemon.lag_ms = lag_ms
    answers: list[Answer] = []
    for number in range(20):
        spec = job(f"{number:016x}", count=1, volatile=True)
        deadline_ms = model.now_ms + LIMIT_MS
        request = Request(spec.id, spec, deadline_ms, answers.append)
        model.receive(f"e{number % 2}", request)
        model.run(50)
    model.run(2 * LIMIT_MS)
    model.close()
    assert [answer.outcome for answer in answers] == ["state"] * 20
