"""Client of the platform's store: a partitioned log with consumer groups."""

from __future__ import annotations

import base64
import enum
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import orjson

from ..http11 import HttpClient
from ..jobs import AppendOutcome
from ._calls import NO_RESPONSE_ERRORS, json_object

T = TypeVar("T")

LENGTH_PREFIX_BYTES = 4
OFFSET_BYTES = 8
# The store answers in 4 ms, and takes 60 times as long (240 ms) while it is slow. The
# limit is on silence: the operators' declarations are large, and over a slow link their
# transfer takes longer.
SILENCE_S = 0.8
MAX_READ_KB = 1_024
# Status codes of calls that the store has not carried out.
TURNED_AWAY_STATUSES = (429, 503)
# Longer than the few seconds between two calls, so that connections are reused.
KEEPALIVE_S = 30.0


class Topic(enum.StrEnum):
    """Topics of the store that the dispatcher uses."""

    JOBS = "jobs"
    # The operators' declarations; written by the platform, read-only here.
    DECLARATIONS = "keyed.op"


@attrs.frozen
class GroupAssignment:
    """Answer to a member that joined a group, or renewed its membership.

    Attributes:
        generation: Generation of the group; rises with each change of its members.
        shards: Partitions assigned to this member.
    """

    generation: int
    shards: list[int]


@attrs.frozen
class ReadResult:
    """Records that a read returned.

    Attributes:
        end: Offset after the last record of the partition.
        first: Offset of the oldest record that the store still keeps.
        records: Contents of the records, starting at the requested offset.
    """

    end: int
    first: int
    records: list[bytes]


@attrs.frozen
class RecordsExpired:
    """Answer to a read whose offset is older than the oldest record kept.

    Attributes:
        first: Offset of the oldest record that the store still keeps.
    """

    first: int


class StoreClient(HttpClient):
    """HTTP client of the store.

    Args:
        address: `IP:port` of the store.

    Attributes:
        calls: Number of calls made so far.
        on_invalid: Called with the path of the call and the error for each answer that
            cannot be read and counts as none; None for no callback.
        on_failure: Called with the path of the call and the reason for each call that
            got no answer or was turned away; None for no callback.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address, keepalive_s=KEEPALIVE_S)
        self.calls = 0
        self.on_invalid: Callable[[str, str], None] | None = None
        self.on_failure: Callable[[str, str], None] | None = None

    async def fence(self, shard: int, epoch: int) -> AppendOutcome:
        """Fence a shard: the store rejects later appends of a lower epoch.

        An append without records sets the epoch.
        """
        return await self.append(shard, epoch, 0, ())

    async def append(
        self, shard: int, epoch: int, sequence: int, records: tuple[bytes, ...]
    ) -> AppendOutcome:
        """Append records to a shard of jobs, all or none of them.

        Appends are idempotent by epoch and sequence: a repeat has no further effect.
        """
        query = {
            "topic": Topic.JOBS,
            "part": shard,
            "producer": "owner",
            "epoch": epoch,
            "seq": sequence,
        }
        body = b"".join(
            len(record).to_bytes(LENGTH_PREFIX_BYTES, "big") + record
            for record in records
        )
        try:
            status, answer = await self._call("POST", "/log-append", query, body)
        except NO_RESPONSE_ERRORS:
            return AppendOutcome.UNKNOWN
        if status == 200:
            return AppendOutcome.APPENDED
        if status == 409 and json_object(answer).get("reason") == "fenced":
            return AppendOutcome.FENCED
        if status in (429, 503, 507):
            return AppendOutcome.NOT_APPENDED
        return AppendOutcome.UNKNOWN

    async def read(
        self, topic: str, partition: int, offset: int, *, wait_ms: int = 0
    ) -> ReadResult | RecordsExpired | None:
        """Read records from an offset on; None if there is no answer, or an error.

        With `wait_ms` the store holds the read for up to that long until there is a
        record.
        """
        query = {
            "topic": topic,
            "part": partition,
            "from": offset,
            "max_kb": MAX_READ_KB,
        }
        if wait_ms:
            query["wait_ms"] = wait_ms
        silence_s = SILENCE_S + wait_ms / 1_000
        try:
            status, body = await self._call("GET", "/log-read", query, None, silence_s)
        except NO_RESPONSE_ERRORS:
            return None
        if status == 410:
            return self._parse("/log-read", _read_expired, body)
        if status != 200:
            return None
        return self._parse("/log-read", _read_result, body)

    async def read_latest(self, topic: str) -> tuple[dict[str, bytes], int] | None:
        """Read the latest value of each key of a topic in partition 0.

        Returns:
            Values by key, and the offset from which to read on; None if the store did
            not answer or reported an error.
        """
        values: dict[str, bytes] = {}
        query: dict[str, Any] = {"topic": topic, "part": 0}
        end: int | None = None
        while True:
            try:
                status, body = await self._call("GET", "/log-newest", query, None)
            except NO_RESPONSE_ERRORS:
                return None
            if status != 200:
                return None
            page = self._parse("/log-newest", _read_page, body)
            if page is None:
                return None
            # The pages are no consistent snapshot. The lowest end is returned, so that
            # records appended after the first page are read again.
            end = page.end if end is None else min(end, page.end)
            values |= page.values
            if page.next_key is None:
                return values, end
            query["after"] = page.next_key

    async def join(
        self, member: str, ttl_ms: int, generation: int
    ) -> GroupAssignment | None:
        """Join the group of shard owners, or renew the membership.

        Args:
            member: Name of the member.
            ttl_ms: Time without a join after which the store drops the member.
            generation: Last known generation of the group; 0 for none.

        Returns:
            The assignment; None if the store did not answer or reported an error.
        """
        body = {
            "group": Topic.JOBS,
            "member": member,
            "topics": [Topic.JOBS],
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        try:
            status, answer = await self._call("POST", "/log-join", {}, body)
        except NO_RESPONSE_ERRORS:
            return None
        if status != 200:
            return None
        return self._parse("/log-join", _read_assignment, answer)

    async def leave(self, member: str) -> bool:
        """Leave the group of shard owners; return whether the store confirmed it."""
        body = {"group": Topic.JOBS, "member": member}
        try:
            status, _ = await self._call("POST", "/log-leave", {}, body)
        except NO_RESPONSE_ERRORS:
            return False
        return status == 200

    async def shard_owners(self) -> dict[int, str] | None:
        """Return the member name of each shard's owner; None without an answer."""
        query = {"group": Topic.JOBS}
        try:
            status, answer = await self._call("GET", "/log-owners", query, None)
        except NO_RESPONSE_ERRORS:
            return None
        if status != 200:
            return None
        return self._parse("/log-owners", _read_owners, answer)

    def _parse(self, path: str, parse: Callable[[bytes], T], body: bytes) -> T | None:
        """Return the parsed answer; None, which is reported, if it is malformed."""
        try:
            return parse(body)
        except (AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
            if self.on_invalid is not None:
                self.on_invalid(path, repr(error))
            return None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: Any,
        silence_s: float = SILENCE_S,
    ) -> tuple[int, bytes]:
        self.calls += 1
        headers = {}
        if isinstance(body, dict):
            body = orjson.dumps(body)
            headers = {"Content-Type": "application/json"}
        target = path
        if query:
            target += "?" + "&".join(
                f"{name}={_quote(value)}" for name, value in query.items()
            )
        try:
            status, answer = await self.request(
                method, target, body=body or b"", headers=headers, silence_s=silence_s
            )
        except NO_RESPONSE_ERRORS as error:
            self._report_failure(path, repr(error))
            raise
        if status in TURNED_AWAY_STATUSES:
            self._report_failure(path, f"status {status}")
        return status, answer

    def _report_failure(self, path: str, reason: str) -> None:
        if self.on_failure is not None:
            self.on_failure(path, reason)


