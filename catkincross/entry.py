"""Command `catkincross-entry`: runs an entry daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from .foundation._daemon_main import run_daemon
from .observability._logs import start_logs
from .programs._entry_daemon import EntryDaemon
from .settings._ini import load_settings_or_exit
from .settings._settings import EntrySettings


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="INI file with the settings of the entry.",
)
def main(config: Path) -> None:
    """Run an entry process."""
    settings = load_settings_or_exit(config, EntrySettings)
    start_logs(settings.logs)
    asyncio.run(_run(settings))


async def _run(settings: EntrySettings) -> None:
    daemon = EntryDaemon(settings)
    await daemon.start()
    scheme = "https" if settings.http.tls else "http"
    http_url = f"{scheme}://{daemon.http.address}"
    click.echo(f"listening grpc={daemon.state.address} http={http_url}")
    await run_daemon(daemon)


if __name__ == "__main__":
    main()
