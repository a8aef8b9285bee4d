"""What the HTTP applications need of a running entry."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..entry_core._entry_state import EntryState
from ..protocol._effects import ChangeReply
from ..protocol._messages import JobAnswer


class EntryGateway(Protocol):
    """A running entry process, as its HTTP applications see it.

    Attributes:
        state: The entry's state; HTTP code reads it and never changes it.
    """

    state: EntryState

    async def request(
        self, make_item: Callable[[int], Any], *, timeout_ms: int
    ) -> JobAnswer | ChangeReply | None:
        """Post an inbox item and wait for its reply.

        Args:
            make_item: Builds the item from a new request id.
            timeout_ms: How long to wait.

        Returns:
            The reply, or None after the timeout; `CallerGone` is then posted.
        """

    async def wait_for_version_change(self, version: int, *, timeout_ms: int) -> int:
        """Wait until the control version differs from the given one.

        Returns:
            The control version; the given one after the timeout.
        """
