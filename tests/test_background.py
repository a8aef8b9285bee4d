"""Guards against background errors that are not logged and do not end the process."""

from __future__ import annotations

import asyncio

import pytest

from catkincross.foundation._background import spawn, stop_on_failed_task


async def _fail() -> None:
    raise ValueError("unexpected")


def test_an_error_of_a_background_task_stops_the_loop() -> None:
    """An unhandled exception must not wait until the task is garbage collected."""

    async def serve() -> None:
        asyncio.get_running_loop().set_exception_handler(stop_on_failed_task)
        task = spawn(_fail())
        await asyncio.Event().wait()
        assert task

    with pytest.raises(RuntimeError, match="stopped before"):
        asyncio.run(serve())


def test_a_cancelled_background_task_is_no_error() -> None:
    """The cancellation of a task at a normal stop must not end the process."""

    async def serve() -> str:
        asyncio.get_running_loop().set_exception_handler(stop_on_failed_task)
        task = spawn(asyncio.Event().wait())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        return "done"

    assert asyncio.run(serve()) == "done"


def test_an_error_in_a_callback_stops_the_loop() -> None:
    """A process whose core steps fail must not continue without answering requests."""

    def step() -> None:
        raise KeyError("unexpected")

    async def serve() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(stop_on_failed_task)
        loop.call_soon(step)
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="stopped before"):
        asyncio.run(serve())
