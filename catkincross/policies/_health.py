"""Limits on the use of one upstream."""

from __future__ import annotations

import attrs

from ._concurrency import ConcurrencyLimit


@attrs.define
class UpstreamHealth:
    """Limits on the use of one upstream.

    Attributes:
        concurrency: Limit on the tasks that run at a time.
        was_out_of_service: Whether it did not accept work when last checked; its return
            then counts as a restore.
        restored_ms: When it was last restored, or None if it never was.
        last_end_ms: When a task last ended on it.
        stalled: Whether it makes no progress while other upstreams do.
        paused_until_ms: When the pause after a refusal ends.
        consecutive_refusals: Number of refusals in a row.
    """

    concurrency: ConcurrencyLimit
    was_out_of_service: bool = False
    restored_ms: int | None = None
    last_end_ms: int = 0
    stalled: bool = False
    paused_until_ms: int = 0
    consecutive_refusals: int = 0
