"""Rewrites the generated tables of the capacity page."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from ._case import Slope
from ._record_run import RESULTS
from ._target import Row
from ._target_rows import SECTIONS


def slope_data(slope: Slope) -> dict[str, Any]:
    """Return a slope as it is saved."""
    return {
        "per": slope.per,
        "unit": slope.unit,
        "value": round(slope.value, 3),
        "form": slope.fit.form,
        "base": round(slope.fit.base, 3),
        "slope": round(slope.fit.slope, 5),
        "r2": round(slope.fit.r2, 4),
        "exponent": round(slope.exponent, 3),
        "points": [[size, round(value, 2)] for size, value in slope.points],
    }


def measured_table(slopes: Mapping[str, Mapping[str, Any]]) -> str:
    """Return the table of the measured slopes."""
    lines = [
        "| Name | Per | Measured | Fit | Points |",
        "| --- | --- | ---: | --- | --- |",
    ]
    for name, data in slopes.items():
        unit = {"bytes": "B", "us": "µs"}[data["unit"]]
        points = ", ".join(f"{size:g}: {value:,.4g}" for size, value in data["points"])
        if data["form"] == "each":
            fit = f"one at n; grows as n^{data['exponent']:.2f}"
        else:
            fit = f"{data['form']}, r² {data['r2']:.3f}, n^{data['exponent']:.2f}"
        lines.append(
            f"| `{name}` | {data['per']} | {data['value']:,.4g} {unit} "
            f"| {fit} | {points} |"
        )
    return "\n".join(lines)


def derived_table(rows: Sequence[Row]) -> str:
    """Return a table of derived figures."""
    lines = [
        "| What | Arithmetic | Figure | Limit | Fits | Mechanism |",
        "| --- | --- | ---: | ---: | --- | --- |",
    ]
    for row in rows:
        lines.append(
            f"| {row.what} | {row.arithmetic} | {row.result} | {row.limit} "
            f"| {_shown(row.fits)} | {row.mechanism} |"
        )
    return "\n".join(lines)


def processes_table(folder: Path) -> str:
    """Return the table of what real processes cost, from the saved results.

    Args:
        folder: Folder with `idle-cost.json` and `starts.json`; a missing one is left
            out.
    """
    lines = [
        "| What | Figure | Target | Met | Command, revision |",
        "| --- | ---: | ---: | --- | --- |",
    ]
    idle, starts = folder / "idle-cost.json", folder / "starts.json"
    if idle.exists():
        data = json.loads(idle.read_text())
        size = f"{data['entries']} entries, {data['agents']} agents"
        for role in ("entry", "agent"):
            for name, limit in data["limits"].items():
                value = data[role][name]
                lines.append(
                    f"| {role}, idle, {size}: {name} | {value:,.4g} | {limit:,g} "
                    f"| {_shown(value <= limit)} | {_source(data['run'])} |"
                )
    if starts.exists():
        data = json.loads(starts.read_text())
        lines.append(
            f"| starts a second through one entry, jobs of {data['job_tasks']} "
            f"| {data['starts_per_s']:,} | {data['target_per_s']:,} "
            f"| {_shown(data['met'])} | {_source(data['run'])} |"
        )
    return "\n".join(lines)


def _source(run: Mapping[str, Any]) -> str:
    return f"`{run['command']}`, {run['revision']}"


def _shown(fits: bool | None) -> str:
    return {True: "yes", False: "**no**", None: ""}[fits]


def replace_block(page: str, name: str, text: str) -> str:
    """Return a page with the text between the markers of a name replaced.

    Raises:
        ValueError: If the page has no such markers.
    """
    pattern = re.compile(
        rf"(<!-- {re.escape(name)}: begin -->\n).*?(<!-- {re.escape(name)}: end -->)",
        re.DOTALL,
    )
    if not pattern.search(page):
        raise ValueError(f"the page has no markers of {name!r}")
    return pattern.sub(lambda match: match[1] + text + "\n" + match[2], page)


def rewrite_page(page: str, result: Mapping[str, Any]) -> str:
    """Return the capacity page with all its tables made anew from a result."""
    slopes = result["slopes"]
    run = result["run"]
    source = (
        f"Measured at revision {run['revision']} on {run['cores']} cores of a machine "
        f"shared with other work, by `{run['command']}`."
    )
    page = replace_block(page, "source", source)
    page = replace_block(page, "measured", measured_table(slopes))
    costs = {name: data["value"] for name, data in slopes.items()}
    page = replace_block(page, "processes", processes_table(RESULTS))
    for name, section in SECTIONS.items():
        page = replace_block(page, name, derived_table(section(costs)))
    return page
