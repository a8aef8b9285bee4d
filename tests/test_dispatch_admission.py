"""Admission control and fair queues: quotas, deadlines, overload, team shares."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st

from catkincross.ids import hash_key
from catkincross.messages import Reason, TaskSpec, TeamUsage, Truth
from catkincross.policies._fair_queue import FairQueue, QueueTicket
from catkincross.policies._quotas import TeamUsageTable
from catkincross.settings import AdmissionSettings
from scenarios.driver import Driver
from scenarios.loads import answer, cluster, declare, submit


@settings(derandomize=True)
@given(
    weights=st.lists(st.integers(1, 5), min_size=2, max_size=4),
    costs=st.lists(st.integers(1, 50), min_size=4, max_size=4),
)
def test_busy_teams_get_work_in_proportion_to_their_weights(
    weights: list[int], costs: list[int]
) -> None:
    # Shares by number of tasks would favour teams with long tasks.
    queue: FairQueue[tuple[int, int]] = FairQueue()
    for team, weight in enumerate(weights):
        for number in range(600):
            ticket = QueueTicket(str(team), float(weight), float(costs[team]))
            queue.push((team, number), ticket)
    work: Counter[int] = Counter()
    while sum(work.values()) < 400:
        (team, _), ticket = queue.pop_next()
        work[team] += ticket.cost
    for team, weight in enumerate(weights):
        fair = sum(work.values()) * weight / sum(weights)
        assert abs(work[team] - fair) <= 2 * max(costs) * len(weights)


@settings(derandomize=True)
@given(
    actions=st.lists(
        st.tuples(st.sampled_from("put take remove back".split()), st.integers(0, 9)),
        max_size=80,
    )
)
def test_a_queue_neither_loses_nor_repeats_an_item(actions: list) -> None:
    # A lost item would be a task that waits for ever, a repeated one a second run.
    queue: FairQueue[int] = FairQueue(batch_share=0.3, burst_cost=5)
    expected: set[int] = set()
    for action, item in actions:
        ticket = QueueTicket(f"t{item % 3}", 1.0, 1.0 + item, item % 2 == 0)
        if action == "put":
            queue.push(item, ticket)
            expected.add(item)
        elif action == "remove":
            assert queue.remove(item) == (item in expected)
            expected.discard(item)
        else:
            taken = queue.pop_next()
            assert (taken is None) == (not expected)
            if taken is not None and action == "back":
                queue.put_back(*taken)
            elif taken is not None:
                expected.remove(taken[0])
    assert set(queue) == expected and len(queue) == len(expected)


def test_batch_work_keeps_its_share_behind_interactive_work() -> None:
    # Steady interactive load must not starve batch jobs such as rebuilds.
    queue: FairQueue[int] = FairQueue(batch_share=0.1)
    for number in range(200):
        queue.push(number, QueueTicket("a", interactive=number < 150))
    batch = sum(queue.pop_next()[0] >= 150 for _ in range(100))
    assert batch == pytest.approx(10, abs=1)


def test_use_at_another_entry_counts_until_that_entry_reports_none() -> None:
    # Otherwise a team's limit would apply to each entry instead of to all together.
    table = TeamUsageTable()
    table.update_peer_usage("e2", {"a": TeamUsage("a", 5, 10)})
    started = table.update_peer_usage("e2", {"a": TeamUsage("a", 3, 14)})
    assert (table.running("a"), started) == (3, {"a": 4})
    table.update_peer_usage("e2", {})
    assert table.running("a") == 0


def test_a_team_never_runs_more_than_its_limit() -> None:
    # Guards against a quota that only delays tasks instead of capping them, and
    # against a team at its limit that blocks the tasks of other teams.
    driver = cluster(agents=6)
    declare(driver, "teams", "small", {"limits": {"running": 2}})
    limited = submit(driver, "j", 10, team="small")
    other = submit(driver, "j", 40, team="big")
    assert answer(driver, other, limit_ms=500).state == "complete"
    assert answer(driver, limited).state == "complete"
    key_hash = hash_key("small/j")
    events = sorted(
        (event.at_ms + end, 1 - 2 * bool(end))
        for event in driver.starts
        if event.start.task.key_hash == key_hash
        for end in (0, 50)
    )
    assert len(events) == 20
    running = peak = 0
    for _, change in events:
        running += change
        peak = max(peak, running)
    assert peak <= 2


def test_job_that_cannot_meet_its_deadline_is_rejected_before_any_start() -> None:
    # Otherwise slots would run tasks whose answer comes too late. The key stays free.
    driver = cluster()
    spec = TaskSpec(run_ms=5_000)
    ended = answer(driver, submit(driver, "late", [spec], deadline_ms=1_000))
    assert (ended.reason, ended.truth) == (Reason.DEADLINE_TOO_SHORT, Truth.NOT_RUN)
    assert not driver.starts
    retried = submit(driver, "late", [spec], deadline_ms=20_000)
    assert answer(driver, retried).state == "complete"


@pytest.mark.parametrize("limit", [{"max_open_tasks": 50}, {"max_open_bytes": 50}])
def test_full_owner_rejects_jobs_and_admits_them_after_others_ended(
    limit: dict[str, int],
) -> None:
    # Guards against unbounded queues and against counters that are not released.
    driver = Driver(seed=1)
    driver.add_entry("e1", "perth", admission=AdmissionSettings(**limit))
    driver.run(1_000)
    driver.add_agent("u1", "perth")
    driver.run(2_000)
    first = submit(driver, "one", 40)
    rejected = answer(driver, submit(driver, "two", 40))
    assert (rejected.reason, rejected.truth) == (Reason.OVERLOADED, Truth.NOT_RUN)
    assert answer(driver, first).state == "complete"
    assert answer(driver, submit(driver, "two", 40)).state == "complete"
