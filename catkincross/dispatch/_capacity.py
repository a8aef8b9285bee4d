"""Capacity on which rejections rest.

Load pattern: after a restart of all hosts the requests of client accounts come at once,
while agents connect one by one and workers register up to 1.5 s later. Judged by the
first agent alone, the backlog would look ten times as long as it is.
"""

from __future__ import annotations


def expected_capacity(known: float, ready: int, coming: int) -> float:
    """Return the capacity that a service will have once all agents are ready.

    Args:
        known: Capacity of the service's workers that are ready, in thousandths of a
            core.
        ready: Number of agents of all services whose worker is ready.
        coming: Number of connected agents whose worker has not registered yet.

    Returns:
        Thousandths of a core; 0 while no worker is ready, which is no ground for a
        rejection.
    """
    return known * (ready + coming) / ready if ready else 0.0
