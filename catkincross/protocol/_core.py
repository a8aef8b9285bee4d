"""Base of the decision cores of entries and agents."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar, Generic, Protocol, TypeVar

from ..foundation._core_registry import CoreRegistry
from ._effects import Effect, Received


class CoreState(Protocol):
    """What a core requires of its state.

    Attributes:
        now_ms: The process's clock at the current step.
        effects: Effects of the current step, in order.
    """

    now_ms: int
    effects: list[Effect]


State = TypeVar("State", bound=CoreState)


class Core(Generic[State]):
    """Decision code of a role; performs no I/O and reads no clock.

    Args:
        state: The process's state; the core changes it in place.

    Attributes:
        registry: Handlers and systems of the role.
    """

    registry: ClassVar[CoreRegistry[Any]]

    def __init__(self, state: State) -> None:
        self.state = state

    def step(self, now_ms: int, inbox: Sequence[Any]) -> list[Effect]:
        """Handle a batch of inbox items, then run the systems of the role.

        Args:
            now_ms: The process's clock, read immediately before the call.
            inbox: `Received` messages and local events, in order of arrival.

        Returns:
            The effects to carry out, in order.
        """
        state, handlers = self.state, self.registry.handlers
        state.now_ms = now_ms
        for item in inbox:
            if isinstance(item, Received):
                handlers[type(item.message)](state, item.sender, item.message)
            else:
                handlers[type(item)](state, "", item)
        for _, system in self.registry.systems:
            system(state)
        effects, state.effects = state.effects, []
        return effects

    def next_step_ms(self) -> int | None:
        """Return when the core must step again if no event comes before.

        Returns:
            A time on the process's clock in milliseconds, or None.
        """
        raise NotImplementedError
