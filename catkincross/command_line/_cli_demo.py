"""Command `demo`: a job through a whole system in one process."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import click

from ..observability._timeline import TimelineEvent, text_lines
from ._cli_jobs import print_job
from ._cli_output import ExitCode
from ._cli_resources import print_documents


@click.command()
@click.option("--tasks", default=12, show_default=True, help="Tasks of the job.")
def demo(tasks: int) -> None:
    """Run jobs through three entries and four agents in this process."""
    # gRPC logs each planned end of a stream; it reads the level when it is loaded.
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    # The daemons and the stand-ins are loaded for this command only.
    from ..programs._demo import run_demo

    click.echo("starting 3 entries, 4 agents with upstreams, and a log in memory")
    good = asyncio.run(run_demo(_show, _show_events, tasks=tasks))
    click.echo()
    result = "every task started once, none where operators had drained"
    click.echo(result if good else "the jobs did not run as expected")
    raise SystemExit(int(ExitCode.OK if good else ExitCode.FAILED))


def _show(title: str, shown: dict[str, Any]) -> None:
    click.echo(f"\n{title}:")
    if "spec" in shown:
        print_documents([shown], wide=False)
    else:
        print_job(shown, wide=True)


def _show_events(events: list[TimelineEvent]) -> None:
    click.echo("\nTime line of the job:")
    for line in text_lines(events):
        click.echo(line)
