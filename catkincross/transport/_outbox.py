"""Bounded queue of messages for one stream."""

from __future__ import annotations

import asyncio
from collections import deque

from ..protocol._messages import Message

MAX_MESSAGES = 20_000
MAX_FRAME_MESSAGES = 256


class OutboxFullError(Exception):
    """The receiver of a stream is too slow, so the stream must be closed."""


class Outbox:
    """Messages that are waiting to be written to a stream.

    No message is dropped while the stream stays open, because the cores resend
    essential messages only after a stream was reopened. An overflow therefore ends
    the stream.

    Attributes:
        closed: Whether `close` was called.
        overflowed: Whether a message did not fit.
    """

    def __init__(self) -> None:
        self._messages: deque[Message] = deque()
        self._changed = asyncio.Event()
        self.closed = False
        self.overflowed = False

    def put(self, message: Message) -> None:
        """Add a message, unless closed; an overflow makes `take_frame` raise."""
        if self.closed:
            return
        if len(self._messages) >= MAX_MESSAGES:
            self.overflowed = True
        else:
            self._messages.append(message)
        self._changed.set()

    def close(self) -> None:
        """Accept no more messages; waiting messages are still written."""
        self.closed = True
        self._changed.set()

    async def take_frame(self) -> list[Message]:
        """Wait for messages, then remove and return those of the next frame.

        Returns:
            Messages in order; an empty list once the outbox is closed and empty.

        Raises:
            OutboxFullError: If the outbox has overflowed.
        """
        while not self._messages and not self.closed and not self.overflowed:
            self._changed.clear()
            await self._changed.wait()
        if self.overflowed:
            raise OutboxFullError
        count = min(len(self._messages), MAX_FRAME_MESSAGES)
        return [self._messages.popleft() for _ in range(count)]
