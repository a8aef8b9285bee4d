"""Rejection of jobs that cannot be served in time.

Load pattern: bursts above what the workers can run. A job is rejected at once if the
work that waits before it would make it end too late to be of use; the answer tells
when the backlog is expected to be short enough. While workers are free, or none of
the stated reasons holds, every job is accepted.
"""

from __future__ import annotations

import attrs

from ..jobs import Job
from ._estimates import Estimates
from ._waiting import MAX_OBJECTIVE_RATIO, chain_ms, objective_ms

# Retry-After while the expected wait is not known, in milliseconds.
UNKNOWN_WAIT_MS = 1_000


@attrs.frozen
class Rejected:
    """A job is not accepted and never runs.

    Attributes:
        reason: Why.
        retry_after_ms: When it may be accepted.
    """

    reason: str
    retry_after_ms: int


def expected_wait_ms(waiting_cpu_ms: float, cpu_capacity: float) -> float:
    """Return how long work that waits keeps all workers busy.

    Args:
        waiting_cpu_ms: Work that waits, in thousandths of a core times milliseconds.
        cpu_capacity: Capacity for this work in thousandths of a core.
    """
    return waiting_cpu_ms / cpu_capacity if cpu_capacity > 0 else 0.0


def admit(
    job: Job, estimates: Estimates, *, waiting_cpu_ms: float, cpu_capacity: float
) -> Rejected | None:
    """Decide whether a job is rejected.

    Args:
        job: The job.
        estimates: Learned run times.
        waiting_cpu_ms: Work that waits at this owner.
        cpu_capacity: This owner's part of the workers' capacity; 0 if not known.

    Returns:
        The rejection, or None to accept the job.
    """
    wait = expected_wait_ms(waiting_cpu_ms, cpu_capacity)
    limit = MAX_OBJECTIVE_RATIO * objective_ms(job, estimates) - chain_ms(
        job, estimates
    )
    if wait <= limit:
        return None
    return Rejected("backlog", max(int(wait - limit), 1) + UNKNOWN_WAIT_MS)
