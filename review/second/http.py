"""HTTP/1.1 for the stand-ins: a small server, and a client with one call a connection.

Bodies have a length; chunked bodies are not needed by the programs under test.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Any]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], Any]:
    """Return the first line, the headers in lower case, and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """HTTP server; `handler` returns a status and a JSON value, or bytes."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen on `IP:port`."""
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = dict(parse_qsl(url.query, keep_blank_values=True))
                status, content = await self.handler(
                    method, url.path, query, headers, body
                )
                kind = "application/octet-stream"
                if not isinstance(content, bytes):
                    content, kind = json.dumps(content).encode(), "application/json"
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, Any]:
    """Make a call on a connection of its own.

    Returns:
        The status and the JSON value of the answer; 0 and None without an answer.
    """
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
    fields = {"Host": address, "Content-Type": "application/json"} | (headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]

    async def ask() -> tuple[int, Any]:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            first, _, content = await read_message(reader)
            try:
                return int(first.split()[1]), json.loads(content or b"null")
            except ValueError:
                return int(first.split()[1]), None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(ask(), timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
