"""Placement policies: the choice of an upstream for a task."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from ._messages import TaskSpec


@attrs.frozen
class Candidate:
    """An upstream with at least one free slot.

    Attributes:
        name: Name of its agent.
        free: Free slots.
        slots: All slots.
        speed: Learned speed; 1.0 is the mean of the service.
        distance_ms: One-way network time from the home.
    """

    name: str
    free: int
    slots: int
    speed: float
    distance_ms: float


PlacementPolicy = Callable[
    [Sequence[Candidate], TaskSpec, random.Random], Candidate | None
]
PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {}


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under the name used in the settings."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement_policy("random")
def _random(
    candidates: Sequence[Candidate], spec: TaskSpec, rng: random.Random
) -> Candidate | None:
    return rng.choice(candidates) if candidates else None


@placement_policy("least_loaded")
def _least_loaded(
    candidates: Sequence[Candidate], spec: TaskSpec, rng: random.Random
) -> Candidate | None:
    return max(candidates, key=lambda item: item.free / item.slots, default=None)


@placement_policy("expected_finish")
def _expected_finish(
    candidates: Sequence[Candidate], spec: TaskSpec, rng: random.Random
) -> Candidate | None:
    return min(
        candidates,
        key=lambda item: (
            2 * item.distance_ms + max(1, spec.run_ms) / item.speed,
            -item.free / item.slots,
        ),
        default=None,
    )
