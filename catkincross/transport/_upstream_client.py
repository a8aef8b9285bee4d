"""Client of the upstream that runs beside the agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp

from ..foundation._background import spawn
from ..foundation._clock import Clock
from ..foundation._ids import TaskId
from ..protocol._effects import UpstreamAnswered
from ..protocol._messages import Reason, TaskStart, TaskStatus
from ..settings._settings import UpstreamSettings

KEY_HEADER = "Catkincross-Key"
INDEX_HEADER = "Catkincross-Index"
OWNER_HEADER = "Catkincross-Owner"
DEADLINE_HEADER = "Catkincross-Deadline-Ms"
# If the upstream closes an idle connection while a task is written to it, the outcome
# is unknown, so this side closes idle connections first.
IDLE_CONNECTION_TIMEOUT_S = 5


class UpstreamClient:
    """Sends tasks to the upstream over a bounded set of connections.

    Args:
        settings: URL and connection timeout of the upstream.
        clock: The agent's clock.
        connections: Maximum number of concurrent connections.
        check_start: Called right before a task is sent; returns the reason not to
            start it, or `Reason.NONE`.
        post: Takes `UpstreamAnswered` items.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        clock: Clock,
        *,
        connections: int,
        check_start: Callable[[TaskStart], Reason],
        post: Callable[[Any], None],
    ) -> None:
        self.url = settings.url
        self.connect_timeout_s = settings.connect_timeout_ms / 1_000
        self.clock = clock
        self.check_start = check_start
        self.post = post
        connector = aiohttp.TCPConnector(
            limit=connections, keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(connector=connector)
        self._calls: dict[TaskId, asyncio.Task[None]] = {}

    def call(self, task_start: TaskStart) -> None:
        """Send a task; its outcome is posted as `UpstreamAnswered`."""
        call_task = spawn(self._call(task_start))
        self._calls[task_start.task] = call_task
        call_task.add_done_callback(lambda done: self._on_call_done(task_start, done))

    def abort(self, task_start: TaskStart) -> None:
        """Close the connection of a task, which tells the upstream to stop it."""
        call_task = self._calls.get(task_start.task)
        if call_task is not None:
            call_task.cancel()

    async def close(self) -> None:
        """Abort all tasks and close the connections."""
        for call_task in list(self._calls.values()):
            call_task.cancel()
        await self._session.close()

    def _on_call_done(
        self, task_start: TaskStart, call_task: asyncio.Task[None]
    ) -> None:
        if self._calls.get(task_start.task) is call_task:
            del self._calls[task_start.task]
        if call_task.cancelled():
            self._post(task_start, TaskStatus.CANCELLED, Reason.CANCELLED)
        elif call_task.exception() is not None:
            self._post(task_start, TaskStatus.FAILED, Reason.UPSTREAM_FAILED)

    async def _call(self, task_start: TaskStart) -> None:
        reason = self.check_start(task_start)
        if reason:
            self._post(task_start, TaskStatus.REFUSED, reason, started=False)
            return
        try:
            await self._exchange(task_start)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No connection was made, so no byte of the task was sent.
            self._post(
                task_start,
                TaskStatus.FAILED,
                Reason.UPSTREAM_UNREACHABLE,
                started=False,
            )
        except TimeoutError:
            self._post(task_start, TaskStatus.FAILED, Reason.DEADLINE)
        except aiohttp.ClientError:
            self._post(task_start, TaskStatus.FAILED, Reason.UPSTREAM_FAILED)

    async def _exchange(self, task_start: TaskStart) -> None:
        # aiohttp takes a total timeout of 0 as no timeout.
        remaining_s = max(0.001, (task_start.deadline_ms - self.clock.now_ms()) / 1_000)
        timeout = aiohttp.ClientTimeout(
            total=remaining_s, sock_connect=self.connect_timeout_s
        )
        async with self._session.post(
            self.url,
            data=task_start.spec.payload,
            headers=_headers(task_start, remaining_s),
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            payload = await response.read()
            if response.status != 200:
                self._post(task_start, TaskStatus.FAILED, Reason.UPSTREAM_FAILED)
            elif not _matches_task(response, task_start.task):
                self._post(task_start, TaskStatus.FAILED, Reason.ANSWER_MISMATCH)
            else:
                self._post(task_start, TaskStatus.OK, Reason.NONE, payload)

    def _post(
        self,
        task_start: TaskStart,
        status: TaskStatus,
        reason: Reason,
        payload: bytes = b"",
        *,
        started: bool = True,
    ) -> None:
        self.post(UpstreamAnswered(task_start, status, payload, reason, started))


def _headers(task_start: TaskStart, remaining_s: float) -> dict[str, str]:
    return {
        KEY_HEADER: task_start.task.key_hash.hex(),
        INDEX_HEADER: str(task_start.task.index),
        OWNER_HEADER: str(task_start.owner),
        DEADLINE_HEADER: str(int(remaining_s * 1_000)),
        "Content-Type": "application/octet-stream",
    }


def _matches_task(response: aiohttp.ClientResponse, task: TaskId) -> bool:
    return response.headers.get(
        KEY_HEADER
    ) == task.key_hash.hex() and response.headers.get(INDEX_HEADER) == str(task.index)
