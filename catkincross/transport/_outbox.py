"""Bounded queue of messages for one stream."""

from __future__ import annotations

import asyncio
from collections import deque

from ..protocol._messages import Message

MAX_MESSAGES = 20_000
MAX_FRAME_MESSAGES = 256


class OutboxFullError(Exception):
    """The reader of a stream is too slow; the stream must be broken."""


class Outbox:
    """Messages that wait to be written to a stream.

    No message is dropped while the stream stays open: the cores repeat what
    matters only after a stream has opened again.
    """

    def __init__(self) -> None:
        self._messages: deque[Message] = deque()
        self._changed = asyncio.Event()
        self.closed = False
        self.overflowed = False

    def put(self, message: Message) -> None:
        """Add a message; too many of them make `take` fail."""
        if self.closed:
            return
        if len(self._messages) >= MAX_MESSAGES:
            self.overflowed = True
        else:
            self._messages.append(message)
        self._changed.set()

    def close(self) -> None:
        """Take no more messages; those that wait are still written."""
        self.closed = True
        self._changed.set()

    async def take_frame(self) -> list[Message]:
        """Wait for messages and return those of one frame.

        Returns:
            Messages in order, or an empty list when closed and empty.

        Raises:
            OutboxFullError: If a message did not fit.
        """
        while not self._messages and not self.closed and not self.overflowed:
            self._changed.clear()
            await self._changed.wait()
        if self.overflowed:
            raise OutboxFullError
        count = min(len(self._messages), MAX_FRAME_MESSAGES)
        return [self._messages.popleft() for _ in range(count)]
