"""Places waiting tasks on workers with enough free resources."""

from __future__ import annotations

from ..dispatch import (
    AgentResources,
    candidates_after_crash,
    choose_agent,
    choose_exclusive,
    choose_gang,
    jobs_to_defer,
)
from ..jobs import Task, TaskState
from ..peers import Start
from ._placement_candidates import PlacementCandidates
from ._requests import stop_run
from ._shard import Shard
from ._state import OwnerState, owner_system

# A placement pass ends after this many tasks that fit on no worker now. Tasks that are
# too large for all workers, or may not share one with others of their step, are not
# counted, since they may wait for a long time.
MAX_UNPLACED_TASKS = 24
# Interval between placement passes if no event frees resources. It bounds the delay
# after changes that come with no event, such as the end of an ejection.
PLACEMENT_INTERVAL_MS = 50
# A gang that does not fit this long after its job arrived has the workers of its
# service reserved for some of the time.
GANG_RESERVE_MS = 500


@owner_system(order=500)
def place_waiting_tasks(state: OwnerState) -> None:
    """Try to place the waiting tasks, in queue order.

    A pass ends early when no candidate is left or too many tasks fit nowhere. Tasks of
    stored jobs are placed only while the owner has authority.
    """
    if not len(state.waiting):
        return
    if not state.retry_placement and state.now_ms < state.next_placement_ms:
        return
    state.retry_placement = False
    state.next_placement_ms = state.now_ms + PLACEMENT_INTERVAL_MS
    candidates = PlacementCandidates(state)
    state.waiting.defer_late(state.now_ms)
    if state.now_ms >= state.next_deferral_ms:
        state.next_deferral_ms = state.now_ms + PLACEMENT_INTERVAL_MS
        defer_overload(state, candidates)
    unplaced_count = 0
    for task in state.waiting.in_order():
        if unplaced_count >= MAX_UNPLACED_TASKS or not candidates.any:
            return
        shard = state.shard_for(task.job.spec.id)
        if shard is None or task.state is not TaskState.WAITING:
            continue
        if shard is not state.volatile and not state.has_authority:
            continue
        if task.step_spec.gang:
            placed = place_gang(state, shard, task, candidates)
        elif task.runs_alone(state.now_ms):
            place_exclusive(state, shard, task, candidates)
            continue
        elif candidates.known_not_to_fit(shard, task):
            continue
        else:
            placed = _place_task(state, shard, task, candidates)
        # Tasks with crashes leave some workers out, which may have room for others.
        placed = placed or bool(task.crashes)
        if not placed and not _waits_for_a_worker(candidates, shard, task):
            unplaced_count += 1


def _waits_for_a_worker(
    candidates: PlacementCandidates, shard: Shard, task: Task
) -> bool:
    """Whether no resources that get free on the candidates would let a task start."""
    return candidates.too_large(shard, task) or candidates.all_at_limit(shard, task)


def _place_task(
    state: OwnerState, shard: Shard, task: Task, candidates: PlacementCandidates
) -> bool:
    """Send a task to the best worker on which it fits; return whether one was found."""
    crashed_agents = task.crashed_agents
    eligible = candidates.eligible(shard, task)
    suspect_agents: set[str] = set()
    if crashed_agents:
        waited_ms = state.now_ms - task.crash_counted_ms
        eligible = candidates_after_crash(
            task.step_spec, eligible, crashed_agents, waited_ms
        )
        suspect_agents = _agents_with_crashed_tasks(state)
    candidate = choose_agent(
        task.step_spec,
        eligible,
        avoided_agents=(*task.avoided_agents, *crashed_agents),
        remote_factor=state.limits.remote_factor,
        # The rest of a started job is not held back, since its runs would be wasted.
        deferred=state.waiting.is_deferred(task) and not task.job.started,
        prefer_empty=bool(crashed_agents),
        suspect_agents=suspect_agents,
    )
    if candidate is None:
        if not crashed_agents:
            candidates.record_unplaced(task)
        return False
    candidate.allocate(task.step_spec)
    send_start(state, shard, task, candidate, task.job.next_run(task, shard.epoch))
    if not state.accepts_tasks(state.agents[candidate.name]):
        candidates.exclude(candidate)
    return True


def _agents_with_crashed_tasks(state: OwnerState) -> set[str]:
    """Return the agents that have a run of a task under which a worker has crashed.

    Tasks that were lost together are spread over several workers, so that those which
    are not the cause do not meet it again.
    """
    return {
        agent_info.name
        for agent_info in state.agents.values()
        if any(task.crashes for task in agent_info.assigned_tasks)
    }


