"""Latencies in high dynamic range histograms."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from ._ideal import idle_ideal_ms, loaded_ideal_ms
from ._workload import JobPlan, Workload

LONGEST_US = 3_600_000_000
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9}


def percentiles_ms(times_ms: Iterable[float]) -> dict[str, float]:
    """Return p50, p99 and p99.9 of times in ms; nothing without times."""
    times_ms = list(times_ms)
    if not times_ms:
        return {}
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for time_ms in times_ms:
        histogram.record_value(max(1, round(time_ms * 1_000)))
    return {
        name: histogram.get_value_at_percentile(percentile) / 1_000
        for name, percentile in PERCENTILES.items()
    }


def ratios(response_ms: list[float], ideal_ms: list[float]) -> dict[str, float]:
    """Return each percentile of the responses over that of the ideals."""
    response, ideal = percentiles_ms(response_ms), percentiles_ms(ideal_ms)
    return {name: round(response[name] / ideal[name], 4) for name in response}


def slowdowns(response_ms: list[float], ideal_ms: list[float]) -> dict[str, float]:
    """Return percentiles of each response over its own ideal."""
    pairs = zip(response_ms, ideal_ms, strict=True)
    # The histogram holds whole numbers, so a ratio is kept in thousandths.
    return percentiles_ms(response / ideal for response, ideal in pairs)


def response_measures(
    workload: Workload,
    plans: Sequence[JobPlan],
    measured: Sequence[JobPlan],
    times_ms: Mapping[int, float],
) -> dict[str, Any]:
    """Return the response times of single requests and of jobs against the ideals.

    Args:
        workload: The workload.
        plans: All arrivals, which one queue without overhead also has to serve.
        measured: The arrivals that count.
        times_ms: Response times by plan number; plans without one are left out.
    """
    loaded = loaded_ideal_ms(workload, plans)
    result = {}
    for kind, single in (("single", True), ("job", False)):
        chosen = [
            plan
            for plan in measured
            if plan.number in times_ms and (len(plan.works) == 1) == single
        ]
        response = [times_ms[plan.number] for plan in chosen]
        idle = [idle_ideal_ms(workload, plan.works) for plan in chosen]
        under_load = [loaded[plan.number] for plan in chosen]
        result[kind] = {
            "count": len(chosen),
            "response_ms": percentiles_ms(response),
            "idle_ideal_ms": percentiles_ms(idle),
            "ratio": ratios(response, idle),
            "slowdown": slowdowns(response, idle),
            "ratio_one_queue": ratios(under_load, idle),
        }
    return result
