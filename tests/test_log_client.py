"""Guards against wrong conclusions about which records the log holds."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from catkincross.clock import SystemClock
from catkincross.effects import SnapshotEnded, SnapshotRead
from catkincross.messages import LogRecord
from catkincross.settings import LogSettings
from catkincross.transport._http_server import HttpServer
from catkincross.transport._log_client import (
    Accepted,
    Gap,
    HttpLogClient,
    Records,
    Refused,
    Unknown,
    Unreachable,
)
from catkincross.transport._log_feed import LogFeed
from scenarios.loopback_proxy import Proxy
from standins.log_service import Faults, LogService

TIMEOUT_S = 20.0
Operation = Callable[[HttpLogClient, LogService], Awaitable[Any]]


def run_with_log(operation: Operation, *, timeout_ms: int = 10_000) -> Any:
    async def run() -> Any:
        service = LogService()
        server = HttpServer(service.app(), "127.0.0.1:0")
        server.start()
        url = f"http://{server.address}"
        client = HttpLogClient(LogSettings(url=url, timeout_ms=timeout_ms))
        try:
            return await operation(client, service)
        finally:
            await client.close()
            await server.stop(1.0)

    return asyncio.run(run())


def test_a_lost_answer_is_unknown_and_its_record_is_read() -> None:
    """A record that was appended must not be reported as refused."""

    async def operation(client: HttpLogClient, service: LogService) -> Any:
        service.faults = Faults(lose_answers=1)
        lost = await client.append("control", b"one")
        kept = await client.append("control", b"two")
        read = await client.read("control", 1, limit=10, wait_ms=0)
        return lost, kept, read

    lost, kept, read = run_with_log(operation)
    assert isinstance(lost, Unknown)
    assert kept == Accepted(2)
    assert read == Records([LogRecord(1, b"one"), LogRecord(2, b"two")], 2, 1)


def test_a_slow_log_is_unknown_for_appends_and_unreachable_for_reads() -> None:
    """Calls must time out if the log does not answer."""

    async def operation(client: HttpLogClient, service: LogService) -> Any:
        service.faults = Faults(delay_ms=60_000)
        return await asyncio.gather(
            client.append("control", b"one"),
            client.read("control", 1, limit=10, wait_ms=0),
        )

    append, read = run_with_log(operation, timeout_ms=200)
    assert isinstance(append, Unknown)
    assert isinstance(read, Unreachable)


def test_a_silent_connection_ends_the_use_of_those_opened_before_it() -> None:
    """When all open connections fell silent, each one cost a time limit of its own."""

    async def run() -> list[Any]:
        service = LogService()
        server = HttpServer(service.app(), "127.0.0.1:0")
        server.start()
        proxy = Proxy(server.address)
        await proxy.start()
        settings = LogSettings(url=f"http://{proxy.address}", timeout_ms=300)
        client = HttpLogClient(settings)
        service.faults = Faults(delay_ms=50)
        await asyncio.gather(*(client.append("control", b"one") for _ in range(4)))
        assert len(proxy.channels) == 4
        proxy.silence()
        read = [await client.read("control", 1, limit=10, wait_ms=0) for _ in range(4)]
        await client.close()
        await proxy.stop()
        await server.stop(1.0)
        return read

    first, *others = asyncio.run(run())
    assert isinstance(first, Unreachable)
    assert [type(read) for read in others] == [Records] * 3


def test_a_refused_connection_means_not_appended() -> None:
    """A record that was never sent must be reported as safe to append again."""

    async def run() -> Any:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        client = HttpLogClient(LogSettings(url=f"http://127.0.0.1:{port}"))
        outcome = await client.append("control", b"one")
        await client.close()
        return outcome

    assert isinstance(asyncio.run(run()), Refused)


def test_expired_records_are_a_gap() -> None:
    """A reader must not skip expired records without noticing."""

    async def operation(client: HttpLogClient, service: LogService) -> Any:
        for number in range(5):
            await client.append("control", b"%d" % number)
        service.log.stream("control").expire(4)
        gap = await client.read("control", 2, limit=10, wait_ms=0)
        return gap, await client.read("control", 4, limit=10, wait_ms=0)

    gap, rest = run_with_log(operation)
    assert gap == Gap(4)
    assert [record.offset for record in rest.records] == [4, 5]


def test_a_read_ends_with_the_first_new_record() -> None:
    """A read that keeps waiting after a record arrived would delay every drain."""

    async def operation(client: HttpLogClient, service: LogService) -> Any:
        read = asyncio.create_task(client.read("control", 1, limit=10, wait_ms=600_000))
        await asyncio.sleep(0.05)
        await client.append("control", b"one")
        return await asyncio.wait_for(read, TIMEOUT_S)

    assert run_with_log(operation).records == [LogRecord(1, b"one")]


def test_the_snapshot_with_the_highest_version_is_read() -> None:
    """A slow writer may append an old snapshot last, and others may have expired."""

    async def operation(client: HttpLogClient, service: LogService) -> Any:
        posted: asyncio.Queue[Any] = asyncio.Queue()
        feed = LogFeed(
            client,
            SystemClock(),
            version=lambda: 0,
            post=posted.put_nowait,
            wait_ms=10,
            seed=1,
        )
        for version in (3, 5, *range(10, 35), 7):
            feed.write_snapshot(version, b"state %d" % version)
            ended = await asyncio.wait_for(posted.get(), TIMEOUT_S)
            assert ended == SnapshotEnded(version, True)
        service.log.stream("snapshots").expire(3)
        feed.read_snapshot()
        return await asyncio.wait_for(posted.get(), TIMEOUT_S)

    assert run_with_log(operation) == SnapshotRead(34, b"state 34")
