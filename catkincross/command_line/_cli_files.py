"""Commands that work on files: check-config and timeline."""

from __future__ import annotations

from pathlib import Path

import attrs
import click
from returns.result import Failure, Success

from ..observability._timeline import (
    TimelineFilter,
    merge,
    parse_lines,
    parse_time,
    text_lines,
)
from ..observability._timeline_svg import svg_picture
from ..settings._ini import TOP_SECTIONS, detect_settings_class, load_settings
from ..settings._settings_list import setting_rows
from ._cli_output import ExitCode, fail, print_json, print_table


@click.command("check-config")
@click.argument("files", nargs=-1, type=click.Path(dir_okay=False))
@click.option("--list", "listed", is_flag=True, help="List all settings instead.")
def check_config(files: tuple[str, ...], listed: bool) -> None:
    """Check INI files of entries and agents."""
    if listed:
        rows = [attrs.astuple(row) for row in setting_rows()]
        print_table(["SECTION", "KEY", "DEFAULT", "ALLOWED", "MEANING"], rows)
        return
    if not files:
        fail(ExitCode.USAGE, "name the files to check, or give --list")
    failed = False
    for file in files:
        match detect_settings_class(file).bind(
            lambda settings_class, file=file: load_settings(file, settings_class)
        ):
            case Success(settings):
                click.echo(f"{file}: ok, settings of an {TOP_SECTIONS[type(settings)]}")
            case Failure(line):
                click.echo(line, err=True)
                failed = True
    if failed:
        raise SystemExit(int(ExitCode.USAGE))


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option("--job", default="", help="Job as TEAM/KEY, or as the logs name it.")
@click.option("--upstream", default="", help="Events of the agent of this upstream.")
@click.option("--data-centre", default="", help="Events in this data centre.")
@click.option("--process", default="", help="Events of this process.")
@click.option("--since", default="", help="Start: ISO 8601 or seconds since 1970.")
@click.option("--until", default="", help="End: ISO 8601 or seconds since 1970.")
@click.option("--svg", type=click.Path(dir_okay=False), help="Write a picture here.")
@click.option("-o", "--output", type=click.Choice(["text", "json"]), default="text")
def timeline(
    files: tuple[str, ...],
    since: str,
    until: str,
    svg: str | None,
    output: str,
    **keep: str,
) -> None:
    """Merge event logs of all processes into one time line."""
    try:
        bounds = {
            "since_s": parse_time(since) if since else None,
            "until_s": parse_time(until) if until else None,
        }
        logs = [parse_lines(Path(file).read_text().splitlines()) for file in files]
    except ValueError as error:
        fail(ExitCode.USAGE, f"--since or --until: {error}")
    except OSError as error:
        fail(ExitCode.USAGE, f"{error.filename}: cannot be read: {error.strerror}")
    events = merge(logs, TimelineFilter(**keep, **bounds))
    if svg:
        Path(svg).write_text(svg_picture(events), encoding="utf-8")
    if output == "json":
        print_json([attrs.asdict(event) for event in events])
        return
    for line in text_lines(events):
        click.echo(line)
