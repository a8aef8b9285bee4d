"""HTTP client with a pool of persistent connections to one service."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import httptools

NO_HEADERS: Mapping[str, str] = {}
# Time limit for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.8


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        closed: Whether the connection was closed by either side.
        opened_s: Loop time at which it was opened.
        data_s: Loop time at which bytes last arrived; 0 for never.
        idle_since_s: Loop time at which the last response was complete.
        received_s: Loop time at which the last bytes arrived, or, before the first ones
            of a response, at which the request was written.
        silence_s: How long the service may send nothing, in seconds.
        response_started: Whether bytes of the current response have arrived.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self.idle_since_s = self.received_s = self.opened_s = self.loop.time()
        self.data_s = 0.0
        self.silence_s = 0.0
        self.response_started = False
        self._silence_timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._keep_alive = True
        self._response: asyncio.Future[tuple[int, bytes]] | None = None

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response; abort the connection if they are not valid."""
        self.received_s = self.data_s = self.loop.time()
        self.response_started = True
        if self._response is None:
            # Nothing was asked, so nothing that follows can be attributed.
            self.abort(ConnectionAbortedError("response without a request"))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.abort(ConnectionAbortedError(f"invalid response: {error}"))

    def eof_received(self) -> None:
        """Treat the end of the stream as the end of a response without a length."""
        self._keep_alive = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in flight."""
        self.closed = True
        self._fail(ConnectionResetError(f"connection lost: {exc}"))

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._body = []

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the response to the waiting request."""
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        response = self._take_response()
        if response is not None:
            response.set_result((self._parser.get_status_code(), b"".join(self._body)))
        self.idle_since_s = self.received_s
        if not self._keep_alive:
            self.abort(ConnectionAbortedError("closed by the service"))

    def send(self, data: bytes, silence_s: float) -> asyncio.Future[tuple[int, bytes]]:
        """Write a request; return the future of its status code and body."""
        assert self._response is None and self._transport is not None
        self.response_started = False
        self.silence_s = silence_s
        self.received_s = self.loop.time()
        self._response = self.loop.create_future()
        self._silence_timer = self.loop.call_later(silence_s, self._check_silence)
        self._transport.write(data)
        return self._response

    def _check_silence(self) -> None:
        left_s = self.received_s + self.silence_s - self.loop.time()
        if left_s > 0:
            self._silence_timer = self.loop.call_later(left_s, self._check_silence)
        else:
            self.abort(TimeoutError(f"no data for {self.silence_s} s"))

    def abort(self, error: OSError) -> None:
        """Close the connection at once and fail the request in flight."""
        self.closed = True
        self._fail(error)
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, error: OSError) -> None:
        response = self._take_response()
        if response is not None:
            response.set_exception(error)

    def _take_response(self) -> asyncio.Future[tuple[int, bytes]] | None:
        """Return the future of the request in flight, if its caller still waits."""
        response, self._response = self._response, None
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        return None if response is None or response.done() else response


class HttpClient:
    """Client of one service, with a pool of persistent connections.

    If connections fall silent during requests, and none that was open before gives a
    sign of life meanwhile, no idle one is used any more.

    Args:
        address: `IP:port` of the service.
        keepalive_s: How long an idle connection is kept open, in seconds.
        silent_limit: Number of connections in a row that have to fall silent before the
            idle ones count as silent too.
    """

    def __init__(
        self, address: str, *, keepalive_s: float, silent_limit: int = 1
    ) -> None:
        self.address = address
        self.keepalive_s = keepalive_s
        self.silent_limit = silent_limit
        self._silent_in_a_row = 0
        self._idle: list[ClientConnection] = []
        self._busy: set[ClientConnection] = set()

    def set_address(self, address: str) -> None:
        """Send later requests to another `IP:port`."""
        if address != self.address:
            self.address = address
            self._close_idle()

    async def request(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] = NO_HEADERS,
        silence_s: float,
    ) -> tuple[int, bytes]:
        """Send a request and return the status code and the body of the response.

        Args:
            method: The HTTP method.
            target: Path and query.
            body: Body of the request.
            headers: Further headers.
            silence_s: How long the service may send nothing, in seconds. A transfer
                that makes progress is not limited, so that a large response also
                arrives over a slow link.

        Raises:
            OSError: Without a response (also TimeoutError, a subclass). The service may
                have carried out the request.
        """
        data = self._encode(method, target, body, headers)
        connection = self._take_idle()
        if connection is not None:
            try:
                return await self._exchange(connection, data, silence_s)
            except ConnectionError:
                # The service may close an idle connection at any time. A request that
                # changes nothing is sent again on a new connection.
                if method != "GET" or connection.response_started:
                    raise
        return await self._exchange(await self._connect(), data, silence_s)

    async def _exchange(
        self, connection: ClientConnection, data: bytes, silence_s: float
    ) -> tuple[int, bytes]:
        self._busy.add(connection)
        sent_s = connection.loop.time()
        try:
            result = await connection.send(data, silence_s)
        except TimeoutError:
            # Connections fall silent together, and only a timeout shows it: idle ones
            # would cost one timeout after the other.
            if not self._heard_since(sent_s):
                self._silent_in_a_row += 1
                if self._silent_in_a_row >= self.silent_limit:
                    self._close_idle()
            raise
        except BaseException:
            connection.abort(ConnectionAbortedError("request abandoned"))
            raise
        finally:
            self._busy.discard(connection)
        self._silent_in_a_row = 0
        if not connection.closed:
            self._idle.append(connection)
        return result

    def _heard_since(self, sent_s: float) -> bool:
        """Whether a connection that was open at a time has given a sign of life since.

        The service then leaves a single request unanswered.
        """
        return any(
            connection.opened_s < sent_s < connection.data_s
            for connection in (*self._idle, *self._busy)
        )

    async def _connect(self) -> ClientConnection:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        # `wait_for` of Python 3.11 may lose a cancellation when the connecting ends.
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                ClientConnection, host, int(port)
            )
        return connection

    def _take_idle(self) -> ClientConnection | None:
        oldest_s = asyncio.get_running_loop().time() - self.keepalive_s
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed and connection.idle_since_s >= oldest_s:
                return connection
            connection.abort(ConnectionAbortedError("idle connection expired"))
        return None

    def _encode(
        self, method: str, target: str, body: bytes, headers: Mapping[str, str]
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def _close_idle(self) -> None:
        for connection in self._idle:
            connection.abort(ConnectionAbortedError("client closed"))
        self._idle.clear()

    async def close(self) -> None:
        """Close all connections; requests in flight fail."""
        self._close_idle()
        for connection in list(self._busy):
            connection.abort(ConnectionAbortedError("client closed"))
