"""Helpers of ASGI applications: request bodies, headers and responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

# Largest body of a request that is kept in memory; a process on the platform has as
# little as 160 MB.
MAX_BODY_BYTES = 8_388_608
STOPPING_BODY = b'{"error":"not known in time","detail":"stopping"}'


class ClientDisconnected(Exception):
    """The client closed the connection before its request was answered."""


class BodyTooLarge(Exception):
    """The body of a request exceeds the limit; the rest of it is not read."""


async def read_body(receive: Any, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the body of a request.

    Raises:
        BodyTooLarge: If the body has more than `max_bytes`.
        ClientDisconnected: If the client closed the connection.
    """
    parts = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        part = message.get("body", b"")
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise BodyTooLarge
        parts.append(part)
        if not message.get("more_body", False):
            return b"".join(parts)


async def wait_for_disconnect(receive: Any) -> None:
    """Return when the client has closed its connection; call it after `read_body`."""
    while (await receive())["type"] != "http.disconnect":
        pass


def read_header(scope: dict[str, Any], name: bytes) -> str:
    """Return the value of a header, named in lower case; empty without the header."""
    for header, value in scope["headers"]:
        if header == name:
            return value.decode("latin-1")
    return ""


@attrs.define
class HttpResponse:
    """A complete response.

    Attributes:
        status: Status code.
        body: Body of the response.
        headers: Headers besides the length of the body.
    """

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = attrs.field(factory=dict)

    async def send(self, send: Any) -> None:
        """Send the response on an ASGI channel."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self.headers.items()
        ]
        headers.append((b"content-length", b"%d" % len(self.body)))
        start = {"type": "http.response.start", "status": self.status}
        await send(start | {"headers": headers})
        await send({"type": "http.response.body", "body": self.body})


class ErrorReportingApp:
    """Wraps an ASGI application and reports its unexpected errors.

    Args:
        app: The application. A request whose application fails gets status 500, and
            one that is cancelled since the server stops gets 504.
        on_error: Called with the method, the path and the exception of such a request.
    """

    def __init__(
        self, app: Any, on_error: Callable[[str, str, Exception], None]
    ) -> None:
        self.app = app
        self.on_error = on_error

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Pass on one request."""
        started = False

        async def send_and_record(message: dict[str, Any]) -> None:
            nonlocal started
            started = True
            await send(message)

        try:
            await self.app(scope, receive, send_and_record)
        except asyncio.CancelledError:
            # The server stops and the time for open requests is over. What was asked
            # for may be done, so the status must not tell that it has failed.
            if not started:
                headers = {"content-type": "application/json"}
                await HttpResponse(504, STOPPING_BODY, headers).send(send)
        except Exception as error:
            self.on_error(scope.get("method", ""), scope.get("path", ""), error)
            if started:
                # The server cuts the connection, so that the part that was sent is
                # not taken for a complete response.
                return
            await HttpResponse(500).send(send)
