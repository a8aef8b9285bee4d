"""Checks the starts on the model's workers against the capacity that they announced."""

from __future__ import annotations

from bisect import bisect_right

from catkincross.jobs import Step
from standins.platform_worker import Capacity, PlatformWorker

from .platform_model import HEARTBEAT_MS, Model

# A worker that has shrunk counts with its new capacity this long afterwards: 3,000 ms
# and one heartbeat.
SHRUNK_AFTER_MS = 3_000 + HEARTBEAT_MS


def starts_over_capacity(model: Model, steps: dict[str, Step]) -> list[str]:
    """Return the starts that brought a worker over its capacity.

    A worker's capacity counts one heartbeat after its agent has read it, and
    `SHRUNK_AFTER_MS` after it has changed whether the agent has read it or not.

    Args:
        model: The model after its run.
        steps: Step of each job, by ID of the job.
    """
    found = []
    for name, machine in model.machines.items():
        in_use: Capacity = (0, 0, 0)
        for at_ms, event, task, run in sorted(machine.run_events, key=_event_order):
            step = steps[task.partition(".")[0]]
            sign = 1 if event == "start" else -1
            needs = (step.cpu, step.memory_mb, step.gpu)
            in_use = _add(in_use, needs, sign)
            if event != "start":
                continue
            for kind, history, age_ms in (
                ("announced", machine.announced, HEARTBEAT_MS),
                ("actual", machine.capacities, SHRUNK_AFTER_MS),
            ):
                limit = _largest_since(history, at_ms - age_ms, at_ms)
                if any(used > most for used, most in zip(in_use, limit, strict=True)):
                    found.append(
                        f"{at_ms}: {task} run {run} on {name} uses {in_use} "
                        f"of {limit} ({kind})"
                    )
    return found


def _event_order(row: tuple[int, str, str, int]) -> tuple[int, bool]:
    """Order events by time, the ends of runs before starts at the same time."""
    return row[0], row[1] == "start"


def _add(in_use: Capacity, needs: Capacity, sign: int) -> Capacity:
    cpu, memory_mb, gpu = in_use
    return cpu + sign * needs[0], memory_mb + sign * needs[1], gpu + sign * needs[2]


def _largest_since(
    history: list[tuple[int, Capacity]], since_ms: int, at_ms: int
) -> Capacity:
    """Return the most of each resource that was there at any time from `since_ms` on.

    Before the first change the capacity is the default.
    """
    rows = [(0, PlatformWorker().capacity), *history]
    first = bisect_right([row[0] for row in rows], since_ms) - 1
    capacities = [row[1] for row in rows[max(first, 0) :] if row[0] <= at_ms]
    return (
        max(capacity[0] for capacity in capacities),
        max(capacity[1] for capacity in capacities),
        max(capacity[2] for capacity in capacities),
    )
