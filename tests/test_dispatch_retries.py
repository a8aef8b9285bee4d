"""Guards against duplicate runs that are not allowed, and against retry storms."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from catkincross.messages import TaskStatus, Truth
from catkincross.policies._hedges import Quantile
from catkincross.policies._retry_budget import RetryBudget, backoff_ms
from scenarios.loads import answer, cluster, submit


@settings(derandomize=True)
@given(actions=st.lists(st.booleans(), max_size=500))
def test_extra_attempts_stay_within_their_share(actions: list[bool]) -> None:
    # Guards against retries that multiply an overload.
    budget = RetryBudget(0.1)
    spent = sum(budget.spend() for success in actions if not success or budget.earn())
    assert spent <= 5 + 0.1 * sum(actions) + 1e-6


def test_the_backoff_is_bounded_and_repeatable() -> None:
    # Guards against a backoff that differs between replays, or grows without bound.
    waits = [backoff_ms(n, 10, 1_000, random.Random(7)) for n in range(1, 40)]
    assert waits == [backoff_ms(n, 10, 1_000, random.Random(7)) for n in range(1, 40)]
    assert max(waits) <= 1_001 and waits[0] <= 11


def test_the_percentile_is_learned() -> None:
    # Guards against an estimate so wrong that most requests are hedged, or none.
    rng, quantile = random.Random(3), Quantile(0.95)
    for _ in range(3_000):
        quantile.add(rng.uniform(0, 100))
    assert quantile.value == pytest.approx(95, abs=8)


@pytest.mark.parametrize("idempotent", [True, False])
def test_only_an_idempotent_request_is_tried_again_after_a_failure(
    idempotent: bool,
) -> None:
    # Guards against a second run of a request that must run at most once.
    driver = cluster()
    failed: set[str] = set()

    def outcome(agent: str, start: object) -> TaskStatus:
        if not failed:
            failed.add(agent)
            return TaskStatus.FAILED
        return TaskStatus.OK

    driver.outcome = outcome
    ended = answer(driver, submit(driver, "r", idempotent=idempotent))
    assert ended.state == ("complete" if idempotent else "failed")
    assert len(driver.starts) == (2 if idempotent else 1)
    assert ended.truth is (Truth.NONE if idempotent else Truth.FAILED)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("entries", [1, 3])
def test_a_slow_request_is_hedged_and_the_first_answer_wins(
    idempotent: bool, entries: int
) -> None:
    # Guards against one stalled upstream that sets the tail latency, and against a
    # second start of a request that may start only once.
    driver = cluster(agents=6, entries=entries)
    driver.run_ms = lambda agent, start: 20
    for number in range(120):
        answer(driver, submit(driver, f"w{number}", idempotent=idempotent))
    before = len(driver.starts)
    stalled: list[str] = []

    def run_ms(agent: str, start: object) -> int:
        stalled.append(agent)
        return 20_000 if len(stalled) == 1 else 20

    driver.run_ms = run_ms
    request = submit(driver, "slow", idempotent=idempotent)
    if idempotent:
        assert answer(driver, request, limit_ms=500).state == "complete"
        assert len(set(stalled)) == 2
        driver.run(100)
        # The losing attempt has released its slot.
        assert not driver.nodes[stalled[0]].core.state.running
    else:
        driver.run(5_000)
        assert len(driver.starts) == before + 1


def test_hedges_stay_within_their_budget() -> None:
    # Guards against hedges that double the load of a slow service.
    driver = cluster(agents=6)
    driver.run_ms = lambda agent, start: 20
    for number in range(40):
        answer(driver, submit(driver, f"w{number}", idempotent=True))
    driver.run_ms = lambda agent, start: 400
    requests = [submit(driver, f"s{number}", idempotent=True) for number in range(200)]
    assert all(answer(driver, request).state == "complete" for request in requests)
    counts = Counter(start.start.task for start in driver.starts)
    hedges = Counter(
        process for _, process, event in driver.events if event.name == "request hedged"
    )
    owned = Counter(
        process for _, process, event in driver.events if event.name == "job ended"
    )
    assert sum(counts.values()) - len(counts) <= hedges.total()
    # Each owner has a budget of its own.
    assert owned.total() == 240
    assert all(hedges[owner] <= 5 + 0.05 * owned[owner] for owner in owned)
