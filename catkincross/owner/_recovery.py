"""Takeover of shards, and recovery of runs of earlier owners."""

from __future__ import annotations

from ..jobs import VOLATILE_SHARD, AgentsUsed, JobRecord, Task, TaskState
from ..peers import (
    AgentState,
    Ends,
    Lease,
    Report,
    RunningTask,
    Sizes,
    Stop,
    WorkerProfile,
)
from ._agents import AgentInfo
from ._effects import ClaimShard
from ._requests import stop_run
from ._runs import handle_ends, stop_unknown_run
from ._shard import Shard, ShardPhase
from ._state import OwnerState, agent_handler

# Shortest time between the states of an agent that two leases answer. It is below the
# interval at which an idle agent sends its state, so that each of these states is
# answered by a lease. It counts on the agent's clock: an entry that was paused reads
# several states at once, and a lease that answers the oldest one has nearly ended.
LEASE_INTERVAL_MS = 180


def assign_shards(state: OwnerState, numbers: list[int], generation: int) -> None:
    """Claim the shards that the group has assigned to this entry; drop all others."""
    for number in set(state.shards) - set(numbers):
        drop_shard(state, number, "assigned to another")
    for number in numbers:
        if number not in state.shards:
            claim_shard(state, number, generation)


def check_membership(state: OwnerState, sent_ms: int, generation: int) -> None:
    """Drop all shards if the group may have assigned them to others meanwhile.

    If the membership lapsed between two joins, another entry may have owned a shard
    that is assigned to this entry again. The same may have happened if this entry has
    not seen each generation; the log then tells whether its epoch is still in force.

    Args:
        state: State of the owner.
        sent_ms: Time at which the newest successful join was sent, on the owner's clock
            in milliseconds.
        generation: Generation of the group in the answer to this join.
    """
    gap_ms = sent_ms - state.joined_ms
    lapsed = gap_ms >= state.limits.member_ttl_ms
    if lapsed and generation != state.generation:
        for number in list(state.shards):
            drop_shard(state, number, "membership lapsed")
    if generation > state.generation + 1:
        for shard in state.shards.values():
            _check_epoch(state, shard)
    state.joined_ms = sent_ms
    state.generation = generation


def _check_epoch(state: OwnerState, shard: Shard) -> None:
    """Append a record that changes nothing, which fails if a later owner has fenced."""
    if shard.phase is ShardPhase.OPEN:
        shard.append(shard.agents_record(state.wall_ms), state.now_ms)
        state.note("epoch checked", shard=shard.number, epoch=shard.epoch)


def claim_shard(state: OwnerState, number: int, epoch: int) -> None:
    """Start to claim a shard under a new epoch."""
    max_bytes = state.limits.record_bytes
    state.shards[number] = Shard(number, epoch, max_record_bytes=max_bytes)
    state.effects.append(ClaimShard(number, epoch))
    state.note("shard claimed", shard=number, epoch=epoch)


def drop_shard(state: OwnerState, number: int, reason: str) -> None:
    """Stop owning a shard; its runs continue, and the next owner adopts them."""
    shard = state.shards.pop(number)
    # A job that has ended may have runs that are being stopped.
    for job in shard.jobs.values():
        state.forget_runs(job)
    for agent_info in state.agents.values():
        agent_info.reported_shards.discard(number)
    shard.fail_pending_records()
    callbacks, shard.open_callbacks = shard.open_callbacks, []
    for callback in callbacks:
        callback(True)
    state.note("shard dropped", shard=number, epoch=shard.epoch, reason=reason)


def open_shard(
    state: OwnerState, number: int, epoch: int, records: list[JobRecord]
) -> None:
    """Replay the records of a claimed shard, and open it.

    Earlier owners have to be fenced before the records are read. The result of an
    outdated claim is ignored.
    """
    shard = state.shards.get(number)
    if shard is None or shard.epoch != epoch or shard.phase is ShardPhase.OPEN:
        return
    for record in records:
        shard.replay(record, state.now_ms, state.wall_ms)
    shard.phase = ShardPhase.OPEN
    shard.unresolved = set(shard.recorded_agents)
    limits = state.limits
    shard.unresolved_until_ms = state.now_ms + limits.authority_ms + limits.lapse_ms
    record_agents(state, shard)
    state.note(
        "shard opened",
        shard=number,
        epoch=epoch,
        records=len(records),
        open_jobs=len(shard.open_jobs),
        unresolved=sorted(shard.unresolved),
    )
    for job in list(shard.open_jobs.values()):
        state.enqueue_ready_tasks(shard, job)
    callbacks, shard.open_callbacks = shard.open_callbacks, []
    for callback in callbacks:
        callback(False)
    for agent_info in state.agents.values():
        if agent_info.connected and agent_info.state is not None:
            send_lease(state, agent_info)


