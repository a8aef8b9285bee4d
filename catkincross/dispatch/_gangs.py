"""Gang scheduling: placement of all tasks of a gang at once, or of none.

Load pattern: wide steps whose tasks work only together compete with narrow jobs that
take each core as soon as it is free. A member that is started alone waits idle, and
the capacity that it holds is lost to other jobs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from ..jobs import Step
from ._placement import DEFAULT_REMOTE_FACTOR, AgentResources, choose_agent

# The workers of a service are reserved for gangs for at most this long, and then left
# to other tasks for the same time: tasks that last may hold what a gang needs. Tasks
# run for up to some seconds, and one that lasts has to begin within 9 s.
RESERVE_SPAN_MS = 5_000
# The same while the service uses less than half of its capacity. Other jobs then have
# to begin within 3 s.
SHORT_SPAN_MS = 2_500
HALF_USED = 0.5


@attrs.define
class GangReservations:
    """When the workers of each service are reserved for gangs that do not fit.

    The spans belong to the service, so that those of several gangs do not add up.

    Attributes:
        spans: Begin and length of the newest span by service, in milliseconds.
    """

    spans: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def is_reserved(self, service: str, now_ms: int, used_share: float) -> bool:
        """Whether a gang that does not fit has the workers reserved now.

        Args:
            service: Service of the gang.
            now_ms: Current time on the process's clock, in milliseconds.
            used_share: Share of the service's capacity that is in use, 0 to 1.
        """
        begun_ms, length_ms = self.spans.get(service, (0, 0))
        if now_ms >= begun_ms + 2 * length_ms:
            begun_ms = now_ms
            length_ms = SHORT_SPAN_MS if used_share < HALF_USED else RESERVE_SPAN_MS
            self.spans[service] = begun_ms, length_ms
        return now_ms < begun_ms + length_ms


def choose_gang(
    step_spec: Step,
    count: int,
    workers: Iterable[AgentResources],
    *,
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
) -> list[AgentResources] | None:
    """Choose a worker for each member of a gang and allocate its resources.

    A gang that takes longer on more than one rack is placed on a single rack if one
    has room for all members.

    Args:
        step_spec: Resources and constraints of one member.
        count: Number of members.
        workers: Workers that may run members; those chosen are updated in place.
        remote_factor: Run time away from the rack of the gang's data, as a multiple of
            the run time there.

    Returns:
        One item for each member, where a worker may occur more than once; None, with
        nothing allocated, if not all members fit now.
    """
    candidates = list(workers)
    if step_spec.same_rack:
        # The first label of a worker is its kind; the rack is among the others.
        racks = sorted({label for worker in candidates for label in worker.labels[1:]})
        for rack in racks:
            on_rack = [worker for worker in candidates if rack in worker.labels]
            chosen = _allocate(step_spec, count, on_rack, remote_factor)
            if chosen is not None:
                return chosen
    return _allocate(step_spec, count, candidates, remote_factor)


def _allocate(
    step_spec: Step, count: int, workers: list[AgentResources], remote_factor: float
) -> list[AgentResources] | None:
    # Members are placed on copies first, so that a failed attempt allocates nothing.
    trial_workers = {worker.name: attrs.evolve(worker) for worker in workers}
    members: Counter[str] = Counter()
    names = []
    for _ in range(count):
        eligible = [
            worker
            for worker in trial_workers.values()
            if not step_spec.anti_affinity
            or members[worker.name] < step_spec.anti_affinity
        ]
        worker = choose_agent(step_spec, eligible, remote_factor=remote_factor)
        if worker is None:
            return None
        worker.allocate(step_spec)
        members[worker.name] += 1
        names.append(worker.name)
    by_name = {worker.name: worker for worker in workers}
    for name in names:
        by_name[name].allocate(step_spec)
    return [by_name[name] for name in names]


def gang_fits_when_idle(
    step_spec: Step, count: int, workers: Iterable[AgentResources]
) -> bool:
    """Whether all members would fit at once if the workers were idle."""
    idle_workers = [
        attrs.evolve(
            worker,
            cpu_free=worker.cpu_total,
            memory_free_mb=worker.memory_total_mb,
            gpu_free=worker.gpu_total,
        )
        for worker in workers
    ]
    return _allocate(step_spec, count, idle_workers, DEFAULT_REMOTE_FACTOR) is not None


def fits_idle_workers(step_spec: Step, workers: Iterable[AgentResources]) -> bool:
    """Whether a task of a step, or its whole gang, would fit if workers were idle."""
    workers = list(workers)
    if not any(worker.fits_when_idle(step_spec) for worker in workers):
        return False
    return not step_spec.gang or gang_fits_when_idle(
        step_spec, step_spec.count, workers
    )
