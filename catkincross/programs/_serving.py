"""How a daemon of either role serves until it may end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._runner import CoreRunner


async def serve(
    stopped: asyncio.Event,
    runner: CoreRunner,
    *,
    send_gauges: Callable[[], None],
    gauges_interval_ms: int,
) -> None:
    """Serve until the process may end.

    Args:
        stopped: Is set when the process may end.
        runner: Runs the core.
        send_gauges: Sends the gauges of the process.
        gauges_interval_ms: Time between two calls of it.

    Raises:
        Exception: What a step of the core raised.
    """

    async def send_forever() -> None:
        while True:
            send_gauges()
            await asyncio.sleep(gauges_interval_ms / 1_000)

    ended = asyncio.create_task(stopped.wait())
    gauges = asyncio.create_task(send_forever())
    try:
        await asyncio.wait({ended, runner.failed}, return_when=asyncio.FIRST_COMPLETED)
        if runner.failed.done():
            runner.failed.result()
    finally:
        ended.cancel()
        gauges.cancel()
