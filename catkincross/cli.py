"""Command `catkincross`, for callers and operators."""

from __future__ import annotations

import click

from . import __version__
from .command_line._cli_demo import demo
from .command_line._cli_files import check_config, timeline
from .command_line._cli_jobs import cancel, request, submit
from .command_line._cli_output import EXIT_HELP
from .command_line._cli_resources import apply, delete, drain, get, restore, watch


@click.group(epilog=EXIT_HELP)
@click.version_option(__version__)
def main() -> None:
    """Submit work to catkincross and operate it."""


for command in (submit, request, cancel, get, watch, apply, delete, drain, restore):
    main.add_command(command)
for command in (timeline, check_config, demo):
    main.add_command(command)


if __name__ == "__main__":
    main()
