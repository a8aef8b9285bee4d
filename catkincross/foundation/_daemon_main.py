"""Runs a daemon of either role until a signal stops it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

from ._background import report_errors, stop_on_failed_task


class Daemon(Protocol):
    """An entry or agent daemon."""

    async def start(self) -> None:
        """Start to serve requests."""

    async def run(self) -> None:
        """Serve until the daemon has stopped."""

    async def leave(self) -> None:
        """Stop gracefully."""


async def run_daemon(
    daemon: Daemon, on_error: Callable[[str, Exception], None] | None = None
) -> None:
    """Run a daemon until SIGTERM or SIGINT has stopped it.

    Args:
        daemon: The daemon; its `start` has returned.
        on_error: Called with what failed and the exception of each unexpected error of
            a callback or background task; None to stop the loop on such an error.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        stop_on_failed_task if on_error is None else report_errors(on_error)
    )
    # The loop keeps only weak references to tasks.
    leave_tasks: set[asyncio.Task[None]] = set()

    def leave() -> None:
        task = loop.create_task(daemon.leave())
        leave_tasks.add(task)
        task.add_done_callback(leave_tasks.discard)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, leave)
    await daemon.run()
