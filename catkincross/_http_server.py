"""An HTTP server inside the loop of a daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the daemon."""
        yield


class HttpServer:
    """Serves an ASGI application with uvicorn on the running loop.

    Args:
        app: The application.
        address: `IP:port`; port 0 takes a free one.
        stop_limit_s: Longest time for requests to finish after `stop`, in seconds.

    Attributes:
        address: The address with the port in use.
    """

    def __init__(self, app: Any, address: str, *, stop_limit_s: int) -> None:
        host, _, port = address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sends small writes at once only on sockets that name their protocol;
        # otherwise answers wait about 40 ms for a delayed acknowledgement.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host.strip("[]"), int(port)))
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        config = uvicorn.Config(
            app,
            loop="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=stop_limit_s,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to serve."""
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    async def stop(self) -> None:
        """Accept no connection, let running requests finish, and end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
