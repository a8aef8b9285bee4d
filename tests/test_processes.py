"""Guards against faults that only show between real processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from .cluster import Cluster


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    cluster = Cluster(tmp_path)
    try:
        yield cluster
    finally:
        cluster.close()


def start_small(cluster: Cluster) -> None:
    for name in ("e1", "e2", "e3"):
        cluster.add_entry(name)
    cluster.ready("e1", "e2", "e3")
    for name in ("u1", "u2"):
        cluster.add_agent(name)
    cluster.ready("u1", "u2")


def test_jobs_at_any_entry_are_answered_in_order_and_run_once(cluster: Cluster) -> None:
    start_small(cluster)
    answers = [
        cluster.submit(entry, f"{entry}-{number}", [30] * 12)
        for entry in ("e1", "e2", "e3")
        for number in range(3)
    ]
    for answer in answers:
        status, body = answer.result()
        assert (status, body["state"]) == (200, "complete"), body
        key = body["key"].removeprefix("t/")
        results = [(item["index"], item["payload"]) for item in body["results"]]
        assert results == [(i, f"run_ms=30 {key}/{i}") for i in range(12)]
    starts = cluster.starts()
    assert len(starts) == 9 * 12
    assert set(starts.values()) == {1}
