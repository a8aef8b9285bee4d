"""Runs the steps of a decision core in an asyncio loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..foundation._clock import Clock
from ..protocol._effects import Effect

MIN_WAIT_MS = 1


class Core(Protocol):
    """The decision core of an entry or an agent."""

    def step(self, now_ms: int, inbox: Sequence[Any]) -> list[Effect]:
        """Handle a batch of inbox items and return the effects to carry out."""

    def next_step_ms(self) -> int | None:
        """Return the clock time of the next step without an inbox item, or None."""


class CoreRunner:
    """Runs a step of a core when items arrive and when a step is due.

    All items that are posted in one iteration of the loop are handled in one step.

    Args:
        core: The decision core.
        clock: Clock of the process, read immediately before each step.
        apply_effects: Carries out the effects of a step, in order.

    Attributes:
        step_failure: Completes with the exception of the first step that failed.
    """

    def __init__(
        self, core: Core, clock: Clock, apply_effects: Callable[[list[Effect]], None]
    ) -> None:
        self.core = core
        self.clock = clock
        self.apply_effects = apply_effects
        self.loop = asyncio.get_running_loop()
        self.step_failure: asyncio.Future[None] = self.loop.create_future()
        self._inbox: list[Any] = []
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the first step."""
        self._schedule()

    def stop(self) -> None:
        """Schedule no further steps."""
        self._scheduled = True
        if self._timer is not None:
            self._timer.cancel()

    def post(self, item: Any) -> None:
        """Put an item into the inbox of the core and schedule a step."""
        self._inbox.append(item)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._step)

    def _step(self) -> None:
        if self.step_failure.done():
            return
        if self._timer is not None:
            self._timer.cancel()
        inbox, self._inbox = self._inbox, []
        self._scheduled = False
        try:
            self.apply_effects(self.core.step(self.clock.now_ms(), inbox))
        except Exception as error:
            # A broken invariant must stop the process; see the design, section 3.
            self.step_failure.set_exception(error)
            return
        due_ms = self.core.next_step_ms()
        if due_ms is not None:
            # If a step leaves the due time in the past, the loop must not spin.
            wait_ms = max(MIN_WAIT_MS, due_ms - self.clock.now_ms())
            self._timer = self.loop.call_later(wait_ms / 1_000, self._schedule)
