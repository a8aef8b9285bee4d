"""Latencies in high dynamic range histograms."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

LONGEST_US = 3_600_000_000
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}


def percentiles_ms(times_ms: Iterable[float]) -> dict[str, float]:
    """Return p50, p99 and p99.9 of times in ms."""
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for time_ms in times_ms:
        histogram.record_value(max(1, round(time_ms * 1_000)))
    return {
        name: histogram.get_value_at_percentile(percentile) / 1_000
        for name, percentile in PERCENTILES.items()
    }


def ratios(response_ms: list[float], ideal_ms: list[float]) -> dict[str, float]:
    """Return each percentile of the responses over that of the ideals."""
    if not response_ms:
        return {}
    response, ideal = percentiles_ms(response_ms), percentiles_ms(ideal_ms)
    return {name: round(response[name] / ideal[name], 4) for name in response}


def slowdowns(response_ms: list[float], ideal_ms: list[float]) -> dict[str, float]:
    """Return percentiles of each response over its own ideal."""
    pairs = zip(response_ms, ideal_ms, strict=True)
    # The histogram holds whole numbers, so a ratio is kept in thousandths.
    return percentiles_ms(response / ideal for response, ideal in pairs)
