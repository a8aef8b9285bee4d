"""Settings of task dispatch, each with its default, unit, bounds and meaning."""

from __future__ import annotations

import attrs

from ..foundation._setting import setting
from ..placement._placement import PLACEMENT_POLICIES


@attrs.define
class EstimateSettings:
    """Section `[estimates]`: learned run times and speeds."""

    default_run_ms: int = setting(
        200,
        unit="ms",
        low=1,
        high=600_000,
        about="Run time assumed for a task that declares none, until one was measured.",
    )
    run_decay: float = setting(
        0.05,
        low=0.001,
        high=1,
        about="Weight of the newest run time in the average of a service.",
    )
    speed_decay: float = setting(
        0.05,
        low=0.001,
        high=1,
        about="Weight of the newest run time in the average speed of an upstream.",
    )


@attrs.define
class QueueSettings:
    """Section `[queues]`: queueing at homes and order of the jobs."""

    home_queue_ms: int = setting(
        1_000,
        unit="ms",
        low=10,
        high=600_000,
        about="Time that a home queues a task without a slot before it declines it.",
    )
    home_queue_permille: int = setting(
        250,
        low=0,
        high=10_000,
        about="Most tasks that an owner queues at a home, per 1,000 slots of the home.",
    )
    interactive_reserve_permille: int = setting(
        50,
        low=0,
        high=1_000,
        about="Slots, per 1,000 of a home, that batch tasks leave to interactive ones "
        "for `reserve_wait_ms` under the policy interactive_reserve; a higher value "
        "gives waiting callers faster answers.",
    )
    reserve_wait_ms: int = setting(
        150,
        unit="ms",
        low=0,
        high=600_000,
        about="Time that a batch task waits before it may take a reserved slot; a "
        "lower value raises the throughput of batch jobs.",
    )
    batch_share: float = setting(
        0.1,
        low=0,
        high=1,
        about="Smallest share of served tasks for batch jobs while some are queued.",
    )
    unplaced_ms: int = setting(
        2_000,
        unit="ms",
        low=10,
        high=600_000,
        about="Time after which a job that no upstream can take fails.",
    )
    burst_ms: int = setting(
        2_000,
        unit="ms",
        low=0,
        high=600_000,
        about="Run time by which a team that was idle may get ahead of the others.",
    )


@attrs.define
class AdmissionSettings:
    """Section `[admission]`: which jobs an owner accepts."""

    max_open_tasks: int = setting(
        200_000,
        unit="tasks",
        low=1,
        high=10_000_000,
        about="Most tasks of unfinished jobs that an owner holds.",
    )
    max_open_bytes: int = setting(
        64_000_000,
        unit="bytes",
        low=1_000,
        high=10_000_000_000,
        about="Most payload bytes of unfinished jobs that an owner holds.",
    )
    deadline_favour: float = setting(
        1.5,
        low=1,
        high=100,
        about="Divisor of a job's expected times in the checks of its deadline, since "
        "estimates may be too high.",
    )


@attrs.define
class ConcurrencySettings:
    """Section `[concurrency]`: adaptive concurrency limits of upstreams."""

    window: int = setting(
        16,
        unit="tasks",
        low=1,
        high=10_000,
        about="Results of an upstream between two adjustments of its limit.",
    )
    tolerance: float = setting(
        1.5,
        low=1,
        high=100,
        about="Ratio to the usual run time above which a limit is lowered.",
    )
    decrease: float = setting(
        0.8, low=0.1, high=1, about="Factor applied to a limit when it is lowered."
    )


@attrs.define
class EjectionSettings:
    """Section `[ejection]`: ejection of upstreams that fail too often."""

    decay: float = setting(
        0.2,
        low=0.001,
        high=1,
        about="Weight of the newest task in the average failure rate.",
    )
    excess: float = setting(
        0.4,
        low=0,
        high=1,
        about="Failure rate, beyond twice the peers', at which an upstream is ejected.",
    )
    jobs: int = setting(
        2,
        unit="jobs",
        low=1,
        high=100,
        about="Distinct jobs that must have failed on an upstream since its last "
        "success before it is ejected.",
    )
    eject_ms: int = setting(
        2_000, unit="ms", low=10, high=600_000, about="Duration of the first ejection."
    )
    longest_ms: int = setting(
        60_000,
        unit="ms",
        low=10,
        high=3_600_000,
        about="Longest duration of an ejection.",
    )
    probes: int = setting(
        3,
        unit="tasks",
        low=1,
        high=100,
        about="Successes in a row after which a probed upstream is restored.",
    )


@attrs.define
class RampSettings:
    """Section `[ramp]`: slow start of upstreams."""

    ramp_ms: int = setting(
        5_000,
        unit="ms",
        low=1,
        high=600_000,
        about="Time over which a restored upstream regains all its slots.",
    )


@attrs.define
class RetrySettings:
    """Section `[retries]`: retries and hedges of requests that may run twice."""

    retry_share: float = setting(
        0.1, low=0, high=1, about="Retries of failed requests allowed for each success."
    )
    hedge_share: float = setting(
        0.05, low=0, high=1, about="Hedges of slow requests allowed for each success."
    )
    hedge_percentile: float = setting(
        95.0,
        unit="%",
        low=50,
        high=99.9,
        about="Percentile of the answer times after which a request is hedged.",
    )
    hedge_samples: int = setting(
        20,
        unit="requests",
        low=1,
        high=10_000,
        about="Answers of a service that are measured before the first hedge.",
    )
    backoff_ms: int = setting(
        10,
        unit="ms",
        low=1,
        high=60_000,
        about="Longest backoff before the second retry; doubles with each further one.",
    )
    longest_backoff_ms: int = setting(
        1_000, unit="ms", low=1, high=600_000, about="Longest backoff before any retry."
    )


@attrs.define
class StragglerSettings:
    """Section `[stragglers]`: detection of stalled upstreams."""

    least_ms: int = setting(
        1_000,
        unit="ms",
        low=10,
        high=600_000,
        about="Shortest wait for a result before an upstream can count as stalled.",
    )
    factor: float = setting(
        4.0,
        low=1,
        high=100,
        about="The same wait as a multiple of the expected run time; the longer of "
        "this and `least_ms` applies.",
    )


@attrs.define
class PlacementSettings:
    """Section `[placement]`: how an upstream is chosen for a task."""

    policy: str = setting(
        "expected_finish",
        allowed=tuple(sorted(PLACEMENT_POLICIES)),
        about="Name of the placement policy.",
    )
    seed: int = setting(
        0, low=0, about="Seed of random choices; 0 picks a random seed."
    )
