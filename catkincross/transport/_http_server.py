"""HTTP server that runs on the event loop of a daemon."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import uvicorn

from ..foundation._listening import BACKLOG, bind_to

# A connection without a request for this long is closed, in seconds.
KEEPALIVE_S = 75
# Interval of the server's housekeeping, which renews the date in the headers.
HOUSEKEEPING_S = 1.0
# The housekeeping counts in tenths of a second, up to a day.
TICKS_PER_S = 10
TICKS_PER_DAY = 864_000

if TYPE_CHECKING:
    # Some programs serve HTTP without these settings and need not load them.
    from ..settings._settings import TlsSettings


class _EmbeddedServer(uvicorn.Server):
    """Server that wakes up once a second, and at once when it is told to stop.

    The main loop of uvicorn wakes up ten times a second. With two servers in each of
    hundreds of processes that is a large part of the cost of an idle fleet.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.stop_requested = asyncio.Event()

    async def main_loop(self) -> None:
        """Run the housekeeping of the server until it is told to stop."""
        counter = 0
        while not await self.on_tick(counter):
            counter = (counter + TICKS_PER_S) % TICKS_PER_DAY
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stop_requested.wait(), HOUSEKEEPING_S)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, because the daemon handles signals."""
        yield


class HttpServer:
    """Serves an ASGI application with uvicorn on the running loop.

    Args:
        app: The application.
        address: `IP:port`; with port 0 the system chooses a free port.
        tls: Certificate and key of the port; None for plain HTTP.
        listening_socket: Socket that already listens on the address; None to open one.

    Attributes:
        address: `IP:port` with the actual port.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        *,
        tls: TlsSettings | None = None,
        listening_socket: socket.socket | None = None,
    ) -> None:
        # A socket opened here refuses connections until `start` makes it listen.
        self._socket = listening_socket or bind_to(address)
        host = address.rpartition(":")[0]
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        config = uvicorn.Config(
            app,
            loop="none",
            http="httptools",
            ws="none",
            lifespan="off",
            timeout_keep_alive=KEEPALIVE_S,
            log_config=None,
            access_log=False,
            ssl_certfile=tls.certificate if tls else None,
            ssl_keyfile=tls.key if tls else None,
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen on the socket and serve requests in a background task."""
        self._socket.listen(BACKLOG)
        self._task = asyncio.create_task(self._server.serve(sockets=[self._socket]))

    async def stop(self, timeout_s: float) -> None:
        """Stop accepting connections and wait for running requests to finish.

        Args:
            timeout_s: Time for running requests, in seconds. Connections that are
                still open then are closed, which may take as long again.
        """
        self._server.should_exit = True
        self._server.stop_requested.set()
        if self._task is None:
            return
        # `asyncio.wait` does not cancel the server if its caller is cancelled.
        _, unfinished = await asyncio.wait({self._task}, timeout=timeout_s)
        if unfinished:
            self._server.force_exit = True
            await asyncio.wait(unfinished, timeout=timeout_s)