def record_agents(state: OwnerState, shard: Shard) -> None:
    """Record all connected agents in the shard's log as possible holders of its runs.

    Agents get tasks of the shard only once their record is durable, so that the next
    owner knows which agents it has to wait for.
    """
    connected = {
        agent_info.name for agent_info in state.agents.values() if agent_info.connected
    }
    names = connected - shard.recorded_agents - shard.pending_agents
    if not names:
        return
    shard.pending_agents |= names
    recorded_ms = state.now_ms

    def mark_recorded(now_ms: int) -> None:
        shard.pending_agents -= names
        shard.add_recorded_agents(names, recorded_ms)

    record = AgentsUsed(tuple(sorted(names)), recorded_ms=state.wall_ms)
    shard.append(record, state.now_ms, on_durable=mark_recorded)


def send_lease(state: OwnerState, agent_info: AgentInfo) -> None:
    """Send an agent the lease to start and keep runs of this entry.

    The lease counts from the agent's newest state. For the open shards it ends at the
    silence limit, or earlier with the owner's own authority; for volatile jobs at
    their silence limit.
    """
    assert agent_info.state is not None
    limits = state.limits
    end_ms = min(
        agent_info.received_ms + limits.silence_ms,
        state.store_contact_ms + limits.authority_ms,
    )
    valid_ms = max(0, end_ms - agent_info.received_ms)
    volatile = state.volatile
    shard_epochs = [
        [shard.number, shard.epoch]
        for shard in state.shards.values()
        if shard.phase is ShardPhase.OPEN
    ]
    agent_info.lease_sent_ms = state.now_ms
    agent_info.lease_echo_ms = agent_info.state.clock_ms
    lease = Lease(
        agent_info.state.clock_ms,
        valid_ms,
        shard_epochs,
        volatile.epoch,
        limits.volatile_silence_ms,
        len(state.waiting) > 0,
    )
    state.send_to_agent(agent_info.name, lease)


@agent_handler(WorkerProfile)
def handle_worker_profile(
    state: OwnerState, agent_info: AgentInfo, message: WorkerProfile
) -> None:
    """Record the profile of an agent's worker."""
    agent_info.profile = message
    state.retry_placement = True
    state.note(
        "worker profile",
        agent=agent_info.name,
        worker=message.worker,
        born=message.worker_incarnation,
        data_centre=message.data_centre,
        capacity=[message.cpu, message.memory_mb, message.gpu],
        offered_to=message.offered_to,
    )


@agent_handler(AgentState)
def handle_agent_state(
    state: OwnerState, agent_info: AgentInfo, message: AgentState
) -> None:
    """Record the state of an agent, and renew its lease."""
    is_first = agent_info.state is None
    previous = agent_info.state
    agent_info.update_state(message, state.now_ms)
    if (
        previous is None
        or message.ready != previous.ready
        or message.cpu_free > previous.cpu_free
    ):
        state.retry_placement = True
    if is_first or previous is None or previous.ready != message.ready:
        state.note("agent state", agent=agent_info.name, ready=message.ready)
    if is_first:
        for shard in state.shards.values():
            if shard.phase is ShardPhase.OPEN:
                record_agents(state, shard)
    if is_first or message.clock_ms - agent_info.lease_echo_ms >= LEASE_INTERVAL_MS:
        send_lease(state, agent_info)


@agent_handler(Report)
def handle_report(state: OwnerState, agent_info: AgentInfo, message: Report) -> None:
    """Reconcile a shard with the runs that an agent reports for it.

    Reports for another epoch, or for a shard that is not open here, are ignored.
    """
    shard: Shard | None = state.volatile
    if message.shard != VOLATILE_SHARD:
        shard = state.shards.get(message.shard)
    if shard is None or shard.epoch != message.epoch:
        return
    if shard.phase is not ShardPhase.OPEN:
        return
    _separate_hosts(state, agent_info, message)
    agent_info.reported_shards.add(shard.number)
    state.retry_placement = True
    # The ends in a report of volatile jobs are of runs that this process has ordered.
    entry_incarnation = shard.epoch if shard is state.volatile else 0
    ends = Ends(message.ended, message.worker_incarnation, entry_incarnation)
    handle_ends(state, agent_info, ends)
    _reconcile_runs(state, shard, agent_info, message)
    shard.unresolved.discard(agent_info.name)
    state.note(
        "shard reported",
        shard=shard.number,
        epoch=shard.epoch,
        agent=agent_info.name,
        running=len(message.running),
        ended=len(message.ended),
        unresolved=len(shard.unresolved),
    )
    if not shard.unresolved:
        agents_resolved(state, shard)


