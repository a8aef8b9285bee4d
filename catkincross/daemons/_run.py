"""Startup code that the entry points of both daemons share."""

from __future__ import annotations

import asyncio
import socket
import sys
from functools import partial
from typing import Any

from ..clock import SystemClock
from ..foundation._background import spawn, spawn_repeated
from ..foundation._daemon_main import run_daemon
from ..platform import load_node_settings
from ..transport._http_server import HttpServer
from ._log import DecisionLog
from ._own_settings import load_own_settings
from ._reload import watch_settings

EXIT_BAD_SETTINGS = 2
# Delay of the metrics server after the start, in seconds. A worker's lease lapses 1 s
# after its agent falls silent, so a restarted agent first has to serve again.
METRICS_START_DELAY_S = 2.0


async def serve_metrics(
    log: DecisionLog, address: str, *, delay_s: float = METRICS_START_DELAY_S
) -> None:
    """Serve the metrics after a delay that leaves the startup to urgent work.

    If the address cannot be used, this is logged, and the process goes on without.

    Args:
        log: Log of the process, the source of the metrics.
        address: `IP:port` to listen on.
        delay_s: The delay, in seconds.
    """
    await asyncio.sleep(delay_s)
    # Importing this at the top would take a tenth of the startup time.
    from ._metrics import Metrics

    try:
        HttpServer(Metrics(log), address).start()
    except OSError as error:
        log.note("metrics not served", address=address, error=repr(error))


def run(
    role: str, daemon_class: type[Any], sockets: dict[str, socket.socket] | None = None
) -> None:
    """Run a daemon until it has shut down.

    Args:
        role: `entry` or `agent`.
        daemon_class: Class of the daemon.
        sockets: Sockets that listen already, by address.

    Raises:
        SystemExit: If the settings are invalid; the error is on standard error.
    """
    try:
        settings = load_node_settings()
        own_settings = load_own_settings()
    except (OSError, ValueError, KeyError) as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    clock = SystemClock()
    log = DecisionLog(
        f"{role}/{settings.name}", clock, max_lines_per_s=own_settings.log_lines_per_s
    )

    async def serve() -> None:
        daemon = daemon_class(settings, clock, log, own_settings, sockets)
        await daemon.start()
        spawn_repeated(
            partial(watch_settings, daemon, own_settings, log), log.note_error
        )
        spawn(serve_metrics(log, f"{settings.ip}:{own_settings.metrics_port}"))
        await run_daemon(daemon, log.note_error)

    try:
        asyncio.run(serve())
    finally:
        log.flush()
