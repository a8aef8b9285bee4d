"""In-memory log for the demo and for the stand-in of the log service."""

from __future__ import annotations

import asyncio

import attrs

from ..protocol._messages import LogRecord
from ._log_client import Accepted, AppendOutcome, Gap, ReadOutcome, Records


@attrs.define
class Stream:
    """A stream of records with offsets from 1.

    Attributes:
        first: Oldest offset that is kept.
        records: All records that are kept, oldest first.
    """

    first: int = 1
    records: list[LogRecord] = attrs.field(factory=list)

    @property
    def tail(self) -> int:
        """Offset of the last record; `first - 1` if none is kept."""
        return self.first + len(self.records) - 1

    def append(self, body: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.tail + 1
        self.records.append(LogRecord(offset, body))
        return offset

    def read(self, from_offset: int, limit: int = 1_000) -> list[LogRecord] | None:
        """Return up to `limit` records, or None if the one at `from_offset` expired."""
        if from_offset < self.first:
            return None
        start = from_offset - self.first
        return self.records[start : start + limit]

    def expire(self, before: int) -> None:
        """Remove the records with an offset below `before`."""
        expired_count = max(0, min(before, self.tail + 1) - self.first)
        del self.records[:expired_count]
        self.first += expired_count


class EmbeddedLog:
    """A log client with its own in-memory log, for processes on one event loop.

    Attributes:
        streams: Streams by name.
    """

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self._appended = asyncio.Condition()

    def stream(self, name: str) -> Stream:
        """Return a stream; create an empty one if none has this name."""
        return self.streams.setdefault(name, Stream())

    async def append(self, stream: str, record: bytes) -> AppendOutcome:
        """Append a record and wake the reads that wait for it."""
        offset = self.stream(stream).append(record)
        async with self._appended:
            self._appended.notify_all()
        return Accepted(offset)

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records from an offset on; wait up to `wait_ms` if there are none."""
        log_stream = self.stream(stream)
        if log_stream.tail < from_offset and wait_ms:
            try:
                await asyncio.wait_for(
                    self._wait_for_record(log_stream, from_offset), wait_ms / 1_000
                )
            except TimeoutError:
                pass
        records = log_stream.read(from_offset, limit)
        if records is None:
            return Gap(log_stream.first)
        return Records(records, log_stream.tail, log_stream.first)

    async def _wait_for_record(self, log_stream: Stream, from_offset: int) -> None:
        async with self._appended:
            await self._appended.wait_for(lambda: log_stream.tail >= from_offset)

    async def close(self) -> None:
        """Do nothing, because the log outlives its clients."""
