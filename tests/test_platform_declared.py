"""Tests of reading the operators' declarations from the platform's store."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest

from catkincross.clock import SystemClock
from catkincross.jobs import QueuePolicy
from catkincross.operations import Declarations, Queue
from catkincross.platform import DeclarationFeed, _declared
from catkincross.platform._declared import read_config
from catkincross.platform._store import ReadResult

VALID_CONFIG = {
    "version": 3,
    "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "service": "s"}],
    "services": [{"name": "s"}],
}


class FakeStore:
    """A store whose topic of declarations holds the given keys and values."""

    def __init__(self, records: list[tuple[str, bytes]]) -> None:
        self.records = records
        # Number of records, from the first on, that `read_latest` covers, and of those
        # that a read returns.
        self.latest = 0
        self.page = 1_000

    async def read_latest(self, topic: str) -> tuple[dict[str, bytes], int]:
        """Return no values at first, so that all records come from `read`."""
        return dict(self.records[: self.latest]), self.latest

    async def read(
        self, topic: str, partition: int, offset: int, *, wait_ms: int
    ) -> Any:
        """Return the records from an offset on."""
        encoded = [bytes([len(k)]) + k.encode() + v for k, v in self.records]
        return ReadResult(len(encoded), 0, encoded[offset : offset + self.page])


def feed_after_reading(records: list[tuple[str, bytes]]) -> DeclarationFeed:
    """Return a feed that has read the records."""
    feed = DeclarationFeed(FakeStore(records), 2_000, SystemClock())

    async def run() -> None:
        await feed.poll()
        await feed.poll()

    asyncio.run(run())
    return feed


@pytest.mark.parametrize(
    "bad",
    [b"\xff\x00", b"[]", b"{}", b'{"version": 9, "routes": 1, "services": []}', b"3"],
)
def test_an_invalid_record_leaves_the_configuration_in_force(bad: bytes) -> None:
    """An invalid record ended the process, and its restart read the record again."""
    feed = feed_after_reading([("config", orjson.dumps(VALID_CONFIG)), ("config", bad)])
    assert feed.declarations.version == 3
    assert len(feed.decode_errors) == 1


def test_superseded_configurations_are_not_decoded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Decoding 1,200 queues for each version delays requests and the newest version.

    Several versions arrive in one read after a quick succession of changes, or after a
    time in which the store gave no answer.
    """
    versions: list[int] = []

    def read_and_record(value: bytes) -> Declarations:
        declarations = read_config(value)
        versions.append(declarations.version)
        return declarations

    monkeypatch.setattr(_declared, "read_config", read_and_record)
    records = [
        ("config", orjson.dumps(VALID_CONFIG | {"version": version}))
        for version in range(3, 9)
    ]
    feed = feed_after_reading([*records, ("config", b"invalid")])
    assert feed.declarations.version == 8
    assert versions == [8]
    assert len(feed.decode_errors) == 1


def test_a_feed_that_is_behind_skips_superseded_records() -> None:
    """It read megabytes of old versions, oldest first, before the newest one."""
    records = [
        ("config", orjson.dumps(VALID_CONFIG | {"version": version}))
        for version in range(3, 40)
    ]
    store = FakeStore(records)
    feed = DeclarationFeed(store, 2_000, SystemClock())

    async def run() -> None:
        await feed.poll()
        store.page, store.latest = 2, len(records)
        await feed.poll()
        await feed.poll()

    asyncio.run(run())
    assert feed.declarations.version == 39


@pytest.mark.parametrize(
    "change",
    [
        {"version": True},
        {"version": "9"},
        {"version": 9.5},
        *(
            {"routes": [VALID_CONFIG["routes"][0] | {field: value}]}
            for field, value in {
                "name": 1,
                "host": None,
                "path_prefix": 7,
                "service": ["s"],
                "priority": "high",
                "max_attempts": "3",
                "stretch": "1.6",
                "slo_ms": "60",
                "timeout_ms": "1500",
            }.items()
        ),
        {"services": [{"name": 4}]},
        {"services": [{"name": "s", "rejects_overload": "no"}]},
        {"services": [{"name": "s", "standby": 1}]},
        {"limits": {"max_body_bytes": "many"}},
    ],
)
def test_a_field_of_the_wrong_type_leaves_the_configuration_in_force(
    change: dict[str, Any],
) -> None:
    """Fields that were only copied were taken as they came, and failed when used."""
    changed = VALID_CONFIG | {"version": 9} | change
    records = [
        ("config", orjson.dumps(VALID_CONFIG)),
        ("config", orjson.dumps(changed)),
    ]
    feed = feed_after_reading(records)
    assert feed.declarations.version == 3
    assert len(feed.decode_errors) == 1


