"""Counters and latency histograms of a daemon in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, Metric
from starlette.responses import Response

from ._log import DecisionLog

# Path in the address of the metrics that `deploy/system.toml` states.
METRICS_PATH = "/metrics"
# Bucket bounds in milliseconds, from a start on an idle worker (5 ms) to the longest
# wait of a client account (10 s).
BUCKETS_MS = (5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000)
# Metric names of the durations, by event and log field.
DURATION_FIELDS = {
    ("job ended", "total_ms"): "job_total",
    ("run sent", "waited_ms"): "run_wait",
    ("run ended", "run_ms"): "run",
    ("answered", "took_ms"): "answer",
}


class Metrics:
    """ASGI application that serves the metrics of one process, derived from its log.

    Args:
        log: The log of the process; events whose lines it drops are counted too.
    """

    def __init__(self, log: DecisionLog) -> None:
        self.log = log
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.histograms = {
            key: Histogram(
                f"catkincross_{name}_ms",
                f"Field {key[1]} of '{key[0]}' in milliseconds.",
                buckets=BUCKETS_MS,
                registry=self.registry,
            )
            for key, name in DURATION_FIELDS.items()
        }
        log.on_event = self.observe

    def collect(self) -> Iterator[Metric]:
        """Yield the counts of events and of dropped lines since the process start."""
        events = CounterMetricFamily(
            "catkincross_events", "Events since the start.", labels=["event"]
        )
        for event, count in self.log.event_counts.items():
            events.add_metric([event], count)
        yield events
        dropped = CounterMetricFamily(
            "catkincross_dropped_lines", "Log lines that were not written."
        )
        dropped.add_metric([], self.log.total_dropped)
        yield dropped

    def observe(self, event: str, fields: dict[str, Any]) -> None:
        """Add the durations in the fields of an event to their histograms."""
        for (name, field), histogram in self.histograms.items():
            if name == event and field in fields:
                histogram.observe(fields[field])

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a request: 200 with the metrics, or 404 for other paths."""
        if scope["type"] != "http":
            return
        exists = scope["path"] == METRICS_PATH
        body = generate_latest(self.registry) if exists else b""
        response = Response(body, 200 if exists else 404, media_type="text/plain")
        await response(scope, receive, send)
