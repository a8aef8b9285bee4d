"""Registry of the message handlers and systems of a decision core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

State = TypeVar("State")
Handler = Callable[[Any, str, Any], None]
System = Callable[[Any], None]


class CoreRegistry(Generic[State]):
    """Handlers by class of message or local event, and systems in running order.

    A system is a function that runs in each step of the core, after the handlers.

    Args:
        role: Role of the process, `entry` or `agent`; used in error messages.
    """

    def __init__(self, role: str) -> None:
        self.role = role
        self.handlers: dict[type, Handler] = {}
        self.systems: list[tuple[int, System]] = []

    def handler(self, cls: type) -> Callable[[Handler], Handler]:
        """Register a function for a class of messages or local events.

        The function takes `(state, sender, item)`. The sender is the process name of
        the sender of a message, or an empty string for a local event.

        Raises:
            ValueError: If the class already has a handler.
        """

        def register(handler: Handler) -> Handler:
            if cls in self.handlers:
                raise ValueError(f"{self.role}: {cls.__name__} already has a handler")
            self.handlers[cls] = handler
            return handler

        return register

    def system(self, *, order: int) -> Callable[[System], System]:
        """Register a function `(state)` that runs in each step after the handlers.

        Args:
            order: Position in the step; systems run in ascending order.
        """

        def register(system: System) -> System:
            self.systems.append((order, system))
            self.systems.sort(key=lambda item: item[0])
            return system

        return register
