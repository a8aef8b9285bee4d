"""Counters and latency histograms of a daemon in the Prometheus text format."""

from __future__ import annotations

import bisect
from typing import Any

import attrs

from ..http11 import HttpResponse
from ._log import DecisionLog

# Path in the address of the metrics that `deploy/system.toml` states.
METRICS_PATH = "/metrics"
# Bucket bounds in milliseconds, from a start on an idle worker (5 ms) to the longest
# wait of a client account (10 s).
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)
# Metric names of the durations, by event and log field.
DURATION_FIELDS = {
    "job ended": ("total_ms", "job_total"),
    "run sent": ("waited_ms", "run_wait"),
    "run ended": ("run_ms", "run"),
    "answered": ("took_ms", "answer"),
}


@attrs.define
class DurationCounts:
    """Durations counted by bucket.

    Attributes:
        by_bucket: Number of durations in each bucket; the last one has no upper bound.
        sum_ms: Sum of the durations in milliseconds.
    """

    by_bucket: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    sum_ms: float = 0.0

    def add(self, duration_ms: float) -> None:
        """Count a duration."""
        self.by_bucket[bisect.bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Metrics:
    """ASGI application that serves the metrics of one process, derived from its log.

    Args:
        log: The log of the process; events whose lines it drops are counted too.

    Attributes:
        durations: Counted durations, by metric name.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.durations = {
            name: DurationCounts() for _, name in DURATION_FIELDS.values()
        }
        log.on_event = self.observe

    def observe(self, event: str, fields: dict[str, Any]) -> None:
        """Count the duration in the fields of an event, if it has one."""
        found = DURATION_FIELDS.get(event)
        if found is not None and found[0] in fields:
            self.durations[found[1]].add(fields[found[0]])

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a request: 200 with the metrics, or 404 for other paths."""
        if scope["type"] != "http":
            return
        exists = scope["path"] == METRICS_PATH
        # Imported at the first request: it would be a tenth of the startup time.
        from ._metrics_text import render_metrics

        body = render_metrics(self) if exists else b""
        headers = {"content-type": "text/plain; charset=utf-8"}
        await HttpResponse(200 if exists else 404, body, headers).send(send)
