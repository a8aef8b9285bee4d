"""Constants, HTTP server and HTTP client of the stand-ins; standard library only."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
ZONES = ("perth", "stirling", "dundee")
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
RECORD_BYTES = 262_144
PARTS = 16
HELD, BROKEN, UNUSABLE = 0, 1, 2

Answer = tuple[int, bytes] | None
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]


def now_ms() -> int:
    """Return the steady clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def free_port(ip: str) -> int:
    """Return a free port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def body_of(content: Any) -> bytes:
    """Return JSON."""
    return json.dumps(content).encode()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return head[0], headers, await reader.readexactly(size)


class Server:
    """HTTP/1.1 server on loopback.

    `silent` holds back all answers; `close` resets what is open and listens no more.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.silent = False
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, ip: str, port: int = 0) -> str:
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def reset_all(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                if self.silent:
                    continue
                answer = await self.handler(method, target, headers, body)
                if answer is None or self.silent:
                    continue
                status, content = answer
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(
    address: str, method: str, path: str, body: Any, limit_s: float
) -> tuple[int, Any]:
    """Send one request on a channel of its own; return status and content.

    Raises:
        OSError: If the channel breaks, or there is no answer in time.
    """

    async def exchange() -> tuple[int, Any]:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = b"" if body is None else body_of(body)
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            head += "Content-Type: application/json\r\nConnection: close\r\n"
            head += f"X-Catkincross-Deadline-Ms: {int(limit_s * 1_000)}\r\n"
            head += f"Content-Length: {len(content)}\r\n\r\n"
            writer.write(head.encode() + content)
            line, _, answer = await read_message(reader)
            text = answer.decode("utf-8", "replace")
            try:
                parsed = json.loads(text) if text else None
            except ValueError:
                parsed = text
            return int(line.split()[1]), parsed
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit_s + 0.2)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("channel ended") from error
