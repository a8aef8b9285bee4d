"""Runs the steps of a core on the asyncio loop of its daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from ..clock import Clock

MS_PER_S = 1_000
# Shortest delay of a step that no event has requested, in milliseconds.
MIN_DELAY_MS = 1


class Core(Protocol):
    """The decision logic of a daemon, without I/O."""

    def step(self, now_ms: int) -> list[Any]:
        """Run what is due; return the effects for the daemon to execute."""

    def next_step_ms(self) -> int:
        """Return the time at which the next step is due if no event comes."""


class CoreLoop:
    """Runs one step for all events of an iteration of the asyncio loop.

    Args:
        core: The core to step.
        clock: Clock of the process.
        execute: Executes one effect of a step.
        on_error: Called with what failed and the exception if a step or an effect
            fails. The other effects are executed, since lost messages would leave
            requests without an answer.
    """

    def __init__(
        self,
        core: Core,
        clock: Clock,
        execute: Callable[[Any], None],
        on_error: Callable[[str, Exception], None],
    ) -> None:
        self.core = core
        self.clock = clock
        self.execute = execute
        self.on_error = on_error
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None

    def schedule_step(self) -> None:
        """Schedule a step for the next iteration, unless one is scheduled already."""
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        self._scheduled = False
        now_ms = self.clock.now_ms()
        try:
            effects = self.core.step(now_ms)
        except Exception as error:
            self.on_error("step", error)
            effects = []
        for effect in effects:
            try:
                self.execute(effect)
            except Exception as error:
                self.on_error(type(effect).__name__, error)
        if self._timer is not None:
            self._timer.cancel()
        delay_ms = max(self.core.next_step_ms() - now_ms, MIN_DELAY_MS)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_ms / MS_PER_S, self.schedule_step)
