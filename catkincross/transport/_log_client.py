"""Client of the platform's log service."""

from __future__ import annotations

import asyncio
from typing import Protocol

import aiohttp
import attrs

from ..foundation._background import spawn
from ..protocol._messages import LogRecord
from ..settings._settings import LogSettings

CONNECT_TIMEOUT_S = 0.5


@attrs.frozen
class Accepted:
    """The record was appended.

    Attributes:
        offset: Offset of the record.
    """

    offset: int


@attrs.frozen
class Refused:
    """The record was not appended and will not be."""

    reason: str


@attrs.frozen
class Unknown:
    """The record may or may not have been appended."""

    reason: str


@attrs.frozen
class Records:
    """Records from an offset on.

    Attributes:
        records: Records in the order of their offsets; empty if there are none yet.
        tail: Offset of the last record of the stream.
        first: Oldest offset that is kept.
    """

    records: list[LogRecord]
    tail: int
    first: int


@attrs.frozen
class Gap:
    """The record at the requested offset has expired.

    Attributes:
        first: Oldest offset that is kept.
    """

    first: int


@attrs.frozen
class Unreachable:
    """The log service did not answer in time, or answered with an error."""

    reason: str


AppendOutcome = Accepted | Refused | Unknown
ReadOutcome = Records | Gap | Unreachable


class LogClient(Protocol):
    """Client of an append-only log with named streams."""

    async def append(self, stream: str, record: bytes) -> AppendOutcome:
        """Append a record."""

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records from an offset on.

        Args:
            stream: Name of the stream.
            from_offset: Offset of the first record to return.
            limit: Maximum number of records to return.
            wait_ms: Longest wait for a record if there are none yet.
        """

    async def close(self) -> None:
        """Release the connections."""


class HttpLogClient:
    """Client of the log service over HTTP.

    Args:
        settings: URL and timeout of the log service.
    """

    def __init__(self, settings: LogSettings) -> None:
        self.url = settings.url.rstrip("/")
        self.timeout_s = settings.timeout_ms / 1_000
        self._session = aiohttp.ClientSession()
        # Sessions with calls in flight whose connections are not used any more.
        self._retired: set[aiohttp.ClientSession] = set()

    async def append(self, stream: str, record: bytes) -> AppendOutcome:
        """Append a record."""
        session = self._session
        try:
            async with session.post(
                f"{self.url}/streams/{stream}/records",
                data=record,
                headers={"Content-Type": "application/json"},
                timeout=self._timeout(0),
                allow_redirects=False,
            ) as response:
                return await _append_outcome(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Refused(f"log_unreachable: {type(error).__name__}")
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
            self._retire_if_silent(session, error, 0)
            return Unknown(type(error).__name__)

    async def read(
        self, stream: str, from_offset: int, *, limit: int, wait_ms: int
    ) -> ReadOutcome:
        """Read records from an offset on."""
        query = {"from": from_offset, "limit": limit, "wait_ms": wait_ms}
        session = self._session
        try:
            async with session.get(
                f"{self.url}/streams/{stream}/records",
                params=query,
                timeout=self._timeout(wait_ms),
                allow_redirects=False,
            ) as response:
                return await _read_outcome(response)
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as error:
            self._retire_if_silent(session, error, wait_ms)
            return Unreachable(type(error).__name__)

    def _retire_if_silent(
        self, session: aiohttp.ClientSession, error: Exception, wait_ms: int
    ) -> None:
        """Use new connections from now on if a call has timed out.

        Connections fall silent together, and only a timeout shows it: idle ones would
        cost one timeout after the other. Calls in flight keep theirs for a time limit.

        Args:
            session: Session of the call.
            error: Its error.
            wait_ms: How long the call let the service wait, in milliseconds.
        """
        if isinstance(error, TimeoutError) and session is self._session:
            self._session = aiohttp.ClientSession()
            self._retired.add(session)
            spawn(self._close_later(session, self.timeout_s + wait_ms / 1_000))

    async def _close_later(
        self, session: aiohttp.ClientSession, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        self._retired.discard(session)
        await session.close()

    def _timeout(self, wait_ms: int) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self.timeout_s + wait_ms / 1_000, connect=CONNECT_TIMEOUT_S
        )

    async def close(self) -> None:
        """Release the connections."""
        for session in (self._session, *self._retired):
            await session.close()


async def _append_outcome(response: aiohttp.ClientResponse) -> AppendOutcome:
    if response.status == 200:
        return Accepted(int((await response.json())["offset"]))
    if 400 <= response.status < 500:
        return Refused(f"status {response.status}")
    return Unknown(f"status {response.status}")


async def _read_outcome(response: aiohttp.ClientResponse) -> ReadOutcome:
    if response.status not in (200, 410):
        return Unreachable(f"status {response.status}")
    body = await response.json()
    if response.status == 410:
        return Gap(int(body["first"]))
    records = [
        LogRecord(int(item["offset"]), item["body"].encode())
        for item in body["records"]
    ]
    return Records(records, int(body["tail"]), int(body["first"]))
