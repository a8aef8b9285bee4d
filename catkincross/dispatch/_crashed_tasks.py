"""Placement of tasks under which workers have crashed.

Load pattern: a task crashes each worker that starts it, while all workers are busy. Its
next run must not go back to a worker that it has crashed, and takes few other runs
with it. The jobs package says when such a task is isolated or given up.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from ..jobs import Step
from ._placement import AgentResources

# A task waits this long after a crash for a worker that it has not crashed yet. Under
# load the other workers get free within the run time of a few tasks.
CRASH_AVOIDANCE_MS = 3_000
# A task that has to run alone waits this long for a worker that is empty by chance;
# after that one is kept free of new runs for it. Tasks run for up to some seconds.
EXCLUSIVE_WAIT_MS = 500
# No worker is kept free any more this long after the crash. Its runs may last, and
# other tasks that last have to begin there within 9 s.
RESERVE_LIMIT_MS = 8_000
# Interval between the orders that keep a worker free of new runs.
RESERVE_INTERVAL_MS = 300
# Shortest interval between orders to empty workers. An empty worker refuses the order
# if it is reserved for another task.
ORDER_INTERVAL_MS = 50


def candidates_after_crash(
    step_spec: Step,
    candidates: Iterable[AgentResources],
    crashed_agents: Collection[str],
    waited_ms: int,
) -> list[AgentResources]:
    """Return the workers to choose from for a task under which workers crashed.

    Args:
        step_spec: Resources and constraints of the task.
        candidates: Workers that may run the task.
        crashed_agents: Agents whose workers crashed under the task.
        waited_ms: Time since the newest crash was counted, in milliseconds.

    Returns:
        The workers that did not crash, whether the task fits there now or not; all
        candidates if no other worker is large enough, or if the wait is over.
    """
    all_candidates = list(candidates)
    others = [
        candidate
        for candidate in all_candidates
        if candidate.name not in crashed_agents and candidate.fits_when_idle(step_spec)
    ]
    return others if others and waited_ms < CRASH_AVOIDANCE_MS else all_candidates


def choose_exclusive(
    step_spec: Step,
    candidates: Iterable[AgentResources],
    crashed_agents: Collection[str],
    *,
    waited_ms: int,
    since_order_ms: int,
    may_reserve: bool,
) -> AgentResources | None:
    """Return the worker to which to send a task that has to run alone, or None.

    For some seconds after a wait this is a worker that still has runs. Its agent then
    refuses the order and keeps the worker free of new runs for a while.

    Args:
        step_spec: Resources and constraints of the task.
        candidates: Workers that may run the task.
        crashed_agents: Agents whose workers crashed under the task.
        waited_ms: Time since the newest crash was counted, in milliseconds.
        since_order_ms: Time since the newest order for the task, in milliseconds.
        may_reserve: Whether a worker that still has runs may be chosen.
    """
    suitable = [
        candidate
        for candidate in candidates_after_crash(
            step_spec, candidates, crashed_agents, waited_ms
        )
        if candidate.fits_when_idle(step_spec)
    ]
    empty = [candidate for candidate in suitable if not candidate.run_count]
    if empty and since_order_ms >= ORDER_INTERVAL_MS:
        return min(
            empty, key=lambda worker: (worker.name in crashed_agents, worker.slowdown)
        )
    if not may_reserve or not EXCLUSIVE_WAIT_MS <= waited_ms < RESERVE_LIMIT_MS:
        return None
    if since_order_ms < RESERVE_INTERVAL_MS:
        return None
    return min(
        suitable,
        key=lambda worker: (worker.run_count, worker.slowdown, worker.name),
        default=None,
    )
