"""Links between the system's processes: frames over TCP."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from ._messages import decode_message, encode_message

LENGTH_BYTES = 4
# A frame holds one message; the largest is a report of a shard.
MAX_FRAME_BYTES = 8_388_608
# A peer that takes no data for this long, in milliseconds, is cut off: below the
# contact time of 3,000 ms after which a host counts as out of touch.
USER_TIMEOUT_MS = 2_000
# Unsent bytes at which a link is given up instead of growing the memory.
MAX_UNSENT_BYTES = 16_777_216


class Link(asyncio.Protocol):
    """One connection to another process of the system.

    Messages written within one turn of the loop leave in one write.

    Args:
        on_message: Is called with the link and each message.
        on_close: Is called once with the link when it has ended.

    Attributes:
        peer: What the owner of the link notes of the other side.
        closed: Whether the link has ended.
    """

    def __init__(
        self,
        on_message: Callable[[Link, Any], None],
        on_close: Callable[[Link], None],
    ) -> None:
        self.on_message = on_message
        self.on_close = on_close
        self.peer: Any = None
        self.closed = False
        self.transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._unsent: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the socket."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and hand on the messages that are complete."""
        self._received += data
        start = 0
        while len(self._received) - start >= LENGTH_BYTES and not self.closed:
            length = int.from_bytes(self._received[start : start + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                self.close()
                return
            end = start + LENGTH_BYTES + length
            if len(self._received) < end:
                break
            try:
                content = decode_message(self._received[start + LENGTH_BYTES : end])
            except ValueError:
                # The peer is of another version; the link is closed, which both log.
                self.close()
                return
            start = end
            self.on_message(self, content)
        del self._received[:start]

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the link."""
        if not self.closed:
            self.closed = True
            self.on_close(self)

    def send(self, content: Any) -> None:
        """Send a message; it is dropped if the link has ended."""
        if self.closed or self.transport is None:
            return
        data = encode_message(content)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    def close(self) -> None:
        """End the link at once."""
        if self.closed:
            return
        self._flush()
        self.closed = True
        if self.transport is not None:
            self.transport.close()
        self.on_close(self)

    def _flush(self) -> None:
        if self._unsent and self.transport is not None and not self.closed:
            self.transport.write(b"".join(self._unsent))
            if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                self.transport.abort()
        self._unsent.clear()


async def connect(address: str, make_link: Callable[[], Link], limit_s: float) -> Link:
    """Open a link.

    Args:
        address: `IP:port` of the other process.
        make_link: Makes the link.
        limit_s: Time limit in seconds.

    Raises:
        OSError: If the process cannot be reached within the limit.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    attempt = loop.create_connection(make_link, host, int(port))
    _, link = await asyncio.wait_for(attempt, limit_s)
    return link


async def serve_links(address: str, make_link: Callable[[], Link]) -> asyncio.Server:
    """Accept links on `IP:port`."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(make_link, host, int(port), backlog=1_024)
