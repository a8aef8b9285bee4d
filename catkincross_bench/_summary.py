"""Rounds of several subjects side by side: medians, ranges and verdicts."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from typing import Any

import attrs


@attrs.frozen
class Measure:
    """A figure of a round and the performance target that bounds it.

    Attributes:
        path: Keys that lead to the figure in a round's result.
        bound: The stated target, or None if there is none.
        at_least: Whether the bound is the least value, and not the greatest.
    """

    label: str
    path: tuple[str, ...]
    bound: float | None = None
    at_least: bool = False

    def met(self, value: float) -> bool | None:
        """Return whether a value is within the bound; None without a bound."""
        if self.bound is None:
            return None
        return value >= self.bound if self.at_least else value <= self.bound


def _ratios(kind: str) -> list[Measure]:
    bounds = {"p50": 1.05, "p99": 1.25, "p99.9": None}
    measures = [
        Measure(f"{kind}: response / ideal, {name}", ("steady", kind, "ratio", name), b)
        for name, b in bounds.items()
    ]
    for name in ("p50", "p99"):
        measures.append(
            Measure(
                f"{kind}: each response / its ideal, {name}",
                ("steady", kind, "slowdown", name),
            )
        )
    for name in bounds:
        measures.append(
            Measure(
                f"{kind}: one queue without overhead / ideal, {name}",
                ("steady", kind, "ratio_one_queue", name),
            )
        )
    return measures


MEASURES = [
    *_ratios("single"),
    *_ratios("job"),
    Measure("idle path: added ms, p50", ("idle", "added_ms", "p50"), 3),
    Measure("idle path: added ms, p99", ("idle", "added_ms", "p99"), 8),
    Measure("wasted messages per 1,000 tasks", ("steady", "waste_total"), 20),
    Measure("  declines", ("steady", "waste", "declines")),
    Measure("  recalls", ("steady", "waste", "recalls")),
    Measure("  retries", ("steady", "waste", "retries")),
    Measure("  repeats", ("steady", "waste", "repeats")),
    Measure("  cancellations", ("steady", "waste", "cancellations")),
    Measure("  forwards", ("steady", "waste", "forwards")),
    Measure("  other", ("steady", "waste", "other")),
    Measure("work before a drain / allowed", ("drain", "work_share", "before")),
    Measure(
        "work during a drain / allowed", ("drain", "work_share", "during"), 0.95, True
    ),
    Measure(
        "work after a restore / allowed", ("drain", "work_share", "after"), 0.95, True
    ),
    Measure("drain: refused", ("drain", "refused")),
    Measure("drain: lost", ("drain", "lost"), 0),
    Measure("steady: lost", ("steady", "ends", "lost"), 0),
    Measure("tasks started more than once, steady", ("steady", "started_twice"), 0),
    Measure("tasks started more than once, drain", ("drain", "started_twice"), 0),
    Measure(
        "ms from drain to the last start there",
        ("drain", "last_start_after_drain_ms"),
        3_000,
    ),
]


def value_at(result: Any, path: Sequence[str]) -> float | None:
    """Return the figure at a path of a round's result, or None."""
    for key in path:
        if not isinstance(result, dict) or key not in result:
            return None
        result = result[key]
    return result


def summarize(rounds: dict[str, list[dict[str, Any]]]) -> list[dict[str, Any]]:
    """Return one row for each measure with the median and range of each subject.

    Args:
        rounds: Results of the rounds by policy or revision.
    """
    rows = []
    for measure in MEASURES:
        subjects = {}
        for name, results in rounds.items():
            values = [
                value
                for value in (value_at(result, measure.path) for result in results)
                if value is not None
            ]
            if values:
                median = round(statistics.median(values), 4)
                worst = min(values) if measure.at_least else max(values)
                # Safety counts must hold in every round, not only in the middle one.
                decisive = worst if measure.bound == 0 else median
                subjects[name] = {
                    "median": median,
                    "range": [min(values), max(values)],
                    "met": measure.met(decisive),
                }
        rows.append(
            {"measure": measure.label, "bound": measure.bound, "subjects": subjects}
        )
    return rows


def table(rows: list[dict[str, Any]], names: list[str]) -> str:
    """Return the rows as text: median, range and verdict of each subject."""
    width = max(len(row["measure"]) for row in rows)
    lines = [f"{'':{width}}  {'target':>8}" + "".join(f"  {n:>26}" for n in names)]
    for row in rows:
        bound = "" if row["bound"] is None else f"{row['bound']:g}"
        cells = [_cell(row["subjects"].get(name)) for name in names]
        lines.append(
            f"{row['measure']:{width}}  {bound:>8}"
            + "".join(f"  {cell:>26}" for cell in cells)
        )
    return "\n".join(lines)


def _cell(subject: dict[str, Any] | None) -> str:
    if subject is None:
        return "-"
    low, high = subject["range"]
    verdict = {True: " met", False: " NOT MET", None: ""}[subject["met"]]
    spread = "" if low == high else f" ({low:.4g}-{high:.4g})"
    return f"{subject['median']:.4g}{spread}{verdict}"
