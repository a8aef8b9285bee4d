"""When a task under which workers crash is isolated or given up.

Load pattern: a few tasks crash each worker that starts them. All other runs on such a
worker are lost too, and a worker is away for some seconds. A run that was lost with
others is no proof against its task, so the task is isolated before it is given up.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

# A task with this many crashes runs only on a worker that has no other run.
CRASHES_TO_ISOLATE = 2
# A task that has found no such worker for this long after its newest crash may run
# beside others, in milliseconds. The time doubles with each further crash, up to the
# longest one.
ISOLATION_MS = 8_000
MAX_ISOLATION_MS = 64_000
# A task is given up after this many crashes if it was alone on the worker that crashed
# last.
MAX_CRASHES_IF_ALONE = 2
# A task is given up after this many crashes whatever else ran on the workers.
MAX_CRASHES = 3
# The same if it is not certain that the runs had started. A task that has not run is
# counted only if the answer to its order is lost shortly before a crash.
MAX_UNCERTAIN_CRASHES = 5


@attrs.frozen
class Crash:
    """A crash of the worker that had a run of a task.

    Attributes:
        agent: Agent of the worker.
        alone: Whether the worker had no other run when it crashed.
        counted_ms: When the owner counted the crash, on its clock.
        uncertain: Whether the run may not have started, since its order got no answer.
    """

    agent: str
    alone: bool
    counted_ms: int
    uncertain: bool = False


def must_isolate(crash_count: int) -> bool:
    """Whether a task with this many crashes runs only on a worker without others."""
    return crash_count >= CRASHES_TO_ISOLATE


def isolation_is_over(crash_count: int, waited_ms: int) -> bool:
    """Whether an isolated task may run beside others, since it has waited too long.

    Workers whose runs last never become empty.

    Args:
        crash_count: Number of crashes under the task.
        waited_ms: Time since the newest crash was counted, in milliseconds.
    """
    further_crashes = max(crash_count - CRASHES_TO_ISOLATE, 0)
    return waited_ms >= min(ISOLATION_MS << further_crashes, MAX_ISOLATION_MS)


def must_give_up(crashes: Sequence[Crash]) -> bool:
    """Whether a task, or a gang, with these crashes in order is given up."""
    certain_count = sum(not crash.uncertain for crash in crashes)
    if certain_count >= MAX_CRASHES or len(crashes) >= MAX_UNCERTAIN_CRASHES:
        return True
    return certain_count >= MAX_CRASHES_IF_ALONE and crashes[-1].alone