def place_exclusive(
    state: OwnerState, shard: Shard, task: Task, candidates: PlacementCandidates
) -> None:
    """Send a task that has to run alone to an empty worker, or have one reserved."""
    candidate = choose_exclusive(
        task.step_spec,
        candidates.eligible(shard, task),
        task.crashed_agents,
        waited_ms=state.now_ms - task.crash_counted_ms,
        since_order_ms=state.now_ms - task.sent_ms,
        may_reserve=candidates.may_reserve,
    )
    candidates.may_reserve = False
    if candidate is None:
        return
    send_start(state, shard, task, candidate, task.job.next_run(task, shard.epoch))
    state.agents[candidate.name].exclusive_order = task.order_number
    candidates.exclude(candidate)


def defer_overload(state: OwnerState, candidates: PlacementCandidates) -> None:
    """Defer jobs of each service whose waiting jobs cannot all start in time."""
    for service, waiting_work in state.waiting.work_by_service.items():
        capacity = state.capacity(service)
        if waiting_work <= 0 or capacity <= 0:
            continue
        serving = [c for c in candidates.all if state.agents[c.name].serves(service)]
        total_cpu = sum(candidate.cpu_total for candidate in serving) or 1
        # This entry is assumed to get the same share of the free cores as of the total
        # capacity.
        free_cpu = sum(candidate.cpu_free for candidate in serving) * min(
            capacity / total_cpu, 1.0
        )
        jobs_in_time = state.waiting.jobs_in_time(service, state.estimates)
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
                waiting_cpu_ms=round(waiting_work),
                capacity_cpu=round(capacity),
                free_cpu=round(free_cpu),
            )


def place_gang(
    state: OwnerState, shard: Shard, task: Task, candidates: PlacementCandidates
) -> bool:
    """Place all members of a gang or none.

    If members of an earlier run are still assigned, another member of that run was
    lost. They are stopped first, since they could only wait for the lost one.

    Returns:
        False if the gang was tried for the first time in this pass and did not fit.
    """
    gang = task.job.spec.id, task.step
    if gang in candidates.unplaced_gangs:
        return True
    members = task.job.tasks[task.step]
    still_assigned = [
        member for member in members if member.state is TaskState.ASSIGNED
    ]
    for member in still_assigned:
        if not member.stopping:
            stop_run(state, shard, member)
    if still_assigned:
        return True
    if candidates.too_large(shard, task):
        candidates.unplaced_gangs.add(gang)
        return False
    eligible = candidates.eligible(shard, task)
    crashed_agents = {crash.agent for crash in task.job.crashes_of(task)}
    others = [c for c in eligible if c.name not in crashed_agents]
    chosen = None
    for workers in (others, eligible) if crashed_agents else (eligible,):
        chosen = chosen or choose_gang(
            task.step_spec,
            len(members),
            workers,
            remote_factor=state.limits.remote_factor,
        )
    if chosen is None:
        candidates.unplaced_gangs.add(gang)
        if state.now_ms - task.job.arrived_ms > GANG_RESERVE_MS:
            _reserve_for_gangs(state, task.job.spec.policy.service, candidates)
        return False
    run = max(task.job.next_run(member, shard.epoch) for member in members)
    # A checkpoint of any member is valid for the whole gang, and all members have to
    # resume from the same one.
    checkpoint = next((m.checkpoint for m in members if m.checkpoint), "")
    for member, candidate in zip(members, chosen, strict=True):
        member.checkpoint = checkpoint
        send_start(state, shard, member, candidate, run)
    return True


def _reserve_for_gangs(
    state: OwnerState, service: str, candidates: PlacementCandidates
) -> None:
    """Reserve the workers of a service for the rest of the pass, if it is time to."""
    used_share = candidates.used_share(service)
    if state.gang_reservations.is_reserved(service, state.now_ms, used_share):
        candidates.reserve_service(service)


def send_start(
    state: OwnerState, shard: Shard, task: Task, candidate: AgentResources, run: int
) -> None:
    """Assign a task to an agent and send the order to start its run.

    Args:
        state: State of the owner.
        shard: Shard of the job.
        task: The task.
        candidate: Worker whose resources were already reduced by the task's needs.
        run: Number of the run.
    """
    agent_info = state.agents[candidate.name]
    job = task.job
    state.assign(task, agent_info, run)
    step_spec = task.step_spec
    state.health.record_send(agent_info.name, (task.name, run))
    task.order_number = agent_info.record_order(step_spec)
    start = Start(
        task.order_number,
        shard.number,
        shard.epoch,
        task.name,
        run,
        job.spec.payload,
        step_spec.cpu,
        step_spec.memory_mb,
        step_spec.gpu,
        task.checkpoint if step_spec.checkpointing else "",
        task.runs_alone(state.now_ms),
    )
    state.send_to_agent(agent_info.name, start)
    state.note(
        "run sent",
        task=task.name,
        run=run,
        agent=agent_info.name,
        room_cpu=candidate.cpu_free,
        state_age_ms=state.now_ms - agent_info.received_ms,
        waited_ms=state.now_ms - job.arrived_ms,
    )
