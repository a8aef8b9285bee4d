"""The owner's choice of a home for each task."""

from __future__ import annotations

from collections import defaultdict

from ._entry_registry import ENTRY
from ._entry_rows import JobRow, PeerRow, TaskPhase, TaskRow
from ._entry_state import EntryState
from ._fair_queue import FairQueue, Turn
from ._home_capacity import service_summaries
from ._home_index import HomeIndex, HomeRow
from ._ids import TaskId
from ._messages import CapacitySummary, TaskResult, TaskStatus

# Tasks that fit no home with room now and are passed over in one pass, so that they
# do not hold up those behind them.
MAX_PASSED_OVER = 32


def home_index(state: EntryState, service: str) -> HomeIndex:
    """Return the index of the homes of a service, empty for a new one."""
    index = state.dispatch.homes.get(service)
    if index is None:
        index = state.dispatch.homes[service] = HomeIndex()
    return index


def peer_reported(state: EntryState, name: str) -> None:
    """Take the capacity that a peer reported last into the index of homes."""
    peer = state.peers.get(name)
    if peer is None:
        return
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
        _measure_distance(row, peer)
        # The report was written one message delay ago: what was sent within a round
        # trip is not in it.
        unseen_ms = state.now_ms - 2 * max(0.0, row.distance_ms)
        while row.placed and row.placed[0] < unseen_ms:
            row.placed.popleft()
        _take_report(state, service, row, summaries)
        index.put(row)
        state.dispatch.due_backlogs[service] = None


def _measure_distance(row: HomeRow, peer: PeerRow) -> None:
    heartbeat = peer.heartbeat
    if heartbeat is None or peer.heard_ms is None or heartbeat.echo_ms < 0:
        return
    round_trip_ms = peer.heard_ms - heartbeat.echo_ms - heartbeat.echo_delay_ms
    measured_ms = max(0.0, round_trip_ms / 2)
    # The smallest recent value is the network's; larger ones include waits.
    if row.distance_ms < 0 or measured_ms < row.distance_ms:
        row.distance_ms = measured_ms
    else:
        row.distance_ms += 0.01 * (measured_ms - row.distance_ms)


def _take_report(
    state: EntryState, service: str, row: HomeRow, summaries: list[CapacitySummary]
) -> None:
    row.slots = sum(summary.slots for summary in summaries)
    row.free = sum(summary.free for summary in summaries)
    row.queued = max(summary.queued for summary in summaries)
    row.wait_ms = max(summary.wait_ms for summary in summaries)
    permille = state.settings.queues.home_queue_permille
    row.queue_limit = -(-row.slots * permille // 1_000)
    owners = max(1, len(state.control.entries))
    row.fair_part = -(-(row.slots + row.queue_limit) // owners)
    learned = state.dispatch.home_speeds.speed(service, row.name)
    best = max(summaries, key=lambda summary: summary.best_speed)
    ratio = best.best_speed / best.speed if best.best_speed and best.speed else 1.0
    row.speed = learned * ratio


def _refresh_own(state: EntryState, service: str, index: HomeIndex) -> None:
    summaries = service_summaries(state, service)
    if not summaries:
        index.remove(state.name)
        return
    row = index.rows.get(state.name) or HomeRow(state.name, own=True)
    row.placed.clear()
    _take_report(state, service, row, summaries)
    index.put(row)


@ENTRY.system(order=390)
def _queue_waiting(state: EntryState) -> None:
    """Move the tasks that wait for a home into the backlog of their service."""
    if not state.waiting:
        return
    by_job: dict[bytes, list[TaskRow]] = defaultdict(list)
    for task in state.waiting:
        job = state.jobs.get(task.key_hash)
        if job is not None and job.tasks[task.index].phase is TaskPhase.WAITING:
            by_job[task.key_hash].append(job.tasks[task.index])
    state.waiting.clear()
    for key_hash, rows in by_job.items():
        _queue_job(state, state.jobs.rows[key_hash], rows)


def _queue_job(state: EntryState, job: JobRow, rows: list[TaskRow]) -> None:
    dispatch, service = state.dispatch, job.service
    queue = dispatch.backlog.get(service)
    if queue is None:
        queue = dispatch.backlog[service] = dispatch.new_queue()
    expect_ms = dispatch.run_times.expect_ms
    costs = {row.task: expect_ms(service, row.spec) for row in rows}
    # A long task that starts last would delay the whole answer.
    for row in sorted(rows, key=lambda row: -costs[row.task]):
        queue.push(row.task, Turn(job.team, 1.0, costs[row.task], job.interactive))
    dispatch.due_backlogs[service] = None


def unqueue(state: EntryState, job: JobRow, row: TaskRow) -> None:
    """Remove a task from the backlog."""
    state.waiting.pop(row.task, None)
    queue = state.dispatch.backlog.get(job.service)
    if queue is not None:
        queue.remove(row.task)


def choose_homes(state: EntryState) -> dict[str, list[TaskId]]:
    """Take the tasks that can be placed now from the backlogs.

    Returns:
        Tasks by name of the home, in the order in which they should start.
    """
    due, state.dispatch.due_backlogs = state.dispatch.due_backlogs, {}
    chosen: dict[str, list[TaskId]] = defaultdict(list)
    for service in due:
        queue = state.dispatch.backlog.get(service)
        if queue:
            index = home_index(state, service)
            _refresh_own(state, service, index)
            _choose_for_service(state, queue, index, chosen)
    return chosen


def _choose_for_service(
    state: EntryState,
    queue: FairQueue[TaskId],
    index: HomeIndex,
    chosen: dict[str, list[TaskId]],
) -> None:
    passed_over: list[tuple[TaskId, Turn]] = []
    while len(passed_over) < MAX_PASSED_OVER:
        taken = queue.take()
        if taken is None:
            break
        task, turn = taken
        job = state.jobs.get(task.key_hash)
        if job is None or job.tasks[task.index].phase is not TaskPhase.WAITING:
            continue
        home = _best_home(state, index)
        if home is None:
            passed_over.append(taken)
            break
        index.use(home, state.now_ms)
        chosen[home.name].append(task)
    for task, turn in reversed(passed_over):
        queue.put_back(task, turn)


def _best_home(state: EntryState, index: HomeIndex) -> HomeRow | None:
    while True:
        home = index.best()
        if home is None or home.own:
            return home
        peer = state.peers.get(home.name)
        if peer is not None and peer.connected:
            return home
        index.remove(home.name)


def left_home(state: EntryState, job: JobRow, row: TaskRow) -> None:
    """Note that a task of this owner is no longer at its home."""
    index = state.dispatch.homes.get(job.service)
    home = index.rows.get(row.home) if index else None
    if index is not None and home is not None:
        index.release(home)
        state.dispatch.due_backlogs[job.service] = None


def learn_from_result(
    state: EntryState, job: JobRow, row: TaskRow, result: TaskResult
) -> None:
    """Take the run time of a task that ended well into the speed of its home."""
    if result.status is not TaskStatus.OK:
        return
    dispatch = state.dispatch
    expected_ms = dispatch.run_times.expect_ms(job.service, row.spec)
    if row.home != state.name:
        speed = dispatch.home_speeds.speed(job.service, row.home)
        dispatch.run_times.observe(job.service, row.spec, result.run_ms * speed)
    dispatch.home_speeds.observe(job.service, row.home, expected_ms, result.run_ms)
