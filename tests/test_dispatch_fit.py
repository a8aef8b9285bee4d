"""Guards against overcommitted memory, and against jobs that can never run."""

from __future__ import annotations

from collections import Counter

import pytest

from catkincross.messages import Reason, TaskSpec, Truth
from catkincross.placement._fit import MemoryEstimates
from scenarios.loads import answer, cluster, submit


@pytest.mark.parametrize(
    ("spec", "service", "reason"),
    [
        (TaskSpec(memory_mb=9_000), "s", Reason.FITS_NOWHERE),
        (TaskSpec(accelerators=1), "s", Reason.FITS_NOWHERE),
        (TaskSpec(), "unknown", Reason.NO_UPSTREAM),
    ],
)
def test_a_job_that_can_never_run_fails_soon_and_holds_up_nobody(
    spec: TaskSpec, service: str, reason: Reason
) -> None:
    # Guards against an impossible job that waits until its deadline and blocks others.
    driver = cluster(memory_mb=8_000)
    impossible = submit(driver, "never", [spec] * 40, service=service)
    other = submit(driver, "other", 40)
    assert answer(driver, other, limit_ms=2_000).state == "complete"
    ended = answer(driver, impossible, limit_ms=3_000)
    assert (ended.reason, ended.truth) == (reason, Truth.NOT_RUN)


def test_running_tasks_never_exceed_the_memory_of_an_upstream() -> None:
    # Guards against starts on free slots that exceed the memory of the upstream.
    driver = cluster(memory_mb=8_000)
    running: Counter[str] = Counter()
    most: Counter[str] = Counter()

    def run_ms(agent: str, start: object) -> int:
        running[agent] += 1
        most[agent] = max(most[agent], running[agent])
        driver.at(driver.now_ms + 100, lambda: running.subtract([agent]))
        return 100

    driver.run_ms = run_ms
    request = submit(driver, "large", [TaskSpec(memory_mb=3_000)] * 24)
    assert answer(driver, request).state == "complete"
    assert set(most.values()) == {2}


def test_memory_beyond_the_declarations_is_counted() -> None:
    # Guards against placement by declared memory that is below what tasks use.
    estimates = MemoryEstimates()
    estimates.observe("s", "u1", 1, 500, 0)
    estimates.observe("s", "u1", 2, 4_500, 2_000)
    assert estimates.used_mb("u1", 2_000) == 4_500
    assert estimates.need_mb("s", TaskSpec(memory_mb=1_000), 8_000) > 1_000
    for at_ms in range(3, 200):
        estimates.observe("s", "u1", at_ms, 100_000, 2_000)
    assert estimates.need_mb("s", TaskSpec(memory_mb=3_000), 8_000) == 8_000
