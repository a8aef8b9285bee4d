"""ASGI server for one address on the loop of the process."""

from __future__ import annotations

import asyncio
import http
import socket
from collections import deque
from typing import Any

import attrs
import httptools

from ..foundation._listening import BACKLOG, bind_to

# Largest body of a request; larger ones are refused with 413 while they arrive.
MAX_BODY_BYTES = 8_388_608
# Largest size of the URL and the headers of a request together.
MAX_HEAD_BYTES = 65_536
# Requests of one connection that wait for the answer to an earlier one; while there
# are this many, the connection is not read.
MAX_PIPELINED = 16
# A connection without a request for this long is closed, in seconds.
KEEPALIVE_S = 75.0
# Interval at which idle connections are looked for, in seconds.
IDLE_CHECK_S = 15.0


@attrs.define(eq=False)
class ParsedRequest:
    """A request as it is read from a connection.

    Attributes:
        target: Path and query as sent.
        headers: Names in lower case, and values.
        body: Parts of the body.
        body_bytes: Bytes of the body so far.
        head_bytes: Bytes of the target and the headers so far.
        method: The HTTP method.
        keep_alive: Whether the connection stays open after the response.
    """

    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    body: list[bytes] = attrs.field(factory=list)
    body_bytes: int = 0
    head_bytes: int = 0
    method: str = ""
    keep_alive: bool = True

    def scope(self) -> dict[str, Any]:
        """Return the ASGI scope of the request."""
        raw_path, _, query = self.target.partition(b"?")
        path = raw_path.decode("ascii", "replace")
        if "%" in path:
            from urllib.parse import unquote

            path = unquote(path)
        return {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": self.method,
            "scheme": "http",
            "path": path,
            "raw_path": raw_path,
            "query_string": query,
            "headers": self.headers,
        }


class InvalidRequest(Exception):
    """A request that is answered with an error status before an application sees it."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ServerConnection(asyncio.Protocol):
    """A connection from a client; runs the application for one request at a time.

    Args:
        server: Server that accepted the connection.

    Attributes:
        idle_since_s: Loop time since which no request was received or in progress.
        draining: Whether the connection takes no further requests and is closed once
            those that it has read are answered.
        closing: Whether the connection is being closed.
    """

    def __init__(self, server: AsgiServer) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.idle_since_s = self.loop.time()
        self.draining = False
        self.closing = False
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = ParsedRequest()
        self._queue: deque[ParsedRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._disconnected = self.loop.create_future()
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def busy(self) -> bool:
        """Whether a request is in progress or waits."""
        return self._task is not None or bool(self._queue)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection at its server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the application in progress that the client has left."""
        self.closing = True
        self._queue.clear()
        self._writable.set()
        self.server.connections.discard(self)
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    def eof_received(self) -> None:
        """Close the connection, as asyncio does by default."""

    def pause_writing(self) -> None:
        """Make responses wait until the client has read more."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Continue to write."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse requests; answer invalid ones with an error and close."""
        if self.closing or self.draining:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._refuse(cause.status if isinstance(cause, InvalidRequest) else 400)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = ParsedRequest()

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._request.target += url
        self._add_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._request.headers.append((name.lower(), value))
        self._add_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        """Let a client that waits before it sends the body go on."""
        self._request.method = self._parser.get_method().decode("ascii")
        if (b"expect", b"100-continue") in self._request.headers:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._request.body.append(body)
        self._request.body_bytes += len(body)
        if self._request.body_bytes > MAX_BODY_BYTES:
            raise InvalidRequest(413)

    def on_message_complete(self) -> None:
        """Run the application for the request once earlier ones are answered."""
        self._request.keep_alive = self._parser.should_keep_alive()
        self._queue.append(self._request)
        if len(self._queue) >= MAX_PIPELINED and self._transport is not None:
            self._transport.pause_reading()
        self._run_next()

    def _add_head(self, size: int) -> None:
        self._request.head_bytes += size
        if self._request.head_bytes > MAX_HEAD_BYTES:
            raise InvalidRequest(431)

    def _run_next(self) -> None:
        if self._task is None and self._queue and not self.closing:
            request = self._queue.popleft()
            self._task = self.loop.create_task(self._answer(request))

    async def _answer(self, request: ParsedRequest) -> None:
        response = Response(self, request)
        try:
            await self.server.app(request.scope(), response.receive, response.send)
        except Exception as error:
            self.server.report_error(request, error)
        finally:
            if not response.complete and not self._disconnected.done():
                response.fail()
            self._task = None
            self.idle_since_s = self.loop.time()
            if not response.keep_alive or self.draining and not self._queue:
                self.close()
            elif self._transport is not None:
                self._transport.resume_reading()
                self._run_next()

    def close(self) -> None:
        """Close the connection when what was written is sent."""
        self.closing = True
        if self._transport is not None:
            self._transport.close()

    def close_after_response(self) -> None:
        """Close the connection after the responses that are due."""
        self.draining = True
        if not self.busy:
            self.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.closing = True
        if self._transport is not None:
            self._transport.abort()

    def _refuse(self, status: int) -> None:
        # A client with earlier requests gets their answers and a closed connection.
        if not self.busy:
            self._write(encode_head(status, [(b"connection", b"close")], 0))
        self.close_after_response()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def write(self, data: bytes) -> None:
        """Write a part of a response, and wait while the client reads too slowly."""
        self._write(data)
        await self._writable.wait()

    async def wait_disconnected(self) -> None:
        """Wait until the client has closed the connection."""
        await asyncio.shield(self._disconnected)


