"""Runs a daemon of either role until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol

from ._background import stop_on_failed_task


class Daemon(Protocol):
    """An entry or agent daemon."""

    async def start(self) -> None:
        """Start to serve requests."""

    async def run(self) -> None:
        """Serve until the daemon has stopped."""

    async def leave(self) -> None:
        """Stop gracefully."""


async def run_daemon(daemon: Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT has stopped it.

    Args:
        daemon: The daemon; its `start` has returned.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(stop_on_failed_task)
    # The loop keeps only weak references to tasks.
    leave_tasks: set[asyncio.Task[None]] = set()

    def leave() -> None:
        task = loop.create_task(daemon.leave())
        leave_tasks.add(task)
        task.add_done_callback(leave_tasks.discard)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, leave)
    await daemon.run()
