"""Main loop of the entry and agent daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._runner import CoreRunner


async def serve_until_stopped(
    stopped: asyncio.Event,
    runner: CoreRunner,
    *,
    send_gauges: Callable[[], None],
    gauges_interval_ms: int,
) -> None:
    """Wait until the process may end, and send gauges periodically meanwhile.

    Args:
        stopped: Set when the process may end.
        runner: Runner of the core; its failure ends the wait.
        send_gauges: Sends the gauges of the process.
        gauges_interval_ms: Time between two calls of `send_gauges`.

    Raises:
        Exception: Any exception that a step of the core raised.
    """

    async def send_periodically() -> None:
        while True:
            send_gauges()
            await asyncio.sleep(gauges_interval_ms / 1_000)

    stop_task = asyncio.create_task(stopped.wait())
    gauges_task = asyncio.create_task(send_periodically())
    try:
        await asyncio.wait(
            {stop_task, runner.step_failure}, return_when=asyncio.FIRST_COMPLETED
        )
        if runner.step_failure.done():
            runner.step_failure.result()
    finally:
        stop_task.cancel()
        gauges_task.cancel()
