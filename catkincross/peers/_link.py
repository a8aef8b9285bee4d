"""Links between the system's processes: length-prefixed frames over TCP.

A frame is the length of a message as a big-endian integer of four bytes, followed by
the encoded message.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from ._codec import decode_message, encode_message

LENGTH_BYTES = 4
# Largest accepted message; the largest one that occurs is the report of a shard.
MAX_FRAME_BYTES = 8_388_608
# A connection is reset if the peer acknowledges no data for this long. The limit is
# below the contact time of 3,000 ms after which a host counts as unreachable.
TCP_USER_TIMEOUT_MS = 2_000
# A connection is aborted if more bytes than this wait to be sent, since they would use
# up the memory.
MAX_UNSENT_BYTES = 16_777_216


class Link(asyncio.Protocol):
    """A connection to another process of the system.

    Messages that are sent in the same iteration of the event loop are written together.

    Args:
        on_message: Called with the link and each received message.
        on_close: Called once with the link when it has been closed by either side.
        on_error: Called with a description and the exception if a message cannot be
            decoded or handled. The link is closed, and the process goes on.

    Attributes:
        peer: Data about the other process, set by the user of the link; None at first.
        closed: Whether the link has been closed.
        transport: Transport of the connection; None before it is open.
    """

    def __init__(
        self,
        on_message: Callable[[Link, Any], None],
        on_close: Callable[[Link], None],
        on_error: Callable[[str, Exception], None],
    ) -> None:
        self.on_message = on_message
        self.on_close = on_close
        self.on_error = on_error
        self.peer: Any = None
        self.closed = False
        self.transport: asyncio.Transport | None = None
        self._receive_buffer = bytearray()
        self._queued_frames: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options for low latency and early detection of a dead peer."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes, and pass on each complete message.

        The link is closed on a frame that is too long, or on a message that cannot be
        decoded or handled.
        """
        self._receive_buffer += data
        start = 0
        while len(self._receive_buffer) - start >= LENGTH_BYTES and not self.closed:
            length = int.from_bytes(
                self._receive_buffer[start : start + LENGTH_BYTES], "big"
            )
            if length > MAX_FRAME_BYTES:
                self._fail("frame", ValueError(f"frame of {length} bytes"))
                return
            end = start + LENGTH_BYTES + length
            if len(self._receive_buffer) < end:
                break
            try:
                message = decode_message(
                    self._receive_buffer[start + LENGTH_BYTES : end]
                )
            except ValueError as error:
                # The peer runs another version.
                self._fail("frame", error)
                return
            start = end
            try:
                self.on_message(self, message)
            except Exception as error:
                self._fail(type(message).__name__, error)
                return
        del self._receive_buffer[:start]

    def _fail(self, what: str, error: Exception) -> None:
        self.on_error(f"link: {what}", error)
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the link as closed and report it."""
        if not self.closed:
            self.closed = True
            self.on_close(self)

    def send(self, message: Any) -> None:
        """Queue a message for sending; it is dropped if the link is closed."""
        if self.closed or self.transport is None:
            return
        data = encode_message(message)
        if not self._queued_frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._queued_frames.append(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    def close(self) -> None:
        """Write the queued messages, and close the link."""
        if self.closed:
            return
        self._flush()
        self.closed = True
        if self.transport is not None:
            self.transport.close()
        self.on_close(self)

    def _flush(self) -> None:
        if self._queued_frames and self.transport is not None and not self.closed:
            self.transport.write(b"".join(self._queued_frames))
            if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                self.transport.abort()
        self._queued_frames.clear()


async def connect(
    address: str, make_link: Callable[[], Link], timeout_s: float
) -> Link:
    """Open a link to another process.

    Args:
        address: Address of the other process, `IP:port`.
        make_link: Creates the link.
        timeout_s: Time limit in seconds.

    Raises:
        OSError: If the connection fails or is closed again at once, or the address is
            malformed.
        TimeoutError: If the connection is not open within the time limit.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        connecting = loop.create_connection(make_link, host, int(port))
        _, link = await asyncio.wait_for(connecting, timeout_s)
    except (ValueError, OverflowError) as error:
        # Addresses come from other processes; a malformed one must cost the attempt
        # only.
        raise OSError(f"invalid address: {address!r}") from error
    if link.closed:
        # Its end was reported before the caller could know the link.
        raise ConnectionResetError(f"connection to {address} was closed at once")
    return link


async def serve_links(address: str, make_link: Callable[[], Link]) -> asyncio.Server:
    """Accept links from other processes.

    Args:
        address: Address to listen on, `IP:port`.
        make_link: Creates a link for each accepted connection.

    Raises:
        OSError: If the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(make_link, host, int(port), backlog=1_024)
