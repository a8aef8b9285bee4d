"""Starts of the tasks that are queued at a home, on its free slots."""

from __future__ import annotations

from collections import Counter

import attrs

from ..foundation._ids import agent_process
from ..placement._fit import TaskNeed
from ..placement._upstream import Upstream, class_speed
from ..policies._fair_queue import QueueTicket
from ..policies._lanes import ResourceLanes
from ..policies._quotas import team_quota
from ..policies._reserve import choose_unreserved
from ..policies._service_slots import ServiceSlots
from ..protocol._messages import OwnedTask, PlacedTask, TaskStart
from ._entry_registry import ENTRY
from ._entry_rows import AgentRow, HomeTask
from ._entry_state import EntryState
from ._home_slots import allocate_slot
from ._stragglers import schedule_stall_check

# Limit of the tasks that one pass over a queue defers until a faster slot is free.
MAX_DEFERRED_TASKS = 32


def estimate_need(state: EntryState, placed: PlacedTask) -> TaskNeed:
    """Return the expected run time and the resource needs of a task."""
    spec = placed.spec
    run_ms = state.dispatch.run_times.expect_ms(placed.service, spec)
    if not spec.memory_mb:
        return TaskNeed(run_ms, 0, spec.accelerators)
    largest_mb, _ = state.dispatch.service(placed.service).total_memory.max_resources()
    memory_mb = state.dispatch.memory.need_mb(placed.service, spec, largest_mb)
    return TaskNeed(run_ms, memory_mb, spec.accelerators)


def fits_no_upstream(state: EntryState, placed: PlacedTask) -> bool:
    """Whether no upstream of this home could run a task even when idle.

    False if the home has no upstream of the service.
    """
    slots = state.dispatch.services.get(placed.service)
    if slots is None or not slots.upstreams:
        return False
    spec = placed.spec
    declared = TaskNeed(0, spec.memory_mb, spec.accelerators)
    return slots.total_memory.largest_fitting(declared) is None


def enqueue(state: EntryState, row: HomeTask) -> None:
    """Queue a task at this home until it gets a slot."""
    placed, dispatch = row.placed, state.dispatch
    need = estimate_need(state, placed)
    if placed.interactive:
        dispatch.reserve.record_arrival(placed.service, state.now_ms)
    weight = team_quota(state.control, placed.team).weight
    ticket = QueueTicket(placed.team, weight, need.run_ms, placed.interactive)
    dispatch.queue(dispatch.home_queues, placed.service).push(row.key, ticket, need)
    state.home_queue[row.key] = None
    dispatch.due_services[placed.service] = None


def dequeue(state: EntryState, row: HomeTask) -> None:
    """Remove a task from the queue; one that is not queued is ignored."""
    if row.key not in state.home_queue:
        return
    del state.home_queue[row.key]
    state.dispatch.home_queues[row.placed.service].remove(row.key)


@attrs.define
class QueuePass:
    """One pass over the queue of a service.

    Attributes:
        slots: Slots of the service at this home.
        lanes: Queue of the service.
        claimed_slots: Number of slots that deferred tasks wait for, by speed class.
        deferred: Lane, key and ticket of the tasks that wait for a faster slot.
    """

    slots: ServiceSlots
    lanes: ResourceLanes[OwnedTask]
    claimed_slots: Counter[int] = attrs.field(factory=Counter)
    deferred: list[tuple[tuple[int, int], OwnedTask, QueueTicket]] = attrs.field(
        factory=list
    )


@ENTRY.system(order=450)
def _start_queued(state: EntryState) -> None:
    dispatch = state.dispatch
    if dispatch.queue_due_ms is not None and dispatch.queue_due_ms <= state.now_ms:
        dispatch.queue_due_ms = None
        dispatch.due_services.update(dict.fromkeys(dispatch.home_queues))
    if not dispatch.due_services or not state.may_dispatch():
        return
    due, dispatch.due_services = dispatch.due_services, {}
    for service in due:
        _start_service(state, service)


def _start_service(state: EntryState, service: str) -> None:
    dispatch = state.dispatch
    lanes = dispatch.home_queues.get(service)
    if not lanes:
        return
    queue_pass = QueuePass(dispatch.service(service), lanes)
    if not queue_pass.slots.slots:
        dispatch.services_without_slots[service] = None
        return
    active = lanes.nonempty_lanes()
    while active and queue_pass.slots.free_slots > 0:
        active = [lane for lane in active if _start_next(state, queue_pass, lane)]
    for lane, key, ticket in reversed(queue_pass.deferred):
        lanes.put_back(lane, key, ticket)


