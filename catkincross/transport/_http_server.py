"""An HTTP server inside the loop of a daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import uvicorn

from ..foundation._listening import BACKLOG, bind_to

if TYPE_CHECKING:
    # The settings of the product's own daemons are not needed by all that serve HTTP.
    from ..settings._settings import TlsSettings


class _EmbeddedServer(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals to the daemon."""
        yield


class HttpServer:
    """Serves an ASGI application with uvicorn on the running loop.

    Args:
        app: The application.
        address: `IP:port`; port 0 takes a free one.
        tls: Certificate and key of the port; None for plain HTTP.
        listening: Socket that listens on the address already; None to open one.

    Attributes:
        address: The address with the port in use.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        *,
        tls: TlsSettings | None = None,
        listening: socket.socket | None = None,
    ) -> None:
        # Without one that listens already, connections are refused until `start`.
        self._socket = listening or bind_to(address)
        host = address.rpartition(":")[0]
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        config = uvicorn.Config(
            app,
            loop="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            ssl_certfile=tls.certificate if tls else None,
            ssl_keyfile=tls.key if tls else None,
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to serve; connections are accepted from now on."""
        self._socket.listen(BACKLOG)
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    async def stop(self, limit_s: float) -> None:
        """Accept no connection, let running requests finish, and end.

        Args:
            limit_s: Time after which the connections that are left are closed.
        """
        self._server.should_exit = True
        if self._task is None:
            return
        # Waiting this way does not cancel the server if the waiter is cancelled.
        _, unfinished = await asyncio.wait({self._task}, timeout=limit_s)
        if unfinished:
            self._server.force_exit = True
            await asyncio.wait(unfinished, timeout=limit_s)
