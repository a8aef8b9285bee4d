"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import eliot
import orjson

from ..clock import Clock

# Lines a second beyond which lines are dropped and counted unless the settings say
# otherwise; a host at the standard load writes about 150.
MAX_LINES_PER_S = 800
MS_PER_S = 1_000
# Lines wait this long for others, in seconds: each write costs a call to the system.
# A process that is killed loses no more than this.
FLUSH_S = 0.02


class DecisionLog:
    """Writes one line for each decision.

    Lines that cannot be written at once, or that come too fast, are dropped; the next
    line that is written tells how many.

    Args:
        process: Name of the process.
        clock: Clock of the process.
        output: File descriptor of the lines.
        lines_per_s: Lines a second beyond which lines are dropped.

    Attributes:
        dropped: Lines dropped since the last one that was written.
        all_dropped: Lines dropped since the start.
        counts: Number of notes by event.
        on_note: Is called with each event and its fields.
    """

    def __init__(
        self,
        process: str,
        clock: Clock,
        output_fd: int | None = None,
        *,
        max_lines_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        self.max_lines_per_s = max_lines_per_s
        self.process = process
        self.clock = clock
        self.output_fd = sys.stdout.fileno() if output_fd is None else output_fd
        os.set_blocking(self.output_fd, False)
        self.unreported_drops = 0
        self.total_dropped = 0
        self.event_counts: dict[str, int] = {}
        self.on_event: Callable[[str, dict[str, Any]], None] | None = None
        self._logger = eliot.Logger()
        self._buffer: list[bytes] = []
        self._flush_scheduled = False
        self._line_end = b""
        self._current_second = -1
        self._lines_in_second = 0
        eliot.add_destinations(self._write)

    def note(self, event: str, **fields: Any) -> None:
        """Write a line.

        Args:
            event: What happened, as a short text.
            fields: Inputs with their age or version, and the outcome.
        """
        self.event_counts[event] = self.event_counts.get(event, 0) + 1
        if self.on_event is not None:
            self.on_event(event, fields)
        now_ms = self.clock.now_ms()
        second = now_ms // MS_PER_S
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
        self._lines_in_second += 1
        if self._lines_in_second > self.max_lines_per_s:
            self._drop()
            return
        if self.unreported_drops:
            fields["dropped_lines"], self.unreported_drops = self.unreported_drops, 0
        # A logger of eliot by itself: a line needs none of the identities of an action.
        line = {"timestamp": time.time(), "clock_ms": now_ms, **fields}
        line["message_type"] = f"{self.process}: {event}"
        self._logger.write(line)

    def _write(self, line: dict[str, Any]) -> None:
        self._buffer.append(orjson.dumps(line, default=str) + b"\n")
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Without a loop, before the start and after the end, nothing is delayed.
            self.flush()
            return
        if not self._flush_scheduled:
            self._flush_scheduled = True
            loop.call_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Write the lines that wait; those that a full pipe does not take are lost."""
        self._flush_scheduled = False
        lines, self._buffer = self._buffer, []
        data = self._line_end + b"".join(lines)
        try:
            written = os.write(self.output_fd, data) if data else 0
        except OSError:
            # A full pipe must not hold the process up.
            written = 0
        if data:
            truncated = written > 0 and data[written - 1 : written] != b"\n"
            self._line_end = b"\n" if truncated else b""
        if written < len(data):
            # A line that was begun and cut off is counted as dropped too.
            for _ in lines[data[:written].count(b"\n") :]:
                self._drop()

    def _drop(self) -> None:
        self.unreported_drops += 1
        self.total_dropped += 1
