"""Switches that turn single safety checks off, for tests of the tests only."""

from __future__ import annotations

import attrs


@attrs.frozen
class Guards:
    """Which safety checks are active; production code always uses the default."""

    duplicate: bool = True
    fence: bool = True
    freshness: bool = True
    start_by: bool = True
    epoch: bool = True
    census: bool = True
    drain: bool = True
    registration: bool = True


ALL_GUARDS = Guards()
