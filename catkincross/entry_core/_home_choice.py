"""Choice of a home for each task by its owner."""

from __future__ import annotations

from collections import defaultdict

from ..foundation._ids import TaskId
from ..placement._fit import TaskNeed
from ..policies._fair_queue import QueueTicket
from ..policies._home_index import NO_HOMES, HomeIndex, HomeRow
from ..policies._lanes import ResourceLanes
from ..policies._quotas import team_quota
from ..protocol._messages import CapacitySummary, Reason, TaskResult, TaskStatus
from ._entry_registry import ENTRY
from ._entry_rows import JobRow, PeerRow, TaskPhase, TaskRow
from ._entry_state import EntryState
from ._home_capacity import service_summaries

# A home may queue tasks for the slots that become free within this many one-way
# network times: those of a report and a placement, with a margin for messages that
# wait for a busy process.
REFILL_ONE_WAY_TIMES = 8
# Tasks that may queue at a home beyond those for such slots.
SPARE_QUEUED_TASKS = 3


def home_index(state: EntryState, service: str) -> HomeIndex:
    """Return the index of a service's homes; create an empty one if there is none."""
    index = state.dispatch.homes.get(service)
    if index is None:
        index = state.dispatch.homes[service] = HomeIndex()
    return index


def update_peer_capacity(state: EntryState, name: str) -> None:
    """Update the index of homes with the capacity that a peer reported last."""
    peer = state.peers.get(name)
    if peer is None:
        return
    _charge_teams(state, peer, name)
    reports: dict[str, list[CapacitySummary]] = defaultdict(list)
    for summary in peer.capacity.values():
        reports[summary.service].append(summary)
    for service, index in state.dispatch.homes.items():
        if service not in reports:
            index.remove(name)
    for service, summaries in reports.items():
        index = home_index(state, service)
        old = index.rows.get(name)
        row = old or HomeRow(name, distance_ms=-1.0)
        _update_distance(row, peer)
        # The report is one message delay old, so it does not include tasks that were
        # sent within the last round trip.
        unreported_since_ms = state.now_ms - 2 * max(0.0, row.distance_ms)
        while (
            row.unreported_placements_ms
            and row.unreported_placements_ms[0] < unreported_since_ms
        ):
            row.unreported_placements_ms.popleft()
        _apply_report(state, service, row, summaries)
        index.put(row)
        state.dispatch.due_backlogs[service] = None


def _update_distance(row: HomeRow, peer: PeerRow) -> None:
    heartbeat = peer.heartbeat
    if heartbeat is None or peer.last_heard_ms is None or heartbeat.echo_ms < 0:
        return
    round_trip_ms = peer.last_heard_ms - heartbeat.echo_ms - heartbeat.echo_delay_ms
    measured_ms = max(0.0, round_trip_ms / 2)
    # The smallest recent value is the network time; larger ones include queueing.
    if row.distance_ms < 0 or measured_ms < row.distance_ms:
        row.distance_ms = measured_ms
    else:
        row.distance_ms += 0.01 * (measured_ms - row.distance_ms)


