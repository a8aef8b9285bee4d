"""Helpers of ASGI applications: request bodies, headers and responses."""

from __future__ import annotations

from typing import Any

import attrs


class ClientDisconnected(Exception):
    """The client closed the connection before its request was answered."""


async def read_body(receive: Any) -> bytes:
    """Return the body of a request.

    Raises:
        ClientDisconnected: If the client closed the connection.
    """
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnected
        parts.append(message.get("body", b""))
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
