"""Background tasks whose unexpected errors are logged and end the process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

FAILED_TASK = "background task failed"


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a coroutine in the background.

    An exception that the coroutine does not handle is a broken invariant. It goes to
    the loop's exception handler as soon as the task ends, not when the task is
    garbage collected.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
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
    """Log an error that asyncio reports; stop the loop if an invariant may be broken.

    The loop stops on an unhandled exception of a background task, a callback or an
    asyncio protocol. A process that continued after one might never answer requests
    that it has accepted.

    Args:
        loop: Loop whose exception handler this function is.
        context: Description of the error, as asyncio passes it.
    """
    loop.default_exception_handler(context)
    if (
        context["message"] == FAILED_TASK
        or "handle" in context
        or "protocol" in context
    ):
        loop.stop()
