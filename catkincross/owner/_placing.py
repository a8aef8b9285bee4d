"""Sends tasks that wait to workers with room."""

from __future__ import annotations

from collections import Counter

from ..dispatch import AgentRoom, choose_agent, choose_gang, jobs_to_defer
from ..jobs import Step, Task, TaskState
from ..peers import Start
from ._fleet import AgentInfo
from ._requests import stop_run
from ._shard import Shard
from ._state import OwnerState, owner_system

# Tasks in a row that fit nowhere after which the rest is not tried in this step.
MAX_MISSES = 24
# Interval of trying to place tasks if no event gave room, in milliseconds; it bounds
# the delay after a change that only time brings, such as the end of an ejection.
PLACE_INTERVAL_MS = 50
# A gang that has found no room for this long keeps the room of its service free until
# all of its members fit, in milliseconds; tasks last up to some seconds.
GANG_RESERVE_MS = 500
# An agent that has said nothing for this long gets no task, in milliseconds; it
# speaks every 200 ms, so that several states may be lost.
STALE_STATE_MS = 1_300


@owner_system(order=500)
def place(state: OwnerState) -> None:
    """Send the tasks that wait, in their order, while there is room."""
    if not len(state.waiting):
        return
    if not state.room_grew and state.now_ms < state.next_place_ms:
        return
    state.room_grew = False
    state.next_place_ms = state.now_ms + PLACE_INTERVAL_MS
    rooms = Rooms(state)
    state.waiting.defer_late(state.now_ms)
    if state.now_ms >= state.next_defer_ms:
        state.next_defer_ms = state.now_ms + PLACE_INTERVAL_MS
        defer_overload(state, rooms)
    misses = 0
    for task in state.waiting.in_order():
        if misses >= MAX_MISSES or not rooms.any:
            return
        shard = state.shard_for(task.job.spec.id)
        if shard is None or task.state is not TaskState.WAITING:
            continue
        if shard is not state.volatile and not state.has_authority:
            continue
        if task.needs.gang:
            placed = place_gang(state, shard, task, rooms)
        elif rooms.known_full(task):
            continue
        else:
            placed = _place_task(state, shard, task, rooms)
        misses += not placed


def _place_task(state: OwnerState, shard: Shard, task: Task, rooms: Rooms) -> bool:
    """Send a task to the best worker with room; return whether there is one."""
    room = choose_agent(
        task.needs,
        rooms.allowed(shard, task),
        avoid=task.avoid,
        remote_factor=state.limits.remote_factor,
    )
    if room is None:
        rooms.missed(task)
        return False
    room.take(task.needs)
    send(state, shard, task, room, task.job.next_run(task, shard.epoch))
    if not state.health.usable(room.name, state.now_ms):
        rooms.drop(room)
    return True


def defer_overload(state: OwnerState, rooms: Rooms) -> None:
    """Defer jobs that would make themselves and others late."""
    for service, waiting in state.waiting.cpu_ms.items():
        capacity = state.capacity(service)
        if waiting <= 0 or capacity <= 0:
            continue
        found = [r for r in rooms.all if state.agents[r.name].serves(service)]
        total = sum(room.cpu_total for room in found) or 1
        # Of the room that is free now this entry gets the same part as of all.
        free_cpu = sum(room.cpu for room in found) * min(capacity / total, 1.0)
        jobs_in_time = state.waiting.in_time(service, state.estimates)
        deferred = jobs_to_defer(
            jobs_in_time, now_ms=state.now_ms, capacity=capacity, free_cpu=free_cpu
        )
        for waiting_job in deferred:
            state.waiting.defer(waiting_job.job)
        if deferred:
            state.note(
                "jobs deferred",
                service=service,
                jobs=[waiting_job.job.spec.id for waiting_job in deferred],
                of=len(jobs_in_time),
                waiting_cpu_ms=round(waiting),
                capacity_cpu=round(capacity),
                free_cpu=round(free_cpu),
            )


