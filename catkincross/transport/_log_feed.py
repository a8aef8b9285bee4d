"""Reads the log for an entry's core and appends the core's records and snapshots."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from typing import Any

from ..foundation._background import spawn
from ..foundation._clock import Clock
from ..protocol._effects import (
    AppendEnded,
    LogGap,
    LogRead,
    LogUnreachable,
    SnapshotEnded,
    SnapshotRead,
)
from ..protocol._records import Record, encode_record
from ._log_client import Accepted, Gap, LogClient, Records, Refused, Unreachable

CONTROL_STREAM = "control"
SNAPSHOT_STREAM = "snapshots"
READ_LIMIT = 1_000
SNAPSHOT_READ_LIMIT = 10
RETRY_MS = 200
MAX_QUEUED_APPENDS = 1_000


class LogFeed:
    """Reads and appends to the control stream and the snapshot stream.

    Args:
        client: Log client; `LogFeed.close` closes it too.
        clock: The process's clock.
        version: Returns the offset of the last record that the core has folded into
            its state.
        post: Puts an item into the core's inbox.
        wait_ms: Longest wait of a read for new records.
        seed: Seed of the retry jitter.
    """

    def __init__(
        self,
        client: LogClient,
        clock: Clock,
        *,
        version: Callable[[], int],
        post: Callable[[Any], None],
        wait_ms: int,
        seed: int,
    ) -> None:
        self.client = client
        self.clock = clock
        self.version = version
        self.post = post
        self.wait_ms = wait_ms
        self.rng = random.Random(seed)
        self._appends: asyncio.Queue[Record] = asyncio.Queue(MAX_QUEUED_APPENDS)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start reading the control stream and appending queued records."""
        self._spawn(self._read_forever())
        self._spawn(self._append_forever())

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = spawn(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def append(self, record: Record) -> None:
        """Queue a record to append; the outcome is posted as `AppendEnded`.

        If the queue is full, the record is refused with the reason `overloaded`.
        """
        try:
            self._appends.put_nowait(record)
        except asyncio.QueueFull:
            self.post(AppendEnded(record.id, None, True, "overloaded"))

    def write_snapshot(self, version: int, body: bytes) -> None:
        """Append a snapshot; the outcome is posted as `SnapshotEnded`."""
        self._spawn(self._write_snapshot(version, body))

    def read_snapshot(self) -> None:
        """Read the newest snapshot and post it as `SnapshotRead`.

        If the stream has no snapshot, version 0 is posted. If the log cannot be read,
        `LogUnreachable` is posted instead.
        """
        self._spawn(self._read_snapshot())

    async def close(self) -> None:
        """Cancel all reads and appends, including queued ones, and close the client."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.client.close()

    async def _read_forever(self) -> None:
        wait_ms = 0
        while True:
            succeeded = await self._read(wait_ms)
            # The first read after a failure does not wait for records, because the
            # core needs it at once as evidence of freshness.
            wait_ms = self.wait_ms if succeeded else 0
            if not succeeded:
                await asyncio.sleep(RETRY_MS * self.rng.uniform(0.5, 1.0) / 1_000)

    async def _read(self, wait_ms: int) -> bool:
        """Read the control stream once, post the outcome, and return its success."""
        asked_ms = self.clock.now_ms()
        outcome = await self.client.read(
            CONTROL_STREAM, self.version() + 1, limit=READ_LIMIT, wait_ms=wait_ms
        )
        match outcome:
            case Records(records, tail, _):
                self.post(LogRead(asked_ms, records, tail))
                # Lets the core fold the records before `version` is read again.
                await asyncio.sleep(0)
                return True
            case Gap(first):
                self.post(LogGap(first))
            case Unreachable():
                self.post(LogUnreachable())
        return False

    async def _append_forever(self) -> None:
        # One append at a time keeps the records in the order of `append` calls.
        while True:
            record = await self._appends.get()
            outcome = await self.client.append(CONTROL_STREAM, encode_record(record))
            match outcome:
                case Accepted(offset):
                    self.post(AppendEnded(record.id, offset, True))
                case Refused(reason):
                    self.post(AppendEnded(record.id, None, True, reason))
                case _:
                    self.post(AppendEnded(record.id, None, False, outcome.reason))

    async def _write_snapshot(self, version: int, body: bytes) -> None:
        record = json.dumps({"version": version, "body": body.decode()}).encode()
        outcome = await self.client.append(SNAPSHOT_STREAM, record)
        self.post(SnapshotEnded(version, isinstance(outcome, Accepted)))

    async def _read_snapshot(self) -> None:
        newest_snapshot = SnapshotRead(0)
        offset = 1
        while True:
            outcome = await self.client.read(
                SNAPSHOT_STREAM, offset, limit=SNAPSHOT_READ_LIMIT, wait_ms=0
            )
            match outcome:
                case Gap(first):
                    offset = first
                case Records(records, tail, _):
                    # A slow writer may have appended an old snapshot after a newer one.
                    for log_record in records:
                        snapshot = json.loads(log_record.body)
                        if snapshot["version"] > newest_snapshot.version:
                            body = snapshot["body"].encode()
                            newest_snapshot = SnapshotRead(snapshot["version"], body)
                    offset += len(records)
                    if offset > tail:
                        self.post(newest_snapshot)
                        return
                case _:
                    self.post(LogUnreachable())
                    return
