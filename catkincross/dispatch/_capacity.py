"""Estimates of the capacity on which admission is based.

Load pattern: after a restart of all hosts the requests of client accounts come at once,
while agents connect one by one and workers register up to 1.5 s later. Judged by the
first agent alone, the backlog would look ten times as long as it is. In addition, the
client accounts reach one entry first while the others are nearly idle, so the workers
serve that entry alone.
"""

from __future__ import annotations


def expected_capacity(
    ready_capacity: float, ready_agents: int, pending_agents: int
) -> float:
    """Return the capacity that a service will have once all agents are ready.

    The connected agents without a worker are assumed to add as much on average as
    those that are ready.

    Args:
        ready_capacity: Capacity of the service's ready workers in millicores.
        ready_agents: Number of agents of all services whose worker is ready.
        pending_agents: Number of connected agents whose worker has not registered yet.

    Returns:
        Capacity in millicores; 0 for unknown while no worker is ready, which must not
        lead to a rejection.
    """
    return (
        ready_capacity * (ready_agents + pending_agents) / ready_agents
        if ready_agents
        else 0.0
    )


def capacity_share(own_work: float, peer_work: list[float], entry_count: int) -> float:
    """Return the share of a worker's capacity that serves this entry while work waits.

    Workers serve whichever entry has work, so the share is that of this entry's work
    in the work of all entries that share the worker. Each other entry is assumed to
    have the mean of the reported work. Without a report, or without work at this
    entry, the share is that of an equal split.

    Args:
        own_work: Work that waits at this entry.
        peer_work: Work that waits at each other entry that has reported it, in the
            same unit.
        entry_count: Number of entries that share the worker.

    Returns:
        A share from 0 to 1.
    """
    others = max(entry_count - 1, 0)
    if not peer_work or own_work <= 0:
        return 1 / (others + 1)
    mean = max(sum(peer_work), 0.0) / len(peer_work)
    return own_work / (own_work + others * mean)