def _separate_hosts(state: OwnerState, agent_info: AgentInfo, message: Report) -> None:
    """Keep the tasks of an earlier host of the same name until its leases have ended.

    A host may be replaced while it is cut off, and its worker keeps its runs until the
    leases have ended. A host that has one of the runs is the one that was ordered it.
    """
    reported = {(running.task, running.run) for running in message.running}
    has_runs = any((t.name, t.run) in reported for t in agent_info.assigned_tasks)
    former = agent_info.record_host(message.worker_incarnation, is_same=has_runs)
    if former is None:
        return
    earlier = state.agents.get(former.name)
    if earlier is not None:
        former.assigned_tasks |= earlier.assigned_tasks
    state.agents[former.name] = former
    state.note(
        "another host of the same name",
        agent=agent_info.name,
        former=former.name,
        hosts=[former.reported_host, agent_info.reported_host],
        tasks=len(former.assigned_tasks),
        lease_age_ms=state.now_ms - former.lease_sent_ms,
    )


def _reconcile_runs(
    state: OwnerState, shard: Shard, agent_info: AgentInfo, message: Report
) -> None:
    """Adopt or stop the reported runs; queue assigned tasks whose run is missing."""
    sizes = []
    runs_on_worker: set[tuple[str, int]] = {
        (ended.task, ended.run) for ended in message.ended
    }
    for running in message.running:
        runs_on_worker.add((running.task, running.run))
        found = state.find_task(running.task)
        if found is None:
            if running.owned and shard is state.volatile:
                stop_unknown_run(state, agent_info, running)
            # Other runs may belong to a volatile job of another entry; the agent stops
            # them if no entry knows them.
            continue
        if _adopt_run(state, agent_info, running):
            step_spec = found[1].step_spec
            volatile = found[0] is state.volatile
            size = [running.task, step_spec.cpu, step_spec.memory_mb, step_spec.gpu]
            sizes.append([*size, volatile])
        else:
            stop = Stop(shard.number, shard.epoch, running.task, running.run)
            state.send_to_agent(agent_info.name, stop)
    if sizes:
        state.send_to_agent(agent_info.name, Sizes(sizes))
    for task in list(agent_info.assigned_tasks):
        if state.shard_for(task.job.spec.id) is not shard:
            continue
        key = (task.name, task.run)
        if task.order_number > message.acked_order:
            # The start order was in flight when the agent wrote the report.
            continue
        if key not in runs_on_worker and key not in shard.pending_ends:
            state.note(
                "run is not on its worker",
                task=key[0],
                run=key[1],
                agent=agent_info.name,
                order=task.order_number,
                acked_order=message.acked_order,
                reported_runs=len(message.running),
            )
            state.requeue(task)


def _adopt_run(state: OwnerState, agent_info: AgentInfo, running: RunningTask) -> bool:
    """Assign a task to the agent that has its run.

    A task that another agent has keeps its run, since a job that was begun anew numbers
    its runs from 1 again. Only a run of a higher number replaces it, and the earlier
    one is stopped.

    Returns:
        False if the run is not needed and has to be stopped.
    """
    found = state.find_task(running.task)
    if found is None:
        return False
    shard, task = found
    if task.state is TaskState.DONE or running.run < task.run:
        return False
    if task.job.final_state is not None:
        return False
    if running.run == task.run and task.agent == agent_info.name:
        return not task.stopping
    if task.state is TaskState.ASSIGNED and task.agent != agent_info.name:
        if running.run == task.run:
            return False
        stop_run(state, shard, task)
    state.assign(task, agent_info, running.run)
    return True


def agents_resolved(state: OwnerState, shard: Shard) -> None:
    """Queue the jobs that were held back until all agents were resolved.

    The log then names only the agents that are connected or may still hold runs.
    """
    names = {
        agent_info.name for agent_info in state.agents.values() if agent_info.connected
    }
    holders = {task.agent for task in _assigned_tasks_of(state, shard)}
    names |= holders | shard.pending_agents
    if shard.recorded_agents - names:
        shard.recorded_agents = shard.recorded_agents & names
        record = AgentsUsed(tuple(sorted(names)), True, state.wall_ms)
        shard.append(record, state.now_ms)
    for job in list(shard.open_jobs.values()):
        state.enqueue_ready_tasks(shard, job)


def _assigned_tasks_of(state: OwnerState, shard: Shard) -> list[Task]:
    return [
        task
        for agent_info in state.agents.values()
        for task in agent_info.assigned_tasks
        if state.shard_for(task.job.spec.id) is shard
    ]
