"""Guards against faults that appear only between real processes.

Examples are sockets of a stopped process, lost connections and process exits.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from itertools import count
from pathlib import Path
from typing import Any

import pytest

from scenarios.processes import LIMIT_S, Cluster, http, wait_until

ENTRIES = ("e1", "e2", "e3")
START_BUDGET_MS = 500
AGENT_SUSPECT_MS = 3_000


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    cluster = Cluster(tmp_path)
    try:
        yield cluster
    finally:
        cluster.close()


def start_three_entries(
    cluster: Cluster, agents: tuple[str, ...] = ("u1", "u2")
) -> None:
    for name in ENTRIES:
        cluster.add_entry(
            name,
            jobs={"start_budget_ms": START_BUDGET_MS},
            membership={"agent_suspect_ms": AGENT_SUSPECT_MS, "suspect_ms": 2_000},
        )
    cluster.ready(*ENTRIES)
    for name in agents:
        cluster.add_agent(name)
    cluster.ready(*agents)


def assert_complete(answer: tuple[int, Any]) -> None:
    status, body = answer
    assert (status, body["state"]) == (200, "complete"), body
    key = body["key"].removeprefix("t/")
    payloads = [result["payload"] for result in body["results"]]
    assert [payload.split(" ")[1] for payload in payloads] == [
        f"{key}/{index}" for index in range(body["tasks"])
    ]


def assert_started_once(cluster: Cluster) -> None:
    assert set(cluster.starts().values()) <= {1}


def count_running(cluster: Cluster, *upstreams: str) -> int:
    return sum(
        http("GET", f"{cluster.processes[f'upstream-{name}'].url}/starts")[1]["running"]
        for name in upstreams
    )


def submit_until_complete(cluster: Cluster, entry: str, prefix: str) -> None:
    """Submit new jobs, with a short deadline each, until one is complete."""

    def complete() -> bool:
        number = next(numbers)
        job = cluster.submit(entry, f"{prefix}-{number}", [20] * 4, deadline_ms=2_000)
        status, body = job.result()
        return status == 200 and body["state"] == "complete"

    numbers = count()
    wait_until(complete, f"a complete job through {entry}")


def test_jobs_at_any_entry_are_answered_in_order_and_run_once(cluster: Cluster) -> None:
    start_three_entries(cluster)
    answers = [
        cluster.submit(entry, f"{entry}-{number}", [30] * 12)
        for entry in ENTRIES
        for number in range(3)
    ]
    for answer in answers:
        assert_complete(answer.result())
    starts = cluster.starts()
    assert len(starts) == 9 * 12
    assert set(starts.values()) == {1}


def test_a_killed_agent_fails_its_tasks_as_may_have_run(cluster: Cluster) -> None:
    """Tasks of a lost agent must not be answered as not run, and must not run again."""
    start_three_entries(cluster, ("u1",))
    job = cluster.submit("e1", "lost", [10_000] * 4)
    wait_until(lambda: count_running(cluster, "u1") == 4, "all tasks running")
    cluster.kill("u1")
    _, body = job.result()
    assert (body["state"], body["truth"]) == ("failed", "may_have_run"), body
    cluster.add_agent("u2")
    submit_until_complete(cluster, "e2", "after")
    assert_started_once(cluster)


def test_an_agent_frozen_before_a_start_does_not_start_it_late(
    cluster: Cluster,
) -> None:
    """A start that waited in the socket of a stopped agent must be refused."""
    start_three_entries(cluster, ("u1",))
    agent = cluster.processes["u1"]
    agent.signal(signal.SIGSTOP)
    job = cluster.submit("e1", "frozen", [20], deadline_ms=25_000)
    url = f"{cluster.processes['e1'].url}/v1/jobs/t/frozen"
    wait_until(lambda: http("GET", url)[1]["state"] == "running", "the task placed")
    # The start is in the agent's socket; wait until its latest start time has passed.
    time.sleep(2 * START_BUDGET_MS / 1_000)
    agent.signal(signal.SIGCONT)
    wait_until(lambda: "task refused" in cluster.errors("u1"), "a refusal")
    assert_complete(job.result())
    assert_started_once(cluster)


def test_the_other_entries_answer_jobs_after_an_entry_is_killed(
    cluster: Cluster,
) -> None:
    """The crash of an entry must not run tasks twice or stop the other entries."""
    start_three_entries(cluster)
    jobs = [
        cluster.submit(entry, f"{entry}-{number}", [300] * 4, deadline_ms=10_000)
        for entry in ("e1", "e3")
        for number in range(6)
    ]
    wait_until(lambda: count_running(cluster, "u1", "u2"), "tasks running")
    cluster.kill("e2")
    for status, body in (job.result() for job in jobs):
        if body["state"] == "complete":
            assert_complete((status, body))
        else:
            assert body["truth"] in ("not_run", "may_have_run"), body
    for entry in ("e1", "e3"):
        submit_until_complete(cluster, entry, f"after-{entry}")
    assert_started_once(cluster)


def test_jobs_are_answered_during_and_after_a_log_outage(cluster: Cluster) -> None:
    """Jobs during the outage must be complete or of unknown state, and run once.

    An entry that starts during the outage must not be ready before its end.
    """
    start_three_entries(cluster)
    cluster.control("log", down=True)
    outage_jobs = [
        cluster.submit(entry, f"down-{entry}", [50] * 6) for entry in ENTRIES
    ]
    late_entry = cluster.add_entry("e4")
    assert http("GET", f"{late_entry.url}/readyz")[0] == 503
    for status, body in (job.result() for job in outage_jobs):
        assert (status, body["state"]) in ((200, "complete"), (503, "unknown")), body
    cluster.control("log")
    cluster.ready(*ENTRIES, "e4")
    submit_until_complete(cluster, "e4", "after")
    assert_started_once(cluster)


def test_a_planned_stop_of_an_entry_interrupts_no_request(cluster: Cluster) -> None:
    """SIGTERM must let requests finish, at the leaving entry and at the others."""
    start_three_entries(cluster)
    jobs = [
        cluster.submit(entry, f"{entry}-{number}", [300] * 4)
        for entry in ENTRIES
        for number in range(3)
    ]
    wait_until(lambda: count_running(cluster, "u1", "u2"), "tasks running")
    leaving = cluster.processes["e2"]
    leaving.signal(signal.SIGTERM)
    for job in jobs:
        assert_complete(job.result())
    assert leaving.popen.wait(LIMIT_S) == 0, cluster.errors("e2")
    submit_until_complete(cluster, "e1", "after")
    assert_started_once(cluster)


def test_a_planned_stop_of_an_agent_interrupts_no_task(cluster: Cluster) -> None:
    """Tasks that run when an agent leaves must finish and be answered."""
    start_three_entries(cluster)
    job = cluster.submit("e1", "leave", [800] * 12)
    wait_until(lambda: count_running(cluster, "u1"), "tasks running")
    leaving = cluster.processes["u1"]
    leaving.signal(signal.SIGTERM)
    jobs = [cluster.submit("e2", f"during-{number}", [20] * 4) for number in range(5)]
    for answer in (job, *jobs):
        assert_complete(answer.result())
    assert leaving.popen.wait(LIMIT_S) == 0, cluster.errors("u1")
    assert_started_once(cluster)


def test_an_upstream_that_announces_its_leave_gets_no_new_task(
    cluster: Cluster,
) -> None:
    """Its tasks must go to another upstream until it announces that it is back."""
    start_three_entries(cluster)
    url = f"{cluster.processes['u1'].url}/v1/upstream"
    announcement = {"slots": 8, "connections": 1_000}
    assert http("PUT", url, {**announcement, "leaving": True})[0] == 200
    starts_before = cluster.starts("u1")
    jobs = [cluster.submit("e1", f"away-{number}", [20] * 8) for number in range(5)]
    for job in jobs:
        assert_complete(job.result())
    assert cluster.starts("u1") == starts_before
    assert http("PUT", url, {**announcement, "leaving": False})[0] == 200
    numbers = count()

    def has_new_start() -> bool:
        assert_complete(cluster.submit("e1", f"b-{next(numbers)}", [20] * 16).result())
        return cluster.starts("u1") != starts_before

    wait_until(has_new_start, "a task on the upstream that came back")
    assert_started_once(cluster)
