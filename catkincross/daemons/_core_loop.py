"""Runs the steps of a core on the loop of its daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from ..clock import Clock

MS_PER_S = 1_000
# Shortest pause before a step that no event asks for, in milliseconds.
MIN_DELAY_MS = 1


class Core(Protocol):
    """Decisions of a daemon."""

    def step(self, now_ms: int) -> list[Any]:
        """Run what is due; return what is to be done."""

    def next_due_ms(self) -> int:
        """Return when the next step is due without an event."""


class CoreLoop:
    """Runs a step after events, once for all that come in one turn of the loop.

    Args:
        core: The core.
        clock: Clock of the process.
        carry_out: Does what a step asks for.
    """

    def __init__(
        self, core: Core, clock: Clock, execute: Callable[[Any], None]
    ) -> None:
        self.core = core
        self.clock = clock
        self.execute = execute
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def schedule_step(self) -> None:
        """Run a step in this turn of the loop."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        self._scheduled = False
        now_ms = self.clock.now_ms()
        for effect in self.core.step(now_ms):
            self.execute(effect)
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(self.core.next_due_ms() - now_ms, MIN_DELAY_MS)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / MS_PER_S, self.schedule_step)