def test_records_with_unknown_keys_are_ignored() -> None:
    """Operators may declare keys that the dispatcher does not know; others apply."""
    records = [("wave/1", b"{}"), ("evacuate/perth", b"{}")]
    records += [("config", orjson.dumps(VALID_CONFIG)), ("evacuate/perth", b"")]
    feed = feed_after_reading(records)
    assert feed.declarations.version == 3
    assert feed.declarations.evacuated == frozenset()
    assert feed.decode_errors == []


def test_the_longest_prefix_of_a_host_selects_the_queue() -> None:
    """A search through 1,200 queues slowed each request."""
    policy = QueuePolicy("q", "s")
    queues = [
        Queue("one.example", "/a/", policy, 0),
        Queue("two.example", "/a/b/", policy, 0),
        Queue("one.example", "/a/b/", policy, 0),
    ]
    declarations = Declarations()
    assert declarations.apply(Declarations(1, queues))
    assert declarations.queue_for("one.example", "/a/b/1") is queues[2]
    assert declarations.queue_for("one.example", "/a/1") is queues[0]
    assert declarations.queue_for("two.example", "/a/1") is None
    assert declarations.queue_for("three.example", "/a/b/1") is None
    assert declarations.apply(Declarations(2, queues[:1]))
    assert declarations.queue_for("one.example", "/a/b/1") is queues[0]
    assert declarations.queue_for("two.example", "/a/b/1") is None


def copy_of(version: int, *evacuated: str) -> dict[str, bytes]:
    """Return the declarations that another entry hands over."""
    values = {f"evacuate/{data_centre}": b"{}" for data_centre in evacuated}
    return {"config": orjson.dumps(VALID_CONFIG | {"version": version}), **values}


def test_an_older_copy_of_another_entry_changes_nothing() -> None:
    """A copy that was on its way for long took evacuations back."""
    feed = feed_after_reading([("config", orjson.dumps(VALID_CONFIG))])
    assert feed.take_copy(4, copy_of(7, "perth"))
    assert not feed.take_copy(3, copy_of(5))
    assert not feed.take_copy(4, copy_of(7))
    assert feed.declarations.version == 7
    assert feed.declarations.evacuated == {"perth"}


def test_records_that_another_entry_has_handed_over_are_not_read_again() -> None:
    """A read in flight meanwhile counted them twice, and skipped later ones."""
    records = [("config", orjson.dumps(VALID_CONFIG))]
    store = FakeStore(records)
    feed = DeclarationFeed(store, 2_000, SystemClock())
    read = store.read

    async def read_late(*args: Any, **options: Any) -> Any:
        records.append(("evacuate/perth", b"{}"))
        records.append(("evacuate/dundee", b"{}"))
        answer = await read(*args, **options)
        # The evacuation of perth has ended before the copy was made.
        feed.take_copy(4, copy_of(7, "dundee"))
        return answer

    async def run() -> None:
        await feed.poll()
        store.read = read_late
        await feed.poll()
        store.read = read
        records.append(("evacuate/perth", b""))
        records.append(("evacuate/stirling", b"{}"))
        await feed.poll()

    asyncio.run(run())
    assert feed.declarations.evacuated == {"dundee", "stirling"}
    assert feed.freshness.offset == 5


def test_a_copy_holds_what_was_read() -> None:
    """An entry that starts gets all declarations from another one, or none."""
    records = [("config", orjson.dumps(VALID_CONFIG)), ("evacuate/perth", b"{}")]
    records += [("evacuate/dundee", b"{}"), ("evacuate/dundee", b""), ("wave/1", b"{}")]
    feed = feed_after_reading([*records, ("config", b"invalid")])
    other = DeclarationFeed(FakeStore([]), 2_000, SystemClock())
    assert other.take_copy(feed.freshness.offset, feed.values)
    assert other.declarations.version == 3
    assert other.declarations.evacuated == {"perth"}
    assert sorted(feed.values) == ["config", "evacuate/perth"]
