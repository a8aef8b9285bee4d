"""Settings of the dispatch policies, each field with its unit and bounds."""

from __future__ import annotations

import attrs

from ..foundation._setting import setting
from ..placement._placement import PLACEMENT_POLICIES


@attrs.define
class EstimateSettings:
    """Section `[estimates]`."""

    default_run_ms: int = setting(
        200,
        unit="ms",
        low=1,
        high=600_000,
        about="Run time expected of a task that declares none, until one has ended.",
    )
    run_decay: float = setting(
        0.05, low=0.001, high=1, about="Weight of the newest run time of a service."
    )
    speed_decay: float = setting(
        0.05, low=0.001, high=1, about="Weight of the newest run time of an upstream."
    )


@attrs.define
class QueueSettings:
    """Section `[queues]`."""

    home_queue_ms: int = setting(
        1_000,
        unit="ms",
        low=10,
        high=600_000,
        about="How long a home keeps a task without a slot before it declines it.",
    )
    home_queue_permille: int = setting(
        250,
        low=0,
        high=10_000,
        about="Tasks that an owner lets wait at a home, per 1,000 of its slots.",
    )
    interactive_reserve_permille: int = setting(
        50,
        low=0,
        high=1_000,
        about="Slots, per 1,000 of a home's, that batch tasks leave to interactive "
        "ones at first under the policy interactive_reserve; more for shorter "
        "answers to waiting callers.",
    )
    reserve_wait_ms: int = setting(
        150,
        unit="ms",
        low=0,
        high=600_000,
        about="How long a batch task waits before it may take a reserved slot; "
        "less for more work done by batch jobs.",
    )
    batch_share: float = setting(
        0.1, low=0, high=1, about="Least share of the turns for batch work."
    )
    unplaced_ms: int = setting(
        2_000,
        unit="ms",
        low=10,
        high=600_000,
        about="Wait of a job that no upstream can take before it fails.",
    )
    burst_ms: int = setting(
        2_000,
        unit="ms",
        low=0,
        high=600_000,
        about="Work by which a team that was idle may run ahead of the others.",
    )


@attrs.define
class AdmissionSettings:
    """Section `[admission]`."""

    max_open_tasks: int = setting(
        200_000,
        unit="tasks",
        low=1,
        high=10_000_000,
        about="Most tasks that an owner keeps at a time.",
    )
    max_open_bytes: int = setting(
        64_000_000,
        unit="bytes",
        low=1_000,
        high=10_000_000_000,
        about="Most payload bytes that an owner keeps at a time.",
    )
    deadline_favour: float = setting(
        1.5,
        low=1,
        high=100,
        about="Factor by which work may be faster than expected, for a refusal.",
    )


@attrs.define
class ConcurrencySettings:
    """Section `[concurrency]`."""

    window: int = setting(
        16, unit="tasks", low=1, high=10_000, about="Results for each adjustment."
    )
    tolerance: float = setting(
        1.5, low=1, high=100, about="Run time over the usual one that lowers the limit."
    )
    decrease: float = setting(
        0.8, low=0.1, high=1, about="Factor that lowers the limit of an upstream."
    )


@attrs.define
class EjectionSettings:
    """Section `[ejection]`."""

    decay: float = setting(
        0.2, low=0.001, high=1, about="Weight of the newest task in the failure rate."
    )
    excess: float = setting(
        0.4, low=0, high=1, about="Failure rate above the peers' that ejects."
    )
    jobs: int = setting(
        2, unit="jobs", low=1, high=100, about="Jobs that must fail on an upstream."
    )
    eject_ms: int = setting(
        2_000, unit="ms", low=10, high=600_000, about="Duration of a first ejection."
    )
    longest_ms: int = setting(
        60_000, unit="ms", low=10, high=3_600_000, about="Longest ejection."
    )
    probes: int = setting(
        3, unit="tasks", low=1, high=100, about="Successes that end an ejection."
    )


@attrs.define
class RampSettings:
    """Section `[ramp]`."""

    ramp_ms: int = setting(
        5_000,
        unit="ms",
        low=1,
        high=600_000,
        about="Time in which a restored upstream gets all its slots.",
    )


@attrs.define
class RetrySettings:
    """Section `[retries]`."""

    retry_share: float = setting(
        0.1, low=0, high=1, about="Retries of failed requests for each success."
    )
    hedge_share: float = setting(
        0.05, low=0, high=1, about="Hedges of slow requests for each success."
    )
    hedge_percentile: float = setting(
        95.0, unit="%", low=50, high=99.9, about="Answers that come without a hedge."
    )
    hedge_samples: int = setting(
        20, unit="requests", low=1, high=10_000, about="Answers before the first hedge."
    )
    backoff_ms: int = setting(
        10, unit="ms", low=1, high=60_000, about="Longest wait before a second retry."
    )
    longest_backoff_ms: int = setting(
        1_000, unit="ms", low=1, high=600_000, about="Longest wait before any retry."
    )


@attrs.define
class StragglerSettings:
    """Section `[stragglers]`."""

    least_ms: int = setting(
        1_000,
        unit="ms",
        low=10,
        high=600_000,
        about="Shortest wait for a result before an upstream can count as stalled.",
    )
    factor: float = setting(
        4.0, low=1, high=100, about="Expected run times to wait before the same."
    )


@attrs.define
class PlacementSettings:
    """Section `[placement]`."""

    policy: str = setting(
        "expected_finish",
        allowed=tuple(sorted(PLACEMENT_POLICIES)),
        about="Name of the placement policy.",
    )
    seed: int = setting(0, low=0, about="Seed of random choices; 0 draws one.")
