"""Client that polls the HTTP interface of the worker."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp

from ..foundation._background import spawn
from ..protocol._effects import WorkerUsage
from ..settings._settings import WorkerSettings

REQUEST_TIMEOUT_S = 2.0


class WorkerClient:
    """Reads the usage reports and leases of the worker.

    Args:
        settings: URL of the worker and poll interval.
        post: Takes `WorkerUsage` items.

    Attributes:
        leases: Remaining time of each lease in milliseconds, by name, as of the
            last report.
    """

    def __init__(self, settings: WorkerSettings, post: Callable[[Any], None]) -> None:
        self.url = settings.url.rstrip("/")
        self.poll_s = settings.poll_ms / 1_000
        self.post = post
        self.leases: dict[str, int] = {}
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        )
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start polling if the settings have a URL."""
        if self.url:
            self._task = spawn(self._poll_forever())

    async def close(self) -> None:
        """Stop polling and close the connections."""
        if self._task is not None:
            self._task.cancel()
        await self._session.close()

    async def _poll_forever(self) -> None:
        while True:
            try:
                await self._poll()
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
                # Reports lag anyway, and the next one replaces a lost one.
                pass
            await asyncio.sleep(self.poll_s)

    async def _poll(self) -> None:
        usage = await self._get("usage")
        self.post(WorkerUsage(int(usage["memory_used_mb"]), int(usage["cpu_permille"])))
        leases = await self._get("leases")
        self.leases = {
            row["name"]: int(row["remaining_ms"]) for row in leases["leases"]
        }

    async def _get(self, path: str) -> dict[str, Any]:
        async with self._session.get(f"{self.url}/{path}") as response:
            response.raise_for_status()
            return await response.json()
