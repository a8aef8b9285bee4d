"""Tests of the operators' declarations as the platform's store keeps them."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from catkincross.platform import DeclaredFeed
from catkincross.platform._store import ReadResult

GOOD = {
    "version": 3,
    "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "service": "s"}],
    "services": [{"name": "s"}],
}


class Store:
    """A store whose newest records are given."""

    def __init__(self, records: list[tuple[str, bytes]]) -> None:
        self.records = records

    async def newest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return no record; all come by reading."""
        return {}, 0

    async def read(self, topic: str, part: int, start: int, *, wait_ms: int) -> Any:
        """Return the records from an offset."""
        rows = [bytes([len(k)]) + k.encode() + v for k, v in self.records]
        return ReadResult(len(rows), 0, rows[start:])


def followed(records: list[tuple[str, bytes]]) -> DeclaredFeed:
    """Return a feed that has read some records."""
    feed = DeclaredFeed(Store(records), 2_000)

    async def run() -> None:
        await feed.follow()
        await feed.follow()

    asyncio.run(run())
    return feed


@pytest.mark.parametrize(
    "bad",
    [b"\xff\x00", b"[]", b"{}", b'{"version": 9, "routes": 1, "services": []}', b"3"],
)
def test_a_record_that_cannot_be_read_leaves_the_configuration(bad: bytes) -> None:
    """The process ended, and its restart read the same record again."""
    feed = followed([("config", orjson.dumps(GOOD)), ("config", bad)])
    assert feed.declared.version == 3
    assert len(feed.unread) == 1


def test_records_of_unknown_keys_are_passed_over() -> None:
    """The operators may declare what the product does not know."""
    rows = [("wave/1", b"{}"), ("evacuate/perth", b"{}")]
    rows += [("config", orjson.dumps(GOOD)), ("evacuate/perth", b"")]
    feed = followed(rows)
    assert feed.declared.version == 3
    assert feed.declared.evacuated == frozenset()
    assert feed.unread == []
