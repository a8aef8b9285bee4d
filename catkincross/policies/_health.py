"""Limits on the use of one upstream."""

from __future__ import annotations

import attrs

from ._concurrency import ConcurrencyLimit


@attrs.define
class Health:
    """Limits on the use of one upstream.

    Attributes:
        concurrency: Limit on the tasks that run at a time.
        drained: Whether it was seen out of service, so that its return is a restore.
        restored_ms: When it was last restored, or None if it never was.
        progress_ms: When a task last ended on it.
        stalled: Whether it makes no progress while other upstreams do.
        paused_until_ms: When the pause after a refusal ends.
        refusals: Number of consecutive refusals.
    """

    concurrency: ConcurrencyLimit
    drained: bool = False
    restored_ms: int | None = None
    progress_ms: int = 0
    stalled: bool = False
    paused_until_ms: int = 0
    refusals: int = 0