def _quote(value: Any) -> str:
    """Return a value as it is written in a query."""
    text = str(value)
    if text.isascii() and text.replace(".", "").replace("-", "").isalnum():
        return text
    # Imported on first use, since it would be a twentieth of the startup time.
    from urllib.parse import quote

    return quote(text, safe="")


@attrs.frozen
class _LatestPage:
    """A page of the latest values of a topic.

    Attributes:
        values: Values by key.
        end: Offset after the last record of the partition.
        next_key: Key after which the next page begins; None after the last page.
    """

    values: dict[str, bytes]
    end: int
    next_key: str | None


def _read_page(body: bytes) -> _LatestPage:
    page = orjson.loads(body)
    items = page["items"]
    values = {item["key"]: base64.b64decode(item["value"]) for item in items}
    more = page.get("truncated")
    if more and not items:
        raise ValueError("page without records is not the last one")
    return _LatestPage(values, int(page["end"]), items[-1]["key"] if more else None)


def _read_expired(body: bytes) -> RecordsExpired:
    return RecordsExpired(int(orjson.loads(body)["first"]))


def _read_assignment(body: bytes) -> GroupAssignment:
    fields = orjson.loads(body)
    shards = [int(row[1]) for row in fields["parts"]]
    return GroupAssignment(int(fields["generation"]), shards)


def _read_owners(body: bytes) -> dict[int, str]:
    rows = orjson.loads(body)
    rows = rows if isinstance(rows, list) else _first_list(rows)
    if rows is None:
        raise ValueError("no list of owners")
    return {int(row[1]): str(row[2]) for row in rows if row[2]}


def _first_list(fields: dict[str, Any]) -> list[list[Any]] | None:
    """Return the first list in a response, whose key the platform does not document."""
    for value in fields.values():
        if isinstance(value, list):
            return value
    return None


def _read_result(body: bytes) -> ReadResult:
    if len(body) < 2 * OFFSET_BYTES:
        raise ValueError(f"{len(body)} bytes, less than the two offsets")
    end = int.from_bytes(body[:OFFSET_BYTES], "big")
    first = int.from_bytes(body[OFFSET_BYTES : 2 * OFFSET_BYTES], "big")
    records = []
    position = 2 * OFFSET_BYTES
    while position < len(body):
        length = int.from_bytes(body[position : position + LENGTH_PREFIX_BYTES], "big")
        position += LENGTH_PREFIX_BYTES
        if position + length > len(body):
            raise ValueError(f"record of {length} bytes is cut off")
        records.append(body[position : position + length])
        position += length
    return ReadResult(end, first, records)
