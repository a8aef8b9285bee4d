"""Console main of the entry process."""

from __future__ import annotations

from pathlib import Path

import click

from ._entry_daemon import EntryDaemon
from ._ini import settings_or_exit
from ._main import run_daemon, run_main
from ._settings import EntrySettings


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="INI file with the settings of the entry.",
)
def main(config: Path) -> None:
    """Run an entry process."""
    run_main(_run(settings_or_exit(config, EntrySettings)))


async def _run(settings: EntrySettings) -> None:
    daemon = EntryDaemon(settings)
    await daemon.start()
    click.echo(
        f"listening grpc={daemon.state.address} http=http://{daemon.http.address}"
    )
    await run_daemon(daemon)


if __name__ == "__main__":
    main()
