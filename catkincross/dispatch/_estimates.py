"""Learned run times: declared estimates are far off, and workers differ in speed.

Load pattern: estimates off by a common factor for each queue, and workers whose speed
differs by a factor of three or changes during the day.
"""

from __future__ import annotations

import math

import attrs

# Weight of one run in the learned factors; about ten runs forget a worker's old speed.
LEARNING_WEIGHT = 0.12
# A single run moves a factor by at most this ratio, so that a hung run does not
# decide alone.
MAX_RATIO = 4.0
# Run time assumed where a job declares none, in milliseconds.
DEFAULT_RUN_MS = 300


@attrs.define
class Estimates:
    """Factors of run time over estimate, by queue, by kind of worker and by worker."""

    queues: dict[str, float] = attrs.field(factory=dict)
    kinds: dict[str, float] = attrs.field(factory=dict)
    agents: dict[str, float] = attrs.field(factory=dict)

    def run_ms(self, queue: str, estimate_ms: int) -> float:
        """Return the expected run time on a worker of ordinary speed."""
        return (estimate_ms or DEFAULT_RUN_MS) * self.queues.get(queue, 1.0)

    def slowness(self, agent: str, kind: str) -> float:
        """Return how much longer a worker takes than an ordinary one."""
        return self.agents.get(agent, self.kinds.get(kind, 1.0))

    def learn(
        self, *, queue: str, estimate_ms: int, agent: str, kind: str, run_ms: int
    ) -> None:
        """Take the run time of a task that ended `done`."""
        if run_ms <= 0:
            return
        ratio = run_ms / (estimate_ms or DEFAULT_RUN_MS)
        slow = self.slowness(agent, kind)
        factor = self.queues.get(queue, ratio / slow)
        self.queues[queue] = _towards(factor, ratio / slow)
        seen = ratio / factor
        self.agents[agent] = _towards(slow, seen)
        self.kinds[kind] = _towards(self.kinds.get(kind, seen), seen)


def _towards(old: float, seen: float) -> float:
    ratio = min(max(seen / old, 1 / MAX_RATIO), MAX_RATIO)
    return old * math.exp(LEARNING_WEIGHT * math.log(ratio))
