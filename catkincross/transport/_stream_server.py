"""Server side of streams between processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc

from ..foundation._ids import agent_process, entry_process
from ..protocol._effects import Connected, Disconnected, Received
from ..protocol._messages import AgentHello, Message, PeerHeartbeat
from ..protocol._wire import decode_frame, encode_frame
from ._outbox import Outbox, OutboxFullError

PROCESS_METADATA = "catkincross-process-bin"
# Present if the server confirms a registered stream by an empty frame. Servers of
# earlier versions do not.
CONFIRMS_METADATA = "catkincross-confirms-bin"


def caller_process(first_messages: list[Message]) -> str:
    """Return the caller's process name; an empty string if the first message has none.

    Args:
        first_messages: Messages of the first frame of a stream.
    """
    match first_messages[:1]:
        case [AgentHello(agent=agent)]:
            return agent_process(agent.name)
        case [PeerHeartbeat(sender=sender)]:
            return entry_process(sender.name)
    return ""


class StreamServicer:
    """Accepts streams and posts their messages to the core's inbox.

    Args:
        process: Process name of this process, sent to each caller.
        post: Puts an item into the core's inbox.

    Attributes:
        outboxes: Outbox of each open stream, by the caller's process name.
    """

    def __init__(self, process: str, post: Callable[[Any], None]) -> None:
        self.process = process
        self.post = post
        self.outboxes: dict[str, Outbox] = {}
        self._streams: dict[str, asyncio.Task[Any]] = {}

    async def Stream(self, request_iterator: Any, context: Any) -> None:
        """Serve one stream until either side ends it."""
        # A caller sends its first message only after it has read the name of this
        # process. A stream that it rejects therefore does not replace its open one.
        await context.send_initial_metadata(
            ((PROCESS_METADATA, self.process.encode()), (CONFIRMS_METADATA, b"1"))
        )
        first_frame = await context.read()
        if first_frame is grpc.aio.EOF:
            return
        first_messages = decode_frame(first_frame)
        caller = caller_process(first_messages)
        if not caller:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, "the first message names no process"
            )
        outbox = self._register_stream(caller)
        # More messages may follow in the first frame.
        for message in first_messages[1:]:
            self.post(Received(caller, message))
        writer = asyncio.create_task(_write(context, outbox))
        reader = asyncio.create_task(self._read(caller, context))
        try:
            done, _ = await asyncio.wait(
                {reader, writer}, return_when=asyncio.FIRST_COMPLETED
            )
            if reader in done and not reader.exception():
                outbox.close()
                await writer
        finally:
            reader.cancel()
            writer.cancel()
            self._unregister_stream(caller, outbox)

    def _register_stream(self, caller: str) -> Outbox:
        previous = self._streams.get(caller)
        if previous is not None:
            self._unregister_stream(caller, self.outboxes[caller])
            previous.cancel()
        outbox = Outbox()
        self.outboxes[caller] = outbox
        task = asyncio.current_task()
        assert task is not None
        self._streams[caller] = task
        if caller.startswith("agent/"):
            self.post(Connected(caller))
        return outbox

    def _unregister_stream(self, caller: str, outbox: Outbox) -> None:
        if self.outboxes.get(caller) is not outbox:
            return
        del self.outboxes[caller]
        del self._streams[caller]
        # For a peer entry, only the stream that this entry opened is reported.
        if caller.startswith("agent/"):
            self.post(Disconnected(caller))

    async def _read(self, caller: str, context: Any) -> None:
        while True:
            frame = await context.read()
            if frame is grpc.aio.EOF:
                return
            for message in decode_frame(frame):
                self.post(Received(caller, message))

    def close(self) -> None:
        """End each stream once its waiting messages are written."""
        for outbox in self.outboxes.values():
            outbox.close()


async def _write(context: Any, outbox: Outbox) -> None:
    # Messages to the caller are dropped until its stream is registered, so the caller
    # takes the stream as open only once it has received this empty frame.
    await context.write(encode_frame([]))
    while True:
        try:
            messages = await outbox.take_frame()
        except OutboxFullError:
            return
        if not messages:
            return
        await context.write(encode_frame(messages))
