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


def must_give_up(crashes: Sequence[Crash]) -> bool:
    """Whether a task, or a gang, with these crashes in order is given up."""
    certain_count = sum(not crash.uncertain for crash in crashes)
    if certain_count >= MAX_CRASHES or len(crashes) >= MAX_UNCERTAIN_CRASHES:
        return True
    return certain_count >= MAX_CRASHES_IF_ALONE and crashes[-1].alone
