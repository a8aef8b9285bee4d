"""Runs the steps of a core on the loop of its daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from ..clock import Clock

MS_PER_S = 1_000
# Shortest pause before a step that no event asks for, in milliseconds.
SHORTEST_PAUSE_MS = 1


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
        self, core: Core, clock: Clock, carry_out: Callable[[Any], None]
    ) -> None:
        self.core = core
        self.clock = clock
        self.carry_out = carry_out
        self._due = False
        self._timer: asyncio.TimerHandle | None = None

    def wake(self) -> None:
        """Run a step in this turn of the loop."""
        if not self._due:
            self._due = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        self._due = False
        now_ms = self.clock.now_ms()
        for effect in self.core.step(now_ms):
            self.carry_out(effect)
        if self._timer is not None:
            self._timer.cancel()
        pause_ms = max(self.core.next_due_ms() - now_ms, SHORTEST_PAUSE_MS)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_ms / MS_PER_S, self.wake)
