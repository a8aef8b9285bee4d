"""Switches that disable safety checks, to show that tests notice a missing check."""

from __future__ import annotations

import attrs


@attrs.frozen
class Guards:
    """Which safety checks are active; production code always uses the default.

    Attributes:
        duplicate: An agent starts a task a second time only if that is allowed: after
            an attempt that never started, or for an idempotent task that has ended.
        fence: Tasks of an owner incarnation that has ended are refused.
        freshness: Work starts only while the process's control state is current.
        start_by: An agent refuses a task after its latest start time.
        epoch: An agent takes tasks only from its home and of its current grant epoch.
        census: A key of an ended owner is settled by a census before it is reused.
        drain: An agent refuses tasks while its upstream is drained.
        registration: An agent starts tasks only if it is registered at its home.
    """

    duplicate: bool = True
    fence: bool = True
    freshness: bool = True
    start_by: bool = True
    epoch: bool = True
    census: bool = True
    drain: bool = True
    registration: bool = True


ALL_GUARDS = Guards()
