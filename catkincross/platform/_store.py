"""Client of the platform's store: a partitioned log with consumer groups."""

from __future__ import annotations

import base64
import enum
from typing import Any

import aiohttp
import attrs
import orjson

from ..owner import AppendOutcome
from ._calls import NO_RESPONSE_ERRORS, HttpServiceClient, json_object

LENGTH_PREFIX_BYTES = 4
OFFSET_BYTES = 8
# The store answers in 4 ms, and takes 60 times as long (240 ms) while it is slow.
CALL_TIMEOUT_S = 0.8
MAX_READ_KB = 1_024
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


class StoreClient(HttpServiceClient):
    """HTTP client of the store.

    Args:
        address: `IP:port` of the store.

    Attributes:
        calls: Number of calls made so far.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address, keepalive_s=KEEPALIVE_S)
        self.calls = 0

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
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1_000
        try:
            status, body = await self._call("GET", "/log-read", query, None, timeout_s)
        except NO_RESPONSE_ERRORS:
            return None
        if status == 410:
            return RecordsExpired(int(orjson.loads(body)["first"]))
        if status != 200:
            return None
        return _read_result(body)

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
            page = orjson.loads(body)
            # The pages are no consistent snapshot. The lowest end is returned, so that
            # records appended after the first page are read again.
            end = page["end"] if end is None else min(end, page["end"])
            for item in page["items"]:
                values[item["key"]] = base64.b64decode(item["value"])
            if not page.get("truncated") or not page["items"]:
                return values, end
            query["after"] = page["items"][-1]["key"]

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
        fields = orjson.loads(answer)
        return GroupAssignment(
            fields["generation"], [row[1] for row in fields["parts"]]
        )

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
        rows = orjson.loads(answer)
        rows = rows if isinstance(rows, list) else _first_list(rows)
        return {row[1]: row[2] for row in rows if row[2]}

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: Any,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        self.calls += 1
        data, headers = body, {}
        if isinstance(body, dict):
            data = orjson.dumps(body)
            headers = {"Content-Type": "application/json"}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = self.url + path
        async with self._session.request(
            method, url, params=query, data=data, headers=headers, timeout=timeout
        ) as response:
            return response.status, await response.read()


def _first_list(fields: dict[str, Any]) -> list[list[Any]]:
    """Return the first list in a response, whose key the platform does not document."""
    for value in fields.values():
        if isinstance(value, list):
            return value
    return []


def _read_result(body: bytes) -> ReadResult:
    end = int.from_bytes(body[:OFFSET_BYTES], "big")
    first = int.from_bytes(body[OFFSET_BYTES : 2 * OFFSET_BYTES], "big")
    records = []
    position = 2 * OFFSET_BYTES
    while position < len(body):
        length = int.from_bytes(body[position : position + LENGTH_PREFIX_BYTES], "big")
        position += LENGTH_PREFIX_BYTES
        records.append(body[position : position + length])
        position += length
    return ReadResult(end, first, records)
