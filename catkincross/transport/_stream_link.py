"""Client side of a stream to one process, with reconnection."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Protocol

import grpc

from ..foundation._background import spawn
from ..protocol._messages import Message
from ..protocol._wire import decode_frame, encode_frame
from ..wire_pb import catkincross_pb2_grpc as pb_grpc
from ._outbox import Outbox, OutboxFullError
from ._stream_server import CONFIRMS_METADATA, PROCESS_METADATA

OPEN_TIMEOUT_S = 3.0
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000


class LinkOwner(Protocol):
    """Provides the channels of links and handles their messages and state changes."""

    def make_hello(self) -> Message:
        """Return the first message of a stream, which names this process."""

    def channel(self, address: str) -> grpc.aio.Channel:
        """Return a new channel to an address."""

    def reserve_process(self, link: Link, process: str) -> bool:
        """Reserve the stream to a process for a link; return False to reject it."""

    def link_opened(self, link: Link) -> None:
        """Handle a reserved stream on which messages can be exchanged."""

    def link_closed(self, link: Link, refused: bool) -> None:
        """Handle a stream that ended or could not be opened.

        Args:
            link: Link of the stream.
            refused: Whether the address refused the connection.
        """

    def link_received(self, link: Link, messages: list[Message]) -> None:
        """Handle messages that were received from the stream."""


class Link:
    """Keeps a stream to an address open until closed.

    Args:
        owner: Handles messages and state changes, and provides channels.
        process: Expected process name; an empty string accepts any process.
        address: `IP:port`.
        rng: Source of the retry jitter.

    Attributes:
        process: Name of the process at the address: the expected name, or after a
            stream was open, the name that the server gave.
        outbox: Messages to write; None while no stream is open.
        closing: Whether `close` was called.
        announced: Whether the stream was reported as open.
    """

    def __init__(
        self, owner: LinkOwner, process: str, address: str, rng: random.Random
    ) -> None:
        self.owner = owner
        self.process = process
        self.address = address
        self.rng = rng
        self.outbox: Outbox | None = None
        self.closing = False
        self.announced = False
        self.task = spawn(self._run())

    def __repr__(self) -> str:
        return f"<Link to {self.process or '?'} at {self.address}>"

    def close(self) -> None:
        """End the stream once waiting messages are written, and do not reopen it."""
        self.closing = True
        if self.outbox is not None:
            self.outbox.close()
        else:
            self.task.cancel()

    async def _run(self) -> None:
        backoff_ms = FIRST_BACKOFF_MS
        while not self.closing:
            refused, was_open = await self._run_stream()
            self.owner.link_closed(self, refused)
            if self.closing:
                return
            backoff_ms = FIRST_BACKOFF_MS if was_open else backoff_ms * 2
            backoff_ms = min(backoff_ms, MAX_BACKOFF_MS)
            await asyncio.sleep(backoff_ms * self.rng.uniform(0.5, 1.0) / 1_000)

    async def _run_stream(self) -> tuple[bool, bool]:
        """Open a stream and exchange messages until it ends.

        Returns:
            Whether the address refused the connection, and whether a stream was open.
        """
        was_open = False
        async with self.owner.channel(self.address) as channel:
            call = pb_grpc.ExchangeStub(channel).Stream()
            try:
                async with asyncio.timeout(OPEN_TIMEOUT_S):
                    was_open = await self._open_stream(call)
                if was_open and self.outbox is not None:
                    self.owner.link_opened(self)
                    await self._exchange(call, self.outbox)
            except grpc.aio.AioRpcError as error:
                return is_connection_refused(error), was_open
            except (TimeoutError, OutboxFullError, asyncio.InvalidStateError):
                return False, was_open
            finally:
                self.outbox = None
                call.cancel()
        return False, was_open

    async def _open_stream(self, call: Any) -> bool:
        """Name this process to the server, and wait until it has the stream.

        Returns:
            False if this process rejects the stream or the server ended it.
        """
        metadata = dict(await call.initial_metadata())
        server_process = metadata.get(PROCESS_METADATA, b"").decode()
        if not server_process:
            # Without a connection the metadata is empty, and `read` raises the cause.
            await call.read()
        self.outbox = Outbox()
        self.outbox.put(self.owner.make_hello())
        if not self._accept_server(server_process):
            return False
        if CONFIRMS_METADATA not in metadata:
            return True
        await call.write(encode_frame(await self.outbox.take_frame()))
        return await call.read() is not grpc.aio.EOF

    def _accept_server(self, server_process: str) -> bool:
        # Another process may have taken over the address since it was published.
        if not server_process or self.process not in ("", server_process):
            return False
        return self.owner.reserve_process(self, server_process)

    async def _exchange(self, call: Any, outbox: Outbox) -> None:
        writer = asyncio.create_task(_write(call, outbox))
        reader = asyncio.create_task(self._read(call))
        try:
            await asyncio.wait({reader, writer}, return_when=asyncio.FIRST_COMPLETED)
            if writer.done():
                writer.result()
            # After the last write, the server ends the stream as soon as it has
            # received everything.
            await reader
        finally:
            reader.cancel()
            writer.cancel()

    async def _read(self, call: Any) -> None:
        while True:
            frame = await call.read()
            if frame is grpc.aio.EOF:
                return
            self.owner.link_received(self, decode_frame(frame))


async def _write(call: Any, outbox: Outbox) -> None:
    while messages := await outbox.take_frame():
        await call.write(encode_frame(messages))
    await call.done_writing()


def is_connection_refused(error: grpc.aio.AioRpcError) -> bool:
    """Return whether the address refused the connection: no process listens there."""
    details = (error.details() or "").lower()
    return (
        error.code() is grpc.StatusCode.UNAVAILABLE and "connection refused" in details
    )
