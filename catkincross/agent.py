"""Command `catkincross-agent`: runs an agent daemon."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from .foundation._daemon_main import run_daemon
from .observability._logs import start_logs
from .programs._agent_daemon import AgentDaemon
from .settings._ini import load_settings_or_exit
from .settings._settings import AgentSettings


@click.command()
@click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="INI file with the settings of the agent.",
)
def main(config: Path) -> None:
    """Run an agent process."""
    settings = load_settings_or_exit(config, AgentSettings)
    start_logs(settings.logs)
    asyncio.run(_run(settings))


async def _run(settings: AgentSettings) -> None:
    daemon = AgentDaemon(settings)
    await daemon.start()
    click.echo(f"listening http=http://{daemon.http.address}")
    await run_daemon(daemon)


if __name__ == "__main__":
    main()
