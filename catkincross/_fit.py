"""Fit: whether an upstream has the memory and the accelerators for a task."""

from __future__ import annotations

import attrs

from ._upstream import Upstream


@attrs.frozen
class TaskNeed:
    """What a task takes while it runs.

    Attributes:
        run_ms: Expected run time on an upstream of mean speed.
        memory_mb: Expected memory; 0 if nothing is known.
        accelerators: Accelerators that it occupies.
    """

    run_ms: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


def fits(upstream: Upstream, need: TaskNeed) -> bool:
    """Whether a task fits into what is free on an upstream now."""
    return (
        upstream.memory_free_mb >= need.memory_mb
        and upstream.accelerators_free >= need.accelerators
    )
