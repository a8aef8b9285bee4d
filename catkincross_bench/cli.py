"""Console program `catkincross-bench`."""

from __future__ import annotations

import json
from pathlib import Path

import click

from . import _cases_control, _cases_dispatch  # noqa: F401
from ._capacity_page import rewrite_page, slope_data
from ._case import CASES, run_case
from ._record_run import RESULTS, ROOT, environment, save_json

CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"


@click.group()
def main() -> None:
    """Measure capacity and compare policies under load."""


@main.command()
@click.option("--only", default="", help="Measure only cases whose name contains this.")
@click.option(
    "--json",
    "path",
    type=click.Path(path_type=Path),
    default=RESULTS / "capacity.json",
    help="File that keeps the result.",
)
@click.option("--page/--no-page", default=True, help="Rewrite docs/CAPACITY.md.")
def capacity(only: str, path: Path, page: bool) -> None:
    """Measure the slopes of the pure code and the codec."""
    known = json.loads(path.read_text())["slopes"] if only and path.exists() else {}
    slopes = {}
    for item in CASES:
        if only and only not in item.name:
            if item.name in known:
                slopes[item.name] = known[item.name]
            continue
        data = slope_data(run_case(item))
        slopes[item.name] = data
        click.echo(
            f"{item.name:30} {data['value']:12,.2f} {data['unit']:5} "
            f"r2 {data['r2']:.3f} n^{data['exponent']:.2f}  {data['points']}"
        )
    result = {"run": environment("catkincross-bench capacity"), "slopes": slopes}
    save_json(path, result)
    if page:
        CAPACITY_PAGE.write_text(rewrite_page(CAPACITY_PAGE.read_text(), result))


if __name__ == "__main__":
    main()
