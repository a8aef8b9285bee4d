"""What the console mains of both daemons share."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

from ._background import stop_on_failed_task


class Daemon(Protocol):
    """A daemon of either role."""

    async def start(self) -> None:
        """Begin to serve."""

    async def run(self) -> None:
        """Serve until the process may end."""

    async def leave(self) -> None:
        """Stop gracefully."""


async def run_daemon(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT has stopped it.

    Args:
        daemon: A daemon that was started.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(stop_on_failed_task)
    background: set[asyncio.Task[None]] = set()

    def leave() -> None:
        task = loop.create_task(daemon.leave())
        background.add(task)
        task.add_done_callback(background.discard)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave)
    await daemon.run()