def _apply_report(
    state: EntryState, service: str, row: HomeRow, summaries: list[CapacitySummary]
) -> None:
    row.slots = sum(summary.slots for summary in summaries)
    row.free = sum(summary.free for summary in summaries)
    row.queued = max(summary.queued for summary in summaries)
    row.memory_mb = max(summary.memory_mb for summary in summaries)
    row.accelerators = max(summary.accelerators for summary in summaries)
    row.wait_ms = max(summary.wait_ms for summary in summaries)
    permille = state.settings.queues.home_queue_permille
    limit = -(-row.slots * permille // 1_000)
    # A slot that becomes free should find a queued task. So as many may queue as slots
    # become free while a report and a placement are in flight, and a few more, since
    # slots become free in bursts. With only one more, slots stayed idle while a data
    # centre was drained; many more would have to be recalled.
    refill_ms = REFILL_ONE_WAY_TIMES * max(0.0, row.distance_ms)
    freed_slots = refill_ms * row.slots / state.dispatch.mean_run_ms(service)
    row.queue_limit = min(limit, SPARE_QUEUED_TASKS + int(freed_slots))
    owners = max(1, len(state.control.entries))
    row.guaranteed_tasks = -(-row.slots // (4 * owners))
    learned_speed = state.dispatch.home_speeds.speed(service, row.name)
    best = max(summaries, key=lambda summary: summary.best_speed)
    ratio = best.best_speed / best.speed if best.best_speed and best.speed else 1.0
    row.speed = learned_speed * ratio


def refresh_own_home(state: EntryState, service: str, index: HomeIndex) -> None:
    """Update this home's own row in the index."""
    summaries = service_summaries(state, service)
    if not summaries:
        index.remove(state.name)
        return
    row = index.rows.get(state.name) or HomeRow(state.name, is_local=True)
    row.unreported_placements_ms.clear()
    _apply_report(state, service, row, summaries)
    index.put(row)


@ENTRY.system(order=390)
def _queue_waiting_tasks(state: EntryState) -> None:
    """Move the tasks that wait for a home into the backlog of their service."""
    if not state.unqueued_tasks:
        return
    by_job: dict[bytes, list[TaskRow]] = defaultdict(list)
    for task in state.unqueued_tasks:
        job = state.jobs.get(task.key_hash)
        if job is not None and job.tasks[task.index].phase is TaskPhase.WAITING:
            by_job[task.key_hash].append(job.tasks[task.index])
    state.unqueued_tasks.clear()
    for key_hash, rows in by_job.items():
        _queue_job(state, state.jobs.rows[key_hash], rows)


def _queue_job(state: EntryState, job: JobRow, rows: list[TaskRow]) -> None:
    dispatch, service = state.dispatch, job.service
    lanes = dispatch.queue(dispatch.backlog, service)
    quota = team_quota(state.control, job.team)
    usage = dispatch.teams.owner_usage(job.team)
    burst_ms = quota.burst * dispatch.mean_run_ms(service)
    expect_ms = dispatch.run_times.expect_ms
    costs = {row.task: expect_ms(service, row.spec) for row in rows}
    # Longest first: a long task that starts last would delay the whole answer.
    for row in sorted(rows, key=lambda row: -costs[row.task]):
        cost = costs[row.task]
        ticket = QueueTicket(job.team, quota.weight, cost, job.interactive, burst_ms)
        need = TaskNeed(cost, row.spec.memory_mb, row.spec.accelerators)
        lanes.push(row.task, ticket, need)
        usage.waiting += 1
        usage.waiting_bytes += len(row.spec.payload)
    index = home_index(state, service)
    specs = [row.spec for row in rows]
    for memory_mb, accelerators in {(s.memory_mb, s.accelerators) for s in specs}:
        _schedule_unplaced_check(
            state, index, job, TaskNeed(0, memory_mb, accelerators)
        )
    dispatch.due_backlogs[service] = None


def remove_from_backlog(state: EntryState, job: JobRow, row: TaskRow) -> None:
    """Remove a task that waits for a home from this owner's queues."""
    state.unqueued_tasks.pop(row.task, None)
    lanes = state.dispatch.backlog.get(job.service)
    if lanes is not None and row.task in lanes:
        lanes.remove(row.task)
        usage = state.dispatch.teams.owner_usage(job.team)
        usage.waiting -= 1
        usage.waiting_bytes -= len(row.spec.payload)
        state.dispatch.due_backlogs[job.service] = None


def choose_homes(state: EntryState) -> dict[str, list[TaskId]]:
    """Choose homes for the tasks that can be placed now; remove them from the backlogs.

    Returns:
        Tasks by name of the home, in the order in which they should start.
    """
    due, state.dispatch.due_backlogs = state.dispatch.due_backlogs, {}
    chosen: dict[str, list[TaskId]] = defaultdict(list)
    for service in due:
        queue = state.dispatch.backlog.get(service)
        if queue:
            index = home_index(state, service)
            refresh_own_home(state, service, index)
            _choose_for_service(state, queue, index, chosen)
    return chosen


def _choose_for_service(
    state: EntryState,
    lanes: ResourceLanes[TaskId],
    index: HomeIndex,
    chosen: dict[str, list[TaskId]],
) -> None:
    active = lanes.nonempty_lanes()
    while active and index.order:
        active = [
            lane for lane in active if _choose_next(state, lanes, lane, index, chosen)
        ]


def _choose_next(
    state: EntryState,
    lanes: ResourceLanes[TaskId],
    lane: tuple[int, int],
    index: HomeIndex,
    chosen: dict[str, list[TaskId]],
) -> bool:
    """Choose a home for the next task of a lane; return whether to continue with it."""
    taken = lanes.pop_next(lane)
    if taken is None:
        return False
    task, ticket = taken
    job = state.jobs.get(task.key_hash)
    if job is None or job.tasks[task.index].phase is not TaskPhase.WAITING:
        return True
    spec = job.tasks[task.index].spec
    need = TaskNeed(ticket.cost, spec.memory_mb, spec.accelerators)
    home = _best_home(state, index, job, need)
    if home is None:
        lanes.put_back(lane, task, ticket)
        _schedule_unplaced_check(state, index, job, need)
        return False
    index.add_placement(home, task, state.now_ms)
    usage = state.dispatch.teams.owner_usage(job.team)
    usage.waiting -= 1
    usage.waiting_bytes -= len(spec.payload)
    usage.running += 1
    usage.started += 1
    apply_team_limit(state, job.team)
    chosen[home.name].append(task)
    return True


def _schedule_unplaced_check(
    state: EntryState, index: HomeIndex, job: JobRow, need: TaskNeed
) -> None:
    """Schedule a check of a job if no home could run its task even when idle."""
    unplaced_jobs = state.dispatch.unplaced_jobs
    unfit = state.dispatch.unfit_homes.get(job.key_hash, NO_HOMES)
    if job.key_hash not in unplaced_jobs.entries and not index.fits_somewhere(
        need, unfit
    ):
        wait_ms = state.settings.queues.unplaced_ms
        unplaced_jobs.set(job.key_hash, state.now_ms + wait_ms)


def unplaceable_reason(state: EntryState, job: JobRow) -> Reason:
    """Return why no home can ever run a waiting task of a job, or `NONE`."""
    index = home_index(state, job.service)
    members = state.control.members.values()
    if not any(
        member.registered.service == job.service and member.ended_ms is None
        for member in members
    ):
        return Reason.NO_UPSTREAM
    if not index.rows:
        return Reason.NONE
    unfit = state.dispatch.unfit_homes.get(job.key_hash, NO_HOMES)
    specs = [row.spec for row in job.tasks if row.phase is TaskPhase.WAITING]
    needs = {TaskNeed(0, spec.memory_mb, spec.accelerators) for spec in specs}
    if all(index.fits_somewhere(need, unfit) for need in needs):
        return Reason.NONE
    return Reason.FITS_NOWHERE


def _best_home(
    state: EntryState, index: HomeIndex, job: JobRow, need: TaskNeed
) -> HomeRow | None:
    unfit = state.dispatch.unfit_homes.get(job.key_hash, NO_HOMES)
    earlier = state.dispatch.earlier_attempts.get(TaskId(job.key_hash, 0))
    if earlier is not None and index.choose(need, unfit | {earlier.home}):
        unfit = unfit | {earlier.home}
    while True:
        home = index.choose(need, unfit)
        if home is None or home.is_local:
            return home
        peer = state.peers.get(home.name)
        if peer is not None and peer.connected:
            return home
        index.remove(home.name)


def apply_team_limit(state: EntryState, team: str) -> None:
    """Pause a team's queued tasks while it runs as many tasks as its limit allows."""
    dispatch = state.dispatch
    limit = team_quota(state.control, team).running
    if limit and dispatch.teams.running(team) >= limit:
        for lanes in dispatch.backlog.values():
            lanes.pause_team(team)
        return
    for service, lanes in dispatch.backlog.items():
        if team in lanes.paused_teams:
            lanes.resume_team(team)
            dispatch.due_backlogs[service] = None


def _charge_teams(state: EntryState, peer: PeerRow, name: str) -> None:
    """Charge the teams for the tasks that they started through another owner."""
    dispatch = state.dispatch
    started = dispatch.teams.update_peer_usage(name, peer.teams)
    for team, count in started.items():
        weight = team_quota(state.control, team).weight
        for service, lanes in dispatch.backlog.items():
            if lanes:
                lanes.charge_team(team, count * dispatch.mean_run_ms(service) / weight)
    for team in {
        team for lanes in dispatch.backlog.values() for team in lanes.paused_teams
    }:
        apply_team_limit(state, team)


def release_placement(state: EntryState, job: JobRow, row: TaskRow) -> None:
    """Remove a placed task from the counts of its home and its team."""
    if row.phase is not TaskPhase.PLACED:
        return
    state.dispatch.teams.owner_usage(job.team).running -= 1
    apply_team_limit(state, job.team)
    index = state.dispatch.homes.get(job.service)
    home = index.rows.get(row.home) if index else None
    if index is not None and home is not None:
        index.remove_placement(home, row.task)
        state.dispatch.due_backlogs[job.service] = None


def observe_result(
    state: EntryState, job: JobRow, row: TaskRow, result: TaskResult
) -> None:
    """Update the estimates of run time and home speed after a successful task."""
    if result.status is not TaskStatus.OK:
        return
    dispatch = state.dispatch
    expected_ms = dispatch.run_times.expect_ms(job.service, row.spec)
    if row.home != state.name:
        speed = dispatch.home_speeds.speed(job.service, row.home)
        dispatch.run_times.observe(job.service, row.spec, result.run_ms * speed)
    dispatch.home_speeds.observe(job.service, row.home, expected_ms, result.run_ms)
