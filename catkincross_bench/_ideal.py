"""Ideal times: what a perfect dispatcher without overhead would reach."""

from __future__ import annotations

import heapq
from collections.abc import Sequence

from ._workload import JobPlan, Workload


def idle_ideal_ms(workload: Workload, works: Sequence[float]) -> float:
    """Return the time of a job that has all upstreams to itself.

    The tasks are placed longest first, each where it ends earliest. For a single
    task this is exact; for a job it is at most slightly above the best placement.
    """
    limit = min(workload.slots, workload.connections)
    speeds = sorted((u.speed for u in workload.upstreams), reverse=True)
    ends = [[0.0] * limit for _ in speeds]
    finish = 0.0
    for work in sorted(works, reverse=True):
        best = min(range(len(speeds)), key=lambda i: (ends[i][0] + work / speeds[i], i))
        end = ends[best][0] + work / speeds[best]
        heapq.heapreplace(ends[best], end)
        finish = max(finish, end)
    return finish


def loaded_ideal_ms(workload: Workload, plans: Sequence[JobPlan]) -> list[float]:
    """Return the response times under one queue without overhead, by plan.

    All slots are known at every moment. Interactive requests go first, then tasks
    in the order of arrival, the longest of a job first, each on the fastest free
    slot. It shows how much of a response time is due to the load itself.
    """
    limit = min(workload.slots, workload.connections)
    free = [
        (-u.speed, i) for i, u in enumerate(workload.upstreams) for _ in range(limit)
    ]
    heapq.heapify(free)
    events: list[tuple[float, int, int, int]] = []
    for index, plan in enumerate(plans):
        heapq.heappush(events, (plan.at_ms, 0, index, -1))
    queue: list[tuple[int, float, int, int, float]] = []
    left = [len(plan.works) for plan in plans]
    response = [0.0] * len(plans)
    while events:
        now, _, index, upstream = heapq.heappop(events)
        plan = plans[index]
        if upstream < 0:
            for order, work in enumerate(sorted(plan.works, reverse=True)):
                rank = 0 if plan.interactive else 1
                heapq.heappush(queue, (rank, plan.at_ms, index, order, work))
        else:
            heapq.heappush(free, (-workload.upstreams[upstream].speed, upstream))
            left[index] -= 1
            if left[index] == 0:
                response[index] = now - plan.at_ms
        while queue and free:
            _, _, started, _, work = heapq.heappop(queue)
            _, chosen = heapq.heappop(free)
            end = now + work / workload.upstreams[chosen].speed
            heapq.heappush(events, (end, 1, started, chosen))
    return response
