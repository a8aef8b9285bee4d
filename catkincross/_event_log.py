"""Writes events of the cores as JSON lines."""

from __future__ import annotations

import sys

import eliot

from ._effects import Emit

# One line for each task would cost more than its dispatch.
QUIET_EVENTS = frozenset()


def start_event_log() -> None:
    """Send all log lines to the standard error stream."""
    eliot.to_file(sys.stderr)


def write_event(process: str, event: Emit) -> None:
    """Write an event, unless it is one of a single task or job."""
    if event.name not in QUIET_EVENTS:
        eliot.log_message(
            message_type=f"{event.part}: {event.name}", process=process, **event.fields
        )
