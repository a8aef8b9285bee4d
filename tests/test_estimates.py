"""Guards against estimates that trust wrong declarations or drift."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies as st

from catkincross.messages import TaskSpec
from catkincross.policies._estimates import Average, RunTimes, Speeds


def test_a_wrong_declaration_is_corrected() -> None:
    # Guards against estimates that keep a declared run time ten times too short.
    times, spec = RunTimes(0.05, 200), TaskSpec(run_ms=50)
    assert times.expect_ms("s", spec) == 50
    for _ in range(100):
        times.observe("s", spec, 500)
    assert times.expect_ms("s", spec) == pytest.approx(500, rel=0.05)
    assert times.expect_ms("s", TaskSpec(run_ms=5_000)) == 5_000


@settings(derandomize=True)
@given(values=st.lists(st.floats(1, 1_000), min_size=1, max_size=100))
def test_an_average_stays_within_its_observations(values: list[float]) -> None:
    # Guards against means that leave the observed range and negative variances.
    average = Average(values[0])
    for value in values:
        average.add(value, 0.05)
    assert min(values) - 1e-6 <= average.mean <= max(values) + 1e-6
    assert average.variance >= 0


def test_speeds_are_relative_to_the_peers() -> None:
    # Guards against all upstreams looking slow if the declared run times are too short.
    speeds = Speeds(0.05)
    for _ in range(200):
        speeds.observe("s", "fast", 100, 200)
        speeds.observe("s", "slow", 100, 800)
    assert speeds.speed("s", "fast") == pytest.approx(2.0, rel=0.05)
    assert speeds.speed("s", "slow") == pytest.approx(0.5, rel=0.05)
    speeds.forget("s", "slow")
    assert speeds.speed("s", "fast") == pytest.approx(1.0)
