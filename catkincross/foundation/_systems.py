"""Registries of message handlers and of systems."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

State = TypeVar("State")
Handler = Callable[[Any, str, Any], None]
System = Callable[[Any], None]


class CoreRegistry(Generic[State]):
    """Handlers by class of message or event, and systems by order.

    Args:
        role: Name of the role, used in error messages.
    """

    def __init__(self, role: str) -> None:
        self.role = role
        self.handlers: dict[type, Handler] = {}
        self.systems: list[tuple[int, System]] = []

    def handles(self, kind: type) -> Callable[[Handler], Handler]:
        """Register a function `(state, sender, item)` for a class of inbox items.

        The sender is an empty string for local events.
        """

        def register(handler: Handler) -> Handler:
            if kind in self.handlers:
                raise ValueError(f"{self.role}: {kind.__name__} has a handler already")
            self.handlers[kind] = handler
            return handler

        return register

    def system(self, *, order: int) -> Callable[[System], System]:
        """Register a function `(state)` that runs in each step after the handlers.

        Args:
            order: Systems run from the lowest to the highest order.
        """

        def register(system: System) -> System:
            self.systems.append((order, system))
            self.systems.sort(key=lambda item: item[0])
            return system

        return register
