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
from ._placement import DEFAULT_REMOTE_FACTOR, AgentRoom, choose_agent


def choose_gang(
    needs: Step,
    count: int,
    rooms: Iterable[AgentRoom],
    *,
    remote_factor: float = DEFAULT_REMOTE_FACTOR,
) -> list[AgentRoom] | None:
    """Choose a worker for each member of a gang and allocate its resources.

    A gang that takes longer on more than one rack is placed on a single rack if one
    has room for all members.

    Args:
        needs: Resources and constraints of one member.
        count: Number of members.
        rooms: Workers that may run members; those chosen are updated in place.
        remote_factor: Factor of the run time away from the rack of the gang's data.

    Returns:
        One item for each member, where a worker may occur more than once; None, with
        nothing allocated, if not all members fit now.
    """
    candidates = list(rooms)
    if needs.same_rack:
        # The first label of a worker is its kind; the rack is among the others.
        racks = sorted({label for room in candidates for label in room.labels[1:]})
        for rack in racks:
            on_rack = [room for room in candidates if rack in room.labels]
            chosen = _allocate(needs, count, on_rack, remote_factor)
            if chosen is not None:
                return chosen
    return _allocate(needs, count, candidates, remote_factor)


def _allocate(
    needs: Step, count: int, rooms: list[AgentRoom], remote_factor: float
) -> list[AgentRoom] | None:
    # Members are placed on copies first, so that a failed attempt allocates nothing.
    trial_rooms = {room.name: attrs.evolve(room) for room in rooms}
    members: Counter[str] = Counter()
    names = []
    for _ in range(count):
        eligible = [
            room
            for room in trial_rooms.values()
            if not needs.anti_affinity or members[room.name] < needs.anti_affinity
        ]
        room = choose_agent(needs, eligible, remote_factor=remote_factor)
        if room is None:
            return None
        room.take(needs)
        members[room.name] += 1
        names.append(room.name)
    by_name = {room.name: room for room in rooms}
    for name in names:
        by_name[name].take(needs)
    return [by_name[name] for name in names]


def gang_could_fit(needs: Step, count: int, rooms: Iterable[AgentRoom]) -> bool:
    """Whether all members would fit at once if the workers were idle."""
    idle_rooms = [
        attrs.evolve(
            room, cpu=room.cpu_total, memory_mb=room.memory_total_mb, gpu=room.gpu_total
        )
        for room in rooms
    ]
    return _allocate(needs, count, idle_rooms, DEFAULT_REMOTE_FACTOR) is not None
