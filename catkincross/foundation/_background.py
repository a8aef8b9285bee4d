"""Background tasks whose unexpected errors are shown and end the process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

FAILED_TASK = "background task failed"


def spawn(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a coroutine in the background.

    An error that it does not handle is a broken invariant: it goes to the loop's
    exception handler at once, not when the task is collected.
    """
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_report)
    return task


def _report(task: asyncio.Task[None]) -> None:
    if task.cancelled() or task.exception() is None:
        return
    context = {"message": FAILED_TASK, "exception": task.exception(), "task": task}
    task.get_loop().call_exception_handler(context)


def stop_on_failed_task(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Show an error of the loop, and stop it if a broken invariant may be behind it.

    That is the failure of a background task, of a callback, or of a link's protocol.
    A process that goes on after one may never answer what it has accepted.
    """
    loop.default_exception_handler(context)
    if (
        context["message"] == FAILED_TASK
        or "handle" in context
        or "protocol" in context
    ):
        loop.stop()
