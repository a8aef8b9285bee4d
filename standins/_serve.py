"""Runs a stand-in as a process and prints its address."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import click

from catkincross.transport._http_server import HttpServer


def serve(app: Any, port: int) -> None:
    """Serve an ASGI application on loopback until SIGTERM or SIGINT.

    Prints `listening http=URL` when the socket is open; port 0 takes a free port.
    """
    asyncio.run(_serve(app, port))


async def _serve(app: Any, port: int) -> None:
    server = HttpServer(app, f"127.0.0.1:{port}")
    server.start()
    click.echo(f"listening http=http://{server.address}")
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()
    await server.stop(1.0)
