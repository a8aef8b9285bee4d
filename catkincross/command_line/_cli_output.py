"""Output and exit codes of the command line."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NoReturn, TypeVar

import click

Command = TypeVar("Command", bound=Callable[..., Any])

output_option = click.option(
    "-o",
    "--output",
    type=click.Choice(["table", "wide", "json"]),
    default="table",
    show_default=True,
    help="Form of the output.",
)


class ExitCode(IntEnum):
    """Exit codes; `catkincross --help` lists them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_FOUND = 3
    CONFLICT = 4
    REFUSED = 5
    UNKNOWN = 6
    UNREACHABLE = 7


EXIT_HELP = """\b
Exit codes:
  0  done; a job is complete
  1  the job ended, but not complete
  2  wrong usage, input or settings
  3  not found
  4  conflict: other content under the same key, or another generation
  5  refused: nothing was started or changed
  6  the outcome is not known yet; ask again
  7  no entry can be reached
"""


def fail(code: ExitCode, line: str) -> NoReturn:
    """Print a line on stderr and end the program."""
    click.echo(line, err=True)
    raise SystemExit(int(code))


def exit_code_of(status: int, body: Any) -> ExitCode:
    """Return the exit code for an answer of an entry.

    Args:
        status: HTTP status code.
        body: JSON object of the answer.
    """
    fields = body if isinstance(body, dict) else {}
    state, truth = fields.get("state"), fields.get("truth", "")
    if status == 404:
        return ExitCode.NOT_FOUND
    if status == 409:
        return ExitCode.CONFLICT
    if status == 400:
        return ExitCode.USAGE
    if status == 202 or state == "unknown":
        return ExitCode.UNKNOWN
    if truth in ("not_run", "not_applied") and status >= 400:
        return ExitCode.REFUSED
    if state == "failed":
        return ExitCode.FAILED
    return ExitCode.OK if status < 400 else ExitCode.UNKNOWN


def print_json(value: Any) -> None:
    """Print a JSON value for scripts."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under titles, in columns as wide as their texts."""
    texts = [list(titles), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in texts) for i in range(len(titles))]
    for row in texts:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(cells).rstrip())


def print_refusal(body: Any) -> None:
    """Print what an entry refused or does not know, on stderr."""
    if not isinstance(body, dict):
        click.echo("the answer has no details", err=True)
        return
    known = ("state", "truth", "reason", "field", "id")
    facts = " ".join(f"{name}={body[name]}" for name in known if body.get(name))
    click.echo(f"{body.get('detail', 'refused')} ({facts})", err=True)
