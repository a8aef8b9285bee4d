"""What limits the use of one upstream."""

from __future__ import annotations

import attrs

from ._concurrency import ConcurrencyLimit


@attrs.define
class Health:
    """What limits the use of one upstream.

    Attributes:
        drained: It was seen out of service, so its return is a restore.
        restored_ms: When it was restored, or None.
        progress_ms: When a task ended there last.
        stalled: It makes no progress while others do.
        paused_until_ms: End of the pause after a refusal.
        refusals: Refusals in a row.
    """

    concurrency: ConcurrencyLimit
    drained: bool = False
    restored_ms: int | None = None
    progress_ms: int = 0
    stalled: bool = False
    paused_until_ms: int = 0
    refusals: int = 0
