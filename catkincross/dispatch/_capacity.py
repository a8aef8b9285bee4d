"""Capacity on which rejections rest.

Load pattern: after a restart of all hosts the requests of client accounts come at once,
while agents connect one by one and workers register up to 1.5 s later. Judged by the
first agent alone, the backlog would look ten times as long as it is. Client accounts
come to one entry first, while the others have little to do; the workers then serve
that entry alone.
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


def capacity_share(own_work: float, peer_work: list[float], entries: int) -> float:
    """Return which part of a worker serves this entry while work waits.

    Workers serve whoever has work, so the part is that of this entry's work in the
    work of all entries that share the worker.

    Args:
        own_work: Work that waits here.
        peer_work: Work that waits at each other entry that has told so.
        entries: Number of entries that share the worker.
    """
    others = max(entries - 1, 0)
    if not peer_work or own_work <= 0:
        return 1 / (others + 1)
    mean = max(sum(peer_work), 0.0) / len(peer_work)
    return own_work / (own_work + others * mean)
