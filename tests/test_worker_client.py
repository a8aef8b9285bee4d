"""Guards against lost usage reports and against reports that end the polling."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp

from catkincross.effects import WorkerUsage
from catkincross.settings import WorkerSettings
from catkincross.transport._http_server import HttpServer
from catkincross.transport._worker_client import WorkerClient
from standins.worker import Worker

TIMEOUT_S = 20.0


def run_with_worker(worker: Worker, check: Any) -> None:
    """Run a check with the worker's URL, the posted items and both clients."""

    async def run() -> None:
        server = HttpServer(worker.app(), "127.0.0.1:0")
        server.start()
        posted: asyncio.Queue[WorkerUsage] = asyncio.Queue()
        url = f"http://{server.address}"
        client = WorkerClient(WorkerSettings(url=url, poll_ms=50), posted.put_nowait)
        client.start()
        async with aiohttp.ClientSession() as session:
            await asyncio.wait_for(check(url, posted, client, session), TIMEOUT_S)
        await client.close()
        await server.stop(5)

    asyncio.run(run())


async def put(session: aiohttp.ClientSession, url: str, body: dict[str, int]) -> int:
    """Send a JSON document and return the HTTP status."""
    async with session.put(url, json=body) as response:
        return response.status


def test_usage_and_leases_are_read() -> None:
    """The agent must see the usage and the leases that the worker reports."""

    async def check(url: str, posted: Any, client: Any, session: Any) -> None:
        await put(session, f"{url}/usage", {"memory_used_mb": 7, "cpu_permille": 80})
        await put(session, f"{url}/leases/u1", {"ttl_ms": 60_000})
        while await posted.get() != WorkerUsage(7, 80):
            pass
        while not client.leases.get("u1"):
            await posted.get()

    run_with_worker(Worker(lag_ms=0), check)


def test_a_lagging_report_shows_the_earlier_usage() -> None:
    """The stand-in must not report new usage before its lag has passed."""

    async def check(url: str, posted: Any, client: Any, session: Any) -> None:
        await put(session, f"{url}/usage", {"memory_used_mb": 7, "cpu_permille": 80})
        while not posted.empty():
            posted.get_nowait()
        assert await posted.get() == WorkerUsage(0, 0)

    run_with_worker(Worker(lag_ms=600_000), check)


def test_a_bad_report_does_not_end_the_polling() -> None:
    """A failed request must not end the background task that polls."""
    worker = Worker(lag_ms=0)

    async def check(url: str, posted: Any, client: Any, session: Any) -> None:
        valid_history, worker.history = worker.history, None
        await asyncio.sleep(0.2)
        worker.history = valid_history
        while not posted.empty():
            posted.get_nowait()
        assert await posted.get() == WorkerUsage(0, 0)

    run_with_worker(worker, check)


def test_an_expired_lease_is_not_renewed() -> None:
    """The stand-in must refuse to extend a lease after its end."""

    async def check(url: str, posted: Any, client: Any, session: Any) -> None:
        assert await put(session, f"{url}/leases/u1", {"ttl_ms": 0}) == 200
        assert await put(session, f"{url}/leases/u1", {"ttl_ms": 9_000}) == 409

    run_with_worker(Worker(lag_ms=0), check)
