"""What the console mains of both daemons share."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from ..clock import SystemClock
from ..foundation._main import run_daemon
from ..platform import load_node_settings
from ..transport._http_server import HttpServer
from ._log import DecisionLog
from ._metrics import METRICS_PORT, Metrics

EXIT_BAD_SETTINGS = 2


def run(role: str, daemon_class: type[Any]) -> None:
    """Run a daemon of a role until it is stopped."""
    try:
        settings = load_node_settings()
    except (OSError, ValueError, KeyError) as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    clock = SystemClock()
    log = DecisionLog(f"{role}/{settings.name}", clock)

    async def serve() -> None:
        daemon = daemon_class(settings, clock, log)
        await daemon.start()
        HttpServer(Metrics(log), f"{settings.ip}:{METRICS_PORT}").start()
        await run_daemon(daemon)

    asyncio.run(serve())
