"""Console program `catkincross-bench`."""

from __future__ import annotations

import json
from pathlib import Path

import click

from catkincross.placement._placement import PLACEMENT_POLICIES

from . import _cases_control, _cases_dispatch  # noqa: F401
from ._capacity_page import rewrite_page, slope_data
from ._case import CASES, run_case
from ._compare import compare, cores_round
from ._record_run import RESULTS, ROOT, environment, save_json
from ._summary import table
from ._workload import read_workload

POLICIES = (
    "expected_finish",
    "random",
    "round_robin",
    "least_loaded",
    "two_choices",
)
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


@main.command()
def page() -> None:
    """Rewrite the tables of docs/CAPACITY.md from the saved results."""
    result = json.loads((RESULTS / "capacity.json").read_text())
    CAPACITY_PAGE.write_text(rewrite_page(CAPACITY_PAGE.read_text(), result))


@main.command()
@click.argument("workload", type=click.Path(path_type=Path))
@click.option(
    "--policies",
    default=",".join(name for name in POLICIES if name in PLACEMENT_POLICIES),
    show_default=True,
    help="Placement policies to compare, two or more, or one with --revisions.",
)
@click.option(
    "--revisions",
    default="",
    help="Saved revisions to compare instead, two or more; the first policy is used.",
)
@click.option("--rounds", default=3, type=click.IntRange(1, 50))
@click.option("--driver", type=click.Choice(["cores", "processes"]), default="cores")
@click.option("--json", "path", type=click.Path(path_type=Path), default=None)
@click.option("--picture", type=click.Path(path_type=Path), default=None)
def run(
    workload: Path,
    policies: str,
    revisions: str,
    rounds: int,
    driver: str,
    path: Path | None,
    picture: Path | None,
) -> None:
    """Run a workload with several policies or revisions, in turn."""
    try:
        result = compare(
            workload,
            policies=_names(policies),
            revisions=_names(revisions),
            rounds=rounds,
            driver=driver,
            progress=click.echo,
        )
    except (FileNotFoundError, ValueError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(table(result["summary"], result["subjects"]))
    if path is not None:
        save_json(path, result)
    if picture is not None:
        from ._picture import draw_comparison

        title = f"{result['workload']}, {driver}, {rounds} rounds"
        draw_comparison(picture, title, result["summary"])


@main.command("idle-cost")
@click.option("--entries", default=3, type=click.IntRange(1, 10))
@click.option("--agents", default=4, type=click.IntRange(1, 20))
@click.option("--seconds", default=60.0)
@click.option("--json", "path", type=click.Path(path_type=Path), default=None)
def idle_cost_command(
    entries: int, agents: int, seconds: float, path: Path | None
) -> None:
    """Measure the control cost of real processes without work."""
    from ._idle_cost import idle_cost, idle_table

    result = idle_cost(entries=entries, agents=agents, seconds=seconds)
    click.echo(idle_table(result))
    command = f"catkincross-bench idle-cost --entries {entries} --agents {agents}"
    if path is not None:
        save_json(path, {"run": environment(command), **result})


@main.command("starts")
@click.option("--hosts", default=2, type=click.IntRange(1, 4))
@click.option("--agents", default=2, type=click.IntRange(1, 20))
@click.option("--job-tasks", default=360, type=click.IntRange(1, 1_000))
@click.option("--callers", default=8, type=click.IntRange(1, 200))
@click.option("--run-ms", default=50.0)
@click.option("--seconds", default=9.0)
@click.option("--json", "path", type=click.Path(path_type=Path), default=None)
def starts_command(path: Path | None, agents: int, **options: float) -> None:
    """Measure the task starts a second through one entry process."""
    from ._throughput import throughput

    result = throughput(agents_per_host=agents, **options)
    click.echo(json.dumps(result, indent=1))
    if path is not None:
        save_json(path, {"run": environment("catkincross-bench starts"), **result})


def _names(text: str) -> list[str]:
    return [name.strip() for name in text.split(",") if name.strip()]


@main.command("round", hidden=True)
@click.argument("workload", type=click.Path(path_type=Path))
@click.option("--policy", required=True)
@click.option("--seed", type=int, required=True)
def one_round(workload: Path, policy: str, seed: int) -> None:
    """Run one round on the cores and print its result as JSON."""
    click.echo(json.dumps(cores_round(read_workload(workload), policy, seed)))


if __name__ == "__main__":
    main()
