"""Renders the metrics of a daemon in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from ._metrics import BUCKETS_MS, DURATION_FIELDS, DurationCounts

if TYPE_CHECKING:
    from ._metrics import Metrics


@attrs.define
class MetricsCollector:
    """Collector that reads the counts of one process.

    Attributes:
        metrics: The counts.
    """

    metrics: Metrics

    def collect(self) -> Iterator[Metric]:
        """Yield the counts of events and of dropped lines, and the durations."""
        log = self.metrics.log
        events = CounterMetricFamily(
            "catkincross_events", "Events since the start.", labels=["event"]
        )
        for event, count in log.event_counts.items():
            events.add_metric([event], count)
        yield events
        dropped = CounterMetricFamily(
            "catkincross_dropped_lines", "Log lines that were not written."
        )
        dropped.add_metric([], log.total_dropped)
        yield dropped
        for event, (field, name) in DURATION_FIELDS.items():
            description = f"Field {field} of '{event}' in milliseconds."
            yield _histogram(name, description, self.metrics.durations[name])


def _histogram(name: str, description: str, counts: DurationCounts) -> Metric:
    bounds = [f"{bound:.1f}" for bound in BUCKETS_MS] + ["+Inf"]
    total = 0
    buckets = []
    for bound, count in zip(bounds, counts.by_bucket, strict=True):
        total += count
        buckets.append((bound, total))
    family = HistogramMetricFamily(f"catkincross_{name}_ms", description)
    family.add_metric([], buckets, counts.sum_ms)
    return family


def render_metrics(metrics: Metrics) -> bytes:
    """Return the metrics as text."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