class Rooms:
    """Rooms of all workers in one step, and which needs found none.

    Args:
        state: The owner.
    """

    def __init__(self, state: OwnerState) -> None:
        self.state = state
        self.all = _rooms(state)
        self._by_place: dict[tuple[str, int], list[AgentRoom]] = {}
        self._full: dict[str, list[Step]] = {}
        self.gangs_without_room: set[tuple[str, int]] = set()

    @property
    def any(self) -> bool:
        """Whether a worker is left."""
        return bool(self.all)

    def drop(self, room: AgentRoom) -> None:
        """Leave a worker out for the rest of the step."""
        self.all.remove(room)
        self._by_place.clear()

    def missed(self, task: Task) -> None:
        """Note that a task fits nowhere: no larger one of its service does."""
        needs = task.needs
        if not (needs.requires or needs.anti_affinity):
            self._full.setdefault(task.job.spec.policy.service, []).append(needs)

    def reserve(self, service: str) -> None:
        """Leave the workers of a service to a gang for the rest of the step."""
        for room in list(self.all):
            if self.state.agents[room.name].serves(service):
                self.all.remove(room)
        self._by_place.clear()

    def known_full(self, task: Task) -> bool:
        """Whether a task that needs no more has found no room in this step."""
        needs = task.needs
        return any(
            other.cpu <= needs.cpu
            and other.memory_mb <= needs.memory_mb
            and other.gpu <= needs.gpu
            for other in self._full.get(task.job.spec.policy.service, ())
        )

    def allowed(self, shard: Shard, task: Task) -> list[AgentRoom]:
        """Return the rooms that a task may take."""
        key = task.job.spec.policy.service, shard.number
        found = self._by_place.get(key)
        if found is None:
            found = self._by_place[key] = _allowed(self.state, self.all, shard, task)
        limit = task.needs.anti_affinity
        if not limit:
            return found
        counts = Counter(t.agent for t in task.job.tasks[task.step] if t.agent)
        return [room for room in found if counts[room.name] < limit]


def _rooms(state: OwnerState) -> list[AgentRoom]:
    rooms = []
    for agent_info in state.agents.values():
        if not _takes_work(state, agent_info):
            continue
        room = agent_info.resources(state.estimates)
        if room is not None and room.cpu >= 0:
            rooms.append(room)
    return rooms


def _takes_work(state: OwnerState, agent_info: AgentInfo) -> bool:
    if (
        agent_info.profile is None
        or agent_info.state is None
        or not agent_info.state.ready
    ):
        return False
    if agent_info.profile.data_centre in state.declared.evacuated:
        return False
    if state.now_ms - agent_info.received_ms > STALE_STATE_MS:
        return False
    return state.health.usable(agent_info.name, state.now_ms)


def _allowed(
    state: OwnerState, rooms: list[AgentRoom], shard: Shard, task: Task
) -> list[AgentRoom]:
    service = task.job.spec.policy.service
    allowed = []
    for room in rooms:
        agent_info = state.agents[room.name]
        if not agent_info.serves(service):
            continue
        if shard.number not in agent_info.reported_shards:
            continue
        if shard is not state.volatile and room.name not in shard.used:
            continue
        allowed.append(room)
    return allowed


def place_gang(state: OwnerState, shard: Shard, task: Task, rooms: Rooms) -> bool:
    """Send all members of a gang, or none; return False if it found no room.

    Members of a run that has lost one are stopped first: they could only wait for it.
    """
    gang = task.job.spec.id, task.step
    if gang in rooms.gangs_without_room:
        return True
    members = task.job.tasks[task.step]
    left = [member for member in members if member.state is TaskState.ASSIGNED]
    for member in left:
        if not member.stopping:
            stop_run(state, shard, member)
    if left:
        return True
    chosen = choose_gang(
        task.needs,
        len(members),
        rooms.allowed(shard, task),
        remote_factor=state.limits.remote_factor,
    )
    if chosen is None:
        rooms.gangs_without_room.add(gang)
        waited_ms = state.now_ms - task.job.arrived_ms
        if waited_ms > GANG_RESERVE_MS:
            rooms.reserve(task.job.spec.policy.service)
        return False
    run = max(task.job.next_run(member, shard.epoch) for member in members)
    # A checkpoint of any member is valid for the gang, and all have to carry the same.
    checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
    for member, room in zip(members, chosen, strict=True):
        member.checkpoint = checkpoint
        send(state, shard, member, room, run)
    return True


def send(
    state: OwnerState, shard: Shard, task: Task, room: AgentRoom, run: int
) -> None:
    """Order a run on a worker whose room was taken for it."""
    agent_info = state.agents[room.name]
    job = task.job
    state.assign(task, agent_info, run)
    needs = task.needs
    state.health.sent(agent_info.name)
    task.order = agent_info.record_order(needs)
    start = Start(
        task.order,
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
    state.tell(agent_info.name, start)
    state.note(
        "run sent",
        task=task.name,
        run=run,
        agent=agent_info.name,
        room_cpu=room.cpu,
        state_age_ms=state.now_ms - agent_info.received_ms,
        waited_ms=state.now_ms - job.arrived_ms,
    )
