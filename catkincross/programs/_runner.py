"""Runs a decision core inside an asyncio loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..foundation._clock import Clock
from ..protocol._effects import Effect

MIN_WAIT_MS = 1


class Core(Protocol):
    """A decision core of either role."""

    def step(self, now_ms: int, inbox: Sequence[Any]) -> list[Effect]:
        """Handle a batch of inbox items and return the effects."""

    def next_step_ms(self) -> int | None:
        """Return when the core must step again without an event."""


class CoreRunner:
    """Steps a core when events arrive and when it is due.

    All events of one turn of the loop reach the core in one step.

    Args:
        core: The core.
        clock: The process's clock, read immediately before each step.
        carry_out: Carries out the effects of a step, in order.

    Attributes:
        failed: Completes with the exception of a step that failed.
    """

    def __init__(
        self, core: Core, clock: Clock, carry_out: Callable[[list[Effect]], None]
    ) -> None:
        self.core = core
        self.clock = clock
        self.carry_out = carry_out
        self.loop = asyncio.get_running_loop()
        self.failed: asyncio.Future[None] = self.loop.create_future()
        self._inbox: list[Any] = []
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Step for the first time."""
        self._schedule()

    def stop(self) -> None:
        """Step no more."""
        self._scheduled = True
        if self._timer is not None:
            self._timer.cancel()

    def post(self, item: Any) -> None:
        """Put an item into the core's inbox."""
        self._inbox.append(item)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._step)

    def _step(self) -> None:
        if self.failed.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        inbox, self._inbox = self._inbox, []
        self._scheduled = False
        try:
            self.carry_out(self.core.step(self.clock.now_ms(), inbox))
        except Exception as error:
            # A broken invariant stops the process; see the design, section 3.
            self.failed.set_exception(error)
            return
        due_ms = self.core.next_step_ms()
        if due_ms is not None:
            # An overdue time that an empty step does not move must not keep the
            # loop busy.
            wait_ms = max(MIN_WAIT_MS, due_ms - self.clock.now_ms())
            self._timer = self.loop.call_later(wait_ms / 1_000, self._schedule)
