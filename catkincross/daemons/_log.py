"""Structured, rate-limited log lines that never block the process."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import orjson

from ..clock import Clock

# Default rate limit: lines above it are dropped and counted. A host at the standard
# load writes about 150 lines per second.
MAX_LINES_PER_S = 800
MS_PER_S = 1_000
# Lines are buffered for this long, in seconds, because each write is a system call.
# A killed process loses at most the lines of this interval.
FLUSH_DELAY_S = 0.02
# Number of stack frames in the line of an unexpected error.
LOGGED_FRAMES = 4


class DecisionLog:
    """Writes one JSON line per decision.

    Lines above the rate limit, and lines that a full pipe does not accept, are
    dropped. The next line reports their number in `dropped_lines`.

    Args:
        process: Name of the process, the prefix of each `message_type`.
        clock: Clock of the process.
        output_fd: File descriptor to write to, made non-blocking; None for standard
            output.
        max_lines_per_s: Rate limit in lines per second.

    Attributes:
        unreported_drops: Dropped lines that no line has reported yet.
        total_dropped: Lines dropped since the start of the process.
        event_counts: Number of calls of `note` by event, dropped lines included.
        on_event: Called with the name and the fields of each event, also if its line
            is dropped; None for no callback.
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
        self._buffer: list[bytes] = []
        self._flush_scheduled = False
        self._pending_newline = b""
        self._current_second = -1
        self._lines_in_second = 0

    def note(self, event: str, **fields: Any) -> None:
        """Log an event as one line.

        Args:
            event: Name of the event, a short text; also a label of the metrics.
            fields: Inputs of the decision with their age or version, and its outcome.
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
        line = {"timestamp": time.time(), "clock_ms": now_ms, **fields}
        line["message_type"] = f"{self.process}: {event}"
        self._write(line)

    def note_request_error(self, method: str, path: str, error: Exception) -> None:
        """Log an unexpected error of an HTTP request; the client got status 500."""
        self.note("request failed", method=method, path=path, error=repr(error))

    def note_error(self, where: str, error: Exception) -> None:
        """Log an unexpected error that was contained.

        Args:
            where: What failed: a step, an effect, a message or a background task.
            error: The exception; its innermost frames are logged with it.
        """
        # Imported on first use, since errors are rare and the import takes time.
        import traceback

        frames = traceback.extract_tb(error.__traceback__)[-LOGGED_FRAMES:]
        self.note(
            "unexpected error",
            where=where,
            error=repr(error),
            frames=[f"{frame.filename}:{frame.lineno}" for frame in frames],
        )

    def note_invalid_answer(self, path: str, error: str) -> None:
        """Log an answer of the store that cannot be read and counts as none."""
        self.note("store answer invalid", path=path, error=error)

    def note_failed_call(self, path: str, reason: str) -> None:
        """Log a call to the store that got no answer or was turned away."""
        self.note("store call failed", path=path, reason=reason)

    def _write(self, line: dict[str, Any]) -> None:
        try:
            data = orjson.dumps(line, default=str)
        except TypeError:
            # A value such as an integer above 64 bits must not end the process.
            data = orjson.dumps({name: repr(value) for name, value in line.items()})
        self._buffer.append(data + b"\n")
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before the loop starts and after it ends, no timer could flush the line.
            self.flush()
            return
        if not self._flush_scheduled:
            self._flush_scheduled = True
            loop.call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write the buffered lines; drop those that a full pipe does not accept."""
        self._flush_scheduled = False
        lines, self._buffer = self._buffer, []
        data = self._pending_newline + b"".join(lines)
        try:
            written = os.write(self.output_fd, data) if data else 0
        except OSError:
            # A full pipe must not block the process.
            written = 0
        if data:
            truncated = written > 0 and data[written - 1 : written] != b"\n"
            self._pending_newline = b"\n" if truncated else b""
        if written < len(data):
            # A partly written line counts as dropped too.
            for _ in lines[data[:written].count(b"\n") :]:
                self._drop()

    def _drop(self) -> None:
        self.unreported_drops += 1
        self.total_dropped += 1
