"""Background tasks, and what happens to their unexpected errors."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

FAILED_TASK = "background task failed"
# Pause before a failed task is run again, in seconds. It bounds the log lines and the
# processor time of an error that occurs at each attempt.
RESTART_DELAY_S = 0.1


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run a coroutine in the background.

    An exception that the coroutine does not handle is a broken invariant. It goes to
    the loop's exception handler as soon as the task ends, not when the task is
    garbage collected.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report)
    return task


def spawn_repeated(
    run: Callable[[], Coroutine[Any, Any, None]],
    on_error: Callable[[str, Exception], None],
) -> asyncio.Task[None]:
    """Run an endless coroutine in the background; start it again if it fails.

    Args:
        run: Creates the coroutine.
        on_error: Called with the name of the coroutine and its exception.
    """
    return spawn(_run_repeatedly(run, on_error))


async def _run_repeatedly(
    run: Callable[[], Coroutine[Any, Any, None]],
    on_error: Callable[[str, Exception], None],
) -> None:
    while True:
        coroutine = run()
        try:
            await coroutine
            return
        except Exception as error:
            on_error(coroutine.__name__, error)
        await asyncio.sleep(RESTART_DELAY_S)


def report_errors(
    on_error: Callable[[str, Exception], None],
) -> Callable[[asyncio.AbstractEventLoop, dict[str, Any]], None]:
    """Return a loop's exception handler that reports errors and lets the loop go on.

    For processes whose state is consistent after any single callback: an unexpected
    error then costs one message or request, and not all that the process holds.

    Args:
        on_error: Called with what failed and the exception.
    """

    def handle(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if isinstance(error, Exception):
            on_error(context["message"], error)
        else:
            loop.default_exception_handler(context)

    return handle


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
