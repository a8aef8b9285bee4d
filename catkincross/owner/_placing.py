"""Sends tasks that wait to workers with room."""

from __future__ import annotations

from collections import Counter

from ..dispatch import AgentRoom, choose_agent
from ..jobs import Task
from ..peers import Start
from ._fleet import AgentRow
from ._shard import Shard
from ._state import OwnerState, owner_system

# Tasks in a row that fit nowhere after which the rest is not tried in this step.
MAX_MISSES = 24
# An agent that has said nothing for this long gets no task, in milliseconds; it
# speaks every 400 ms.
STALE_STATE_MS = 1_300


@owner_system(order=500)
def place(state: OwnerState) -> None:
    """Send the tasks that wait, in their order, while there is room."""
    if not len(state.waiting):
        return
    rooms = _rooms(state)
    misses = 0
    for task in state.waiting.in_order():
        if misses >= MAX_MISSES or not rooms:
            return
        shard = state.shard_for(task.job.spec.id)
        if shard is None:
            continue
        if shard is not state.volatile and not state.has_authority:
            continue
        room = choose_agent(
            task.needs,
            _allowed(state, rooms, shard, task),
            avoid=task.avoid,
            remote_factor=state.limits.remote_factor,
        )
        if room is None:
            misses += 1
            continue
        _send(state, shard, task, room)
        if not state.health.usable(room.name, state.now_ms):
            rooms = [other for other in rooms if other is not room]


def _rooms(state: OwnerState) -> list[AgentRoom]:
    rooms = []
    for row in state.agents.values():
        if not _takes_work(state, row):
            continue
        room = row.room(state.estimates)
        if room is not None and room.cpu >= 0:
            rooms.append(room)
    return rooms


def _takes_work(state: OwnerState, row: AgentRow) -> bool:
    if row.state is None or not row.state.ready:
        return False
    if row.state.data_centre in state.declared.evacuated:
        return False
    if state.now_ms - row.received_ms > STALE_STATE_MS:
        return False
    return state.health.usable(row.name, state.now_ms)


def _allowed(
    state: OwnerState, rooms: list[AgentRoom], shard: Shard, task: Task
) -> list[AgentRoom]:
    service = task.job.spec.policy.service
    limit = task.needs.anti_affinity
    counts: Counter[str] = Counter()
    if limit:
        counts.update(t.agent for t in task.job.tasks[task.step] if t.agent)
    allowed = []
    for room in rooms:
        row = state.agents[room.name]
        if row.state is None or row.state.service != service:
            continue
        if shard.number not in row.reported:
            continue
        if shard is not state.volatile and room.name not in shard.used:
            continue
        if limit and counts[room.name] >= limit:
            continue
        allowed.append(room)
    return allowed


def _send(state: OwnerState, shard: Shard, task: Task, room: AgentRoom) -> None:
    row = state.agents[room.name]
    job = task.job
    run = job.next_run(task, shard.epoch)
    state.assign(task, row, run)
    needs = task.needs
    room.take(needs)
    state.health.sent(row.name)
    start = Start(
        row.order(needs),
        shard.number,
        shard.epoch,
        task.name,
        run,
        job.spec.payload,
        needs.cpu,
        needs.memory_mb,
        needs.gpu,
        task.checkpoint if needs.checkpointing else "",
    )
    state.tell(row.name, start)
    state.note(
        "run sent",
        task=task.name,
        run=run,
        agent=row.name,
        room_cpu=room.cpu,
        state_age_ms=state.now_ms - row.received_ms,
        waited_ms=state.now_ms - job.arrived_ms,
    )
