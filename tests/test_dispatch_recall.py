"""Guards against tasks that stay at a home or an upstream that does not run them."""

from __future__ import annotations

from collections import Counter

from catkincross.effects import JobCancelRequested
from catkincross.messages import CancelTasks, Reason, TaskResults, Truth
from scenarios.driver import Driver
from scenarios.loads import answer, cluster, declare, submit


def no_task_started_twice(driver: Driver) -> bool:
    """Return whether no task was started twice."""
    counts = Counter(start.start.task for start in driver.starts)
    return set(counts.values()) == {1}


def test_a_queue_moves_to_a_home_with_free_slots() -> None:
    # Guards against tasks that are queued at one home while another has free slots.
    driver = cluster(agents=2, entries=2)
    slow = {"agent/u2"}
    driver.run_ms = lambda agent, start: 2_000 if agent in slow else 100
    request = submit(driver, "j", 24)
    assert answer(driver, request, limit_ms=2_300).state == "complete"
    recalled = [
        result
        for *_, message in driver.sent
        if isinstance(message, TaskResults)
        for result in message.results
        if result.reason is Reason.RECALLED
    ]
    assert 0 < len(recalled) <= 4
    assert no_task_started_twice(driver)


def test_a_frozen_agent_keeps_no_work_that_it_has_not_started() -> None:
    # Guards against jobs that wait for a frozen agent, and against duplicate starts.
    driver = cluster(agents=3, entries=1)
    driver.pause("agent/u1")
    request = submit(driver, "j", 60)
    driver.run(4_000)
    sent = len([s for s in driver.starts if s.agent == "agent/u1"])
    assert sent == 0
    # The home asks the agent to revoke them, so that they can be placed elsewhere.
    assert any(
        isinstance(message, CancelTasks) and message.revoke
        for _, _, to, message in driver.sent
        if to == "agent/u1"
    )
    driver.resume("agent/u1")
    assert answer(driver, request).state == "complete"
    assert no_task_started_twice(driver)


def test_a_hung_upstream_gets_no_new_work() -> None:
    # Guards against an upstream that accepts one task after the other and ends none.
    # Random placement is used, since it does not avoid an upstream by its load.
    driver = cluster(agents=3, entries=1, policy="random", slots=64)
    driver.run_ms = lambda agent, start: 60_000 if agent == "agent/u1" else 50
    for number in range(200):
        submit(driver, f"j{number}")
        driver.run(100)
    hung = sum(start.agent == "agent/u1" for start in driver.starts)
    assert 0 < hung <= 15
    assert len(driver.answers) == 200 - hung


def test_work_that_waits_in_a_drained_data_centre_moves_at_once() -> None:
    # Guards against queued tasks that wait for the time limit of the queue.
    driver = cluster(agents=2, entries=2)
    driver.run_ms = lambda agent, start: 300
    request = submit(driver, "j", 20)
    driver.run(5)
    declare(driver, "datacentres", "stirling", {"drain": True})
    drained_ms = driver.now_ms
    assert answer(driver, request, limit_ms=1_500).state == "complete"
    returned = [
        result.reason
        for _, sender, _, message in driver.sent
        if sender == "entry/e2" and isinstance(message, TaskResults)
        for result in message.results
        if result.not_run
    ]
    assert Reason.NO_SLOT in returned
    late = [s for s in driver.starts if s.agent == "agent/u2" and s.at_ms > drained_ms]
    assert not late and no_task_started_twice(driver)


def test_a_wave_of_cancellations_is_batched_and_delays_nobody() -> None:
    # Guards against one message for each cancelled task, and against a blocked queue.
    driver = cluster(agents=6, entries=3)
    driver.run_ms = lambda agent, start: 400
    for number in range(300):
        submit(driver, f"j{number}", 10, entry=f"e{number % 3 + 1}")
    driver.run(100)
    before = len(driver.sent)
    for number in range(300):
        entry = driver.nodes[f"entry/e{number % 3 + 1}"]
        event = JobCancelRequested(10_000 + number, f"team/j{number}")
        driver.deliver(entry, event)
    driver.run(20)
    cancels = [
        (sender, to)
        for _, sender, to, message in driver.sent[before:]
        if isinstance(message, CancelTasks) and to.startswith("agent/")
    ]
    assert cancels and max(Counter(cancels).values()) <= 3
    started = len(driver.starts)
    assert answer(driver, submit(driver, "next", 8), limit_ms=1_000).state == "complete"
    assert len(driver.starts) == started + 8
    cancelled = [driver.answers[10_000 + number] for number in range(300)]
    assert Truth.NOT_RUN in {ended.truth for ended in cancelled}