class Response:
    """ASGI channel of one request.

    Args:
        connection: Connection of the request.
        request: The request.

    Attributes:
        complete: Whether the whole response was written.
        keep_alive: Whether the connection stays open after the response.
    """

    def __init__(self, connection: ServerConnection, request: ParsedRequest) -> None:
        self.connection = connection
        self.request = request
        self.complete = False
        self.keep_alive = request.keep_alive
        self._body_received = False
        self._start: dict[str, Any] | None = None
        self._head_written = False

    async def receive(self) -> dict[str, Any]:
        """Return the body of the request first, then wait for the disconnect."""
        if not self._body_received:
            self._body_received = True
            body = b"".join(self.request.body)
            return {"type": "http.request", "body": body, "more_body": False}
        await self.connection.wait_disconnected()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        """Write a part of the response."""
        if message["type"] == "http.response.start":
            self._start = message
            return
        body = message.get("body", b"")
        more = message.get("more_body", False)
        if not self._head_written:
            body = self._take_head(None if more else len(body)) + body
        if not more:
            self.complete = True
        await self.connection.write(body)

    def _take_head(self, length: int | None) -> bytes:
        assert self._start is not None
        self._head_written = True
        headers = list(self._start.get("headers", ()))
        names = {name.lower() for name, _ in headers}
        if b"content-length" in names:
            length = None
        elif length is None:
            # The end of the connection ends a body of unknown length.
            self.keep_alive = False
        if (b"connection", b"close") in headers:
            self.keep_alive = False
        elif not self.keep_alive or self.connection.draining:
            self.keep_alive = False
            headers.append((b"connection", b"close"))
        return encode_head(self._start["status"], headers, length)

    def fail(self) -> None:
        """End a response that the application did not complete."""
        self.keep_alive = False
        if not self._head_written:
            self.connection._write(
                encode_head(500, [(b"connection", b"close")], length=0)
            )


def encode_head(
    status: int, headers: list[tuple[bytes, bytes]], length: int | None
) -> bytes:
    """Return the status line and the headers; `length` adds a `Content-Length`."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    lines = [f"HTTP/1.1 {status} {phrase}".encode("ascii")]
    lines.extend(name + b": " + value for name, value in headers)
    if length is not None:
        lines.append(b"content-length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class AsgiServer:
    """Serves an ASGI application on one address.

    Args:
        app: The application.
        address: `IP:port`; with port 0 the system chooses a free port.
        listening_socket: Socket that already listens on the address; None to open one.
        on_error: Called with the method, the target and the exception of a request
            whose application failed; the client gets 500. None for no callback.

    Attributes:
        address: `IP:port` with the actual port.
        connections: Open connections.
    """

    def __init__(
        self,
        app: Any,
        address: str,
        *,
        listening_socket: socket.socket | None = None,
        on_error: Any = None,
    ) -> None:
        self.app = app
        self.on_error = on_error
        self._socket = listening_socket or bind_to(address)
        host = address.rpartition(":")[0]
        self.address = f"{host}:{self._socket.getsockname()[1]}"
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._idle_check: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen on the socket and serve requests."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=self._socket, backlog=BACKLOG
        )
        self._idle_check = loop.call_later(IDLE_CHECK_S, self._close_idle)

    def report_error(self, request: ParsedRequest, error: Exception) -> None:
        """Pass on an error of the application; the server goes on."""
        if self.on_error is not None:
            self.on_error(request.method, request.target, error)

    def _close_idle(self) -> None:
        loop = asyncio.get_running_loop()
        oldest_s = loop.time() - KEEPALIVE_S
        for connection in list(self.connections):
            if not connection.busy and connection.idle_since_s < oldest_s:
                connection.close()
        self._idle_check = loop.call_later(IDLE_CHECK_S, self._close_idle)

    async def stop(self, timeout_s: float) -> None:
        """Stop accepting connections and wait for running requests to finish.

        Args:
            timeout_s: Time for running requests, in seconds. Connections that are
                still open then are aborted.
        """
        if self._server is None:
            return
        self._server.close()
        if self._idle_check is not None:
            self._idle_check.cancel()
        for connection in list(self.connections):
            connection.close_after_response()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self.connections and loop.time() < deadline_s:
            await asyncio.sleep(min(0.02, timeout_s))
        for connection in list(self.connections):
            connection.abort()
