"""Admission control: rejection of jobs that cannot be served in time.

Load pattern: bursts above the capacity of the workers. A job is rejected at once if the
work queued before it would make it end too late to be of use. The rejection tells the
client account when the backlog is expected to be short enough. A rejection while
workers are free would be the worst answer, so a job is accepted while the capacity is
not known.
"""

from __future__ import annotations

import attrs

from ..jobs import Job
from ._estimates import Estimates
from ._waiting import MAX_OBJECTIVE_RATIO, critical_path_ms, objective_ms

# Added to the expected excess wait to give the retry time of a rejection, in
# milliseconds.
RETRY_MARGIN_MS = 1_000


@attrs.frozen
class Rejection:
    """Rejection of a job, which then never runs.

    Attributes:
        reason: Cause of the rejection, as it is reported to the client account.
        retry_after_ms: Time after which the job may be accepted, in milliseconds.
    """

    reason: str
    retry_after_ms: int


def expected_wait_ms(waiting_cpu_ms: float, cpu_capacity: float) -> float:
    """Return how long the waiting work keeps all workers busy, in milliseconds.

    Args:
        waiting_cpu_ms: Waiting work in millicore-milliseconds.
        cpu_capacity: Capacity for this work in millicores; 0 if not known, which
            gives a wait of 0.
    """
    return waiting_cpu_ms / cpu_capacity if cpu_capacity > 0 else 0.0


def admit(
    job: Job, estimates: Estimates, *, waiting_cpu_ms: float, cpu_capacity: float
) -> Rejection | None:
    """Decide whether a job is accepted or rejected.

    Args:
        job: The job.
        estimates: Learned run times.
        waiting_cpu_ms: Work that waits at this owner, in millicore-milliseconds.
        cpu_capacity: This owner's share of the workers' capacity in millicores; 0 if
            not known.

    Returns:
        The rejection, or None to accept the job.
    """
    wait_ms = expected_wait_ms(waiting_cpu_ms, cpu_capacity)
    max_wait_ms = MAX_OBJECTIVE_RATIO * objective_ms(job, estimates) - critical_path_ms(
        job, estimates
    )
    if wait_ms <= max_wait_ms:
        return None
    return Rejection("backlog", max(int(wait_ms - max_wait_ms), 1) + RETRY_MARGIN_MS)
