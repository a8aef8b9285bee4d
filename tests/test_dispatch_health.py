"""Guards against tasks for failing upstreams, and limits that exclude good ones."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings, strategies as st

from catkincross.messages import TaskStatus
from catkincross.policies._concurrency import ConcurrencyLimit
from catkincross.policies._ejection import EjectionState, EjectionTracker
from catkincross.policies._ramp import next_step_ms, ramp_slots
from catkincross.settings._settings import ConcurrencySettings, EjectionSettings
from scenarios.loads import answer, cluster, declare, submit


@settings(derandomize=True)
@given(
    ends=st.lists(
        st.tuples(st.integers(0, 6), st.integers(0, 20), st.booleans()), max_size=300
    )
)
def test_at_most_a_third_of_the_upstreams_is_ejected(ends: list) -> None:
    # Guards against a wave of failures that ejects all upstreams of a service.
    ejections = EjectionTracker(EjectionSettings())
    for number in range(7):
        ejections.record(f"u{number}")
    for now_ms, (upstream, job, failed) in enumerate(ends):
        name = f"u{upstream}"
        ejections.begin_probe(name, now_ms * 100)
        ejections.observe(name, b"%d" % job, failed=failed, now_ms=now_ms * 100)
        out = [r for r in ejections.records.values() if r.state != EjectionState.GOOD]
        assert len(out) <= 2
    total = sum(record.failure_rate for record in ejections.records.values())
    assert abs(total - ejections.rate_sum) < 1e-6


def test_a_third_is_the_bound_for_a_wave_of_failures() -> None:
    # Guards against a wrong bound on ejections, which the random results of the test
    # above may never reach.
    ejections = EjectionTracker(EjectionSettings(excess=0.0))
    for number in range(9):
        ejections.record(f"u{number}")
    for number in range(5):
        for job in range(30):
            ejections.observe(f"u{number}", b"%d" % job, failed=True, now_ms=job)
    assert ejections.restricted == {"u0", "u1", "u2"}


def test_one_job_that_fails_on_one_upstream_does_not_eject_it() -> None:
    # Guards against the ejection of an upstream because of a single faulty job.
    ejections = EjectionTracker(EjectionSettings())
    for number in range(6):
        ejections.record(f"u{number}")
    for now_ms in range(20):
        assert not ejections.observe("u0", b"k", failed=True, now_ms=now_ms)


def test_one_job_that_fails_everywhere_ejects_nobody() -> None:
    # Guards against a faulty job that ejects the upstreams of all other jobs.
    ejections = EjectionTracker(EjectionSettings())
    for number in range(6):
        ejections.record(f"u{number}")
    for round_ in range(20):
        for number in range(6):
            assert not ejections.observe(f"u{number}", b"k", failed=True, now_ms=round_)


def test_an_ejected_upstream_comes_back_by_probes() -> None:
    # Guards against an upstream that stays ejected after it has recovered.
    ejections = EjectionTracker(EjectionSettings(eject_ms=100))
    for number in range(3):
        ejections.record(f"u{number}")
    jobs = iter(range(100))
    while not ejections.observe("u0", b"%d" % next(jobs), failed=True, now_ms=0):
        pass
    ejections.begin_probe("u0", 99)
    assert ejections.record("u0").state is EjectionState.EJECTED
    ejections.begin_probe("u0", 100)
    assert [ejections.observe("u0", b"", failed=False, now_ms=101) for _ in "123"] == [
        False,
        False,
        True,
    ]
    assert ejections.record("u0").state is EjectionState.GOOD


def test_an_upstream_that_fails_everything_gets_little_work() -> None:
    # Guards against an upstream that attracts the most tasks because it fails fast.
    driver = cluster(agents=9, entries=1)
    driver.outcome = lambda agent, start: (
        TaskStatus.FAILED if agent == "agent/u4" else TaskStatus.OK
    )
    driver.run_ms = lambda agent, start: 5 if agent == "agent/u4" else 50
    for number in range(100):
        submit(driver, f"j{number}", 20)
        driver.run(50)
    counts = Counter(start.agent for start in driver.starts)
    assert counts["agent/u4"] < 15, counts


@settings(derandomize=True)
@given(slots=st.integers(1, 100), now_ms=st.integers(0, 6_000))
def test_the_share_of_a_restored_upstream_only_grows(slots: int, now_ms: int) -> None:
    # Guards against a ramp that ends below all slots, or that schedules no next step.
    usable = ramp_slots(slots, 0, now_ms, 5_000)
    assert 1 <= usable <= slots
    due_ms = next_step_ms(0, now_ms, 5_000)
    assert (due_ms is None) == (now_ms >= 5_000)
    if due_ms is not None:
        assert due_ms > now_ms
        assert usable <= ramp_slots(slots, 0, due_ms, 5_000)
    else:
        assert usable == slots


def test_a_restored_data_centre_takes_work_gradually_and_then_fully() -> None:
    # Guards against a burst of tasks to upstreams that were restored just before.
    driver = cluster(agents=2, entries=2)
    declare(driver, "datacentres", "stirling", {"drain": True})
    driver.run_ms = lambda agent, start: 100
    requests = [submit(driver, f"j{number}", 400) for number in range(4)]
    driver.run(1_000)
    assert {start.agent for start in driver.starts} == {"agent/u1"}
    declare(driver, "datacentres", "stirling", {"drain": False}, generation=1)
    restored_ms = driver.now_ms
    assert all(answer(driver, request).state == "complete" for request in requests)
    starts = [s.at_ms - restored_ms for s in driver.starts if s.agent == "agent/u2"]
    early = sum(at_ms < 1_000 for at_ms in starts)
    late = sum(6_000 <= at_ms < 7_000 for at_ms in starts)
    assert 0 < early < 40 and late >= 70, (early, late)


def test_the_limit_falls_under_overload_and_rises_again() -> None:
    # Guards against the use of all slots of an upstream that slows down under load.
    limit = ConcurrencyLimit(ConcurrencySettings(), 8.0)

    def run(factor: float, count: int) -> None:
        for _ in range(count):
            limit.observe(100, 100 * factor, int(limit.limit), 8)

    run(1.0, 64)
    assert limit.limit == 8
    run(4.0, 64)
    assert limit.limit < 5
    run(1.0, 200)
    assert limit.limit == 8


def test_the_distance_to_each_data_centre_is_learned() -> None:
    # Guards against short tasks at distant upstreams while near ones are free.
    driver = cluster(agents=6, entries=1)
    usual, far = driver.route, {"agent/u2", "agent/u5"}

    def route(sender: str, to: str, message: object) -> list[int]:
        return [8] if {sender, to} & far else usual(sender, to, message)

    driver.route = route
    for number in range(60):
        submit(driver, f"w{number}", 6)
        driver.run(60)
    driver.run(1_000)
    before = len(driver.starts)
    driver.run_ms = lambda agent, start: 20
    for number in range(50):
        submit(driver, f"j{number}", 2)
        driver.run(50)
    agents = {start.agent for start in driver.starts[before:]}
    assert agents.isdisjoint(far), agents