def _start_next(
    state: EntryState, queue_pass: QueuePass, lane: tuple[int, int]
) -> bool:
    """Start the next task of a lane; return whether to continue with the lane."""
    taken = queue_pass.lanes.pop_next(lane)
    if taken is None:
        return False
    key, ticket = taken
    row = state.home_tasks.get(key)
    if row is None or key not in state.home_queue:
        return True
    need = estimate_need(state, row.placed)
    upstream = _choose_upstream(state, queue_pass, row, need)
    if upstream is None:
        queue_pass.lanes.put_back(lane, key, ticket)
        return False
    if _must_wait_for_speed(state, queue_pass, upstream, need):
        queue_pass.deferred.append((lane, key, ticket))
        return True
    _start_task(state, row, state.agents.rows[upstream.name], upstream, need)
    return True


def _choose_upstream(
    state: EntryState, queue_pass: QueuePass, row: HomeTask, need: TaskNeed
) -> Upstream | None:
    policy, placed = queue_pass.slots.policy, row.placed
    reserved = _reserved_slots(state, queue_pass, row)
    if reserved:
        return choose_unreserved(queue_pass.slots, need, state.rng, reserved)
    earlier = None
    if placed.attempt > 1:
        key = OwnedTask(placed.owner, placed.task, placed.attempt - 1)
        earlier = state.home_tasks.get(key)
    earlier_upstream = (
        queue_pass.slots.upstreams.get(earlier.agent) if earlier is not None else None
    )
    if earlier_upstream is None or not earlier_upstream.free_slots:
        return policy.choose(need, state.rng)
    # Another upstream may succeed where that of the earlier attempt did not.
    policy.remove(earlier_upstream.name)
    chosen = policy.choose(need, state.rng)
    policy.put(earlier_upstream)
    hedged = earlier is not None and earlier.result is None
    return chosen if chosen or hedged else policy.choose(need, state.rng)


def _reserved_slots(state: EntryState, queue_pass: QueuePass, row: HomeTask) -> int:
    """Return how many free slots a task must leave to interactive tasks now."""
    if row.placed.interactive or not queue_pass.slots.policy.reserves_slots:
        return 0
    waited_until_ms = row.accepted_ms + state.settings.queues.reserve_wait_ms
    if state.now_ms >= waited_until_ms:
        return 0
    reserve = state.dispatch.reserve
    reserved = reserve.reserved_slots(
        row.placed.service, queue_pass.slots.slots, state.now_ms
    )
    if reserved:
        _schedule_queue_check(state, waited_until_ms)
    return reserved


def _schedule_queue_check(state: EntryState, due_ms: int) -> None:
    """Schedule a check of this home's queues at `due_ms`, or keep an earlier one."""
    earlier_ms = state.dispatch.queue_due_ms
    state.dispatch.queue_due_ms = (
        due_ms if earlier_ms is None else min(earlier_ms, due_ms)
    )


def _must_wait_for_speed(
    state: EntryState, queue_pass: QueuePass, upstream: Upstream, need: TaskNeed
) -> bool:
    """Return whether a task waits for a faster slot, and schedule the next check."""
    if len(queue_pass.deferred) >= MAX_DEFERRED_TASKS:
        return False
    faster_slot_ms = queue_pass.slots.forecast.find_faster_slot_ms(
        state.now_ms, need.run_ms, upstream.speed_class, queue_pass.claimed_slots
    )
    if faster_slot_ms is None:
        return False
    _schedule_queue_check(state, int(faster_slot_ms) + 1)
    return True


def _start_task(
    state: EntryState,
    row: HomeTask,
    agent: AgentRow,
    upstream: Upstream,
    need: TaskNeed,
) -> None:
    key = row.key
    del state.home_queue[key]
    run_ms = need.run_ms / class_speed(upstream.speed_class)
    allocate_slot(state, agent, key, need, state.now_ms + run_ms)
    row.agent = agent.name
    row.agent_incarnation = agent.hello.agent
    row.sent_ms = state.now_ms
    state.sent_tasks.setdefault(agent.name, {})[key] = None
    schedule_stall_check(state, row, run_ms)
    send_start(state, row, agent)


def send_start(state: EntryState, row: HomeTask, agent: AgentRow) -> None:
    """Send a task to its agent, for the first time or again."""
    placed = row.placed
    agent_now_ms = agent.agent_time_ms(state.now_ms)
    budget_ms = row.deadline_ms - state.now_ms
    start = TaskStart(
        owner=placed.owner,
        task=placed.task,
        service=placed.service,
        spec=placed.spec,
        grant_epoch=agent.hello.grant_epoch,
        start_by_ms=agent_now_ms + min(budget_ms, state.settings.jobs.start_budget_ms),
        deadline_ms=agent_now_ms + budget_ms,
        version=state.control.version,
        idempotent=placed.idempotent,
        attempt=placed.attempt,
    )
    state.batches.starts[agent_process(agent.name)].append(start)
