"""Run time estimates that are learned from completed runs.

Load pattern: declared estimates are off by a common factor for each queue, and workers
differ in speed by a factor of three, or change their speed during the day.
"""

from __future__ import annotations

import math

import attrs

# Weight of one run in the moving averages. After about ten runs the former speed of a
# worker has little effect.
LEARNING_WEIGHT = 0.12
# A run counts as at most this many times longer or shorter than the average, so that
# a single stalled run cannot dominate it.
MAX_RUN_RATIO = 4.0
# Run time assumed for a step that declares none, in milliseconds.
DEFAULT_RUN_MS = 300


@attrs.define
class Estimates:
    """Moving averages of actual over declared run time.

    Attributes:
        queue_factors: Factor of actual over declared run time on an ordinary worker, by
            queue.
        kind_factors: Factor of run time over that of an ordinary worker, by kind of
            worker.
        agent_factors: Factor of run time over that of an ordinary worker, by agent.
    """

    queue_factors: dict[str, float] = attrs.field(factory=dict)
    kind_factors: dict[str, float] = attrs.field(factory=dict)
    agent_factors: dict[str, float] = attrs.field(factory=dict)

    def run_ms(self, queue: str, estimate_ms: int) -> float:
        """Return the expected run time on an ordinary worker, in milliseconds.

        Args:
            queue: Queue of the job.
            estimate_ms: Declared run time; 0 if none was declared.
        """
        return (estimate_ms or DEFAULT_RUN_MS) * self.queue_factors.get(queue, 1.0)

    def slowdown(self, agent: str, kind: str) -> float:
        """Return the factor of a worker's run times over those of an ordinary worker.

        The factor of the worker's kind stands in until a run on this worker has ended.
        """
        return self.agent_factors.get(agent, self.kind_factors.get(kind, 1.0))

    def observe_run(
        self, *, queue: str, estimate_ms: int, agent: str, kind: str, run_ms: int
    ) -> None:
        """Update the factors with the run time of a task that ended `done`.

        Args:
            queue: Queue of the job.
            estimate_ms: Declared run time; 0 if none was declared.
            agent: Agent of the worker that ran the task.
            kind: Kind of that worker.
            run_ms: Actual run time; not positive if not known, which changes nothing.
        """
        if run_ms <= 0:
            return
        ratio = run_ms / (estimate_ms or DEFAULT_RUN_MS)
        agent_slowdown = self.slowdown(agent, kind)
        queue_factor = self.queue_factors.get(queue, ratio / agent_slowdown)
        self.queue_factors[queue] = _moving_average(
            queue_factor, ratio / agent_slowdown
        )
        observed = ratio / queue_factor
        self.agent_factors[agent] = _moving_average(agent_slowdown, observed)
        self.kind_factors[kind] = _moving_average(
            self.kind_factors.get(kind, observed), observed
        )


def _moving_average(average: float, observed: float) -> float:
    """Return a geometric moving average with one more observed factor."""
    ratio = min(max(observed / average, 1 / MAX_RUN_RATIO), MAX_RUN_RATIO)
    return average * math.exp(LEARNING_WEIGHT * math.log(ratio))
