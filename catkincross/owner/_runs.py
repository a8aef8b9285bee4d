"""Handlers of agents' messages on runs: ends, refused starts and progress."""

from __future__ import annotations

from ..jobs import Task, TaskEnd, TasksEnded, TaskState
from ..peers import (
    ANOTHER_RUN,
    EndedRun,
    Ends,
    Logged,
    NotStarted,
    Progress,
    RunningTask,
    Stop,
)
from ._agents import AgentInfo
from ._crashes import handle_crash, holds_run, requeue_ended_run
from ._requests import job_ended, stop_run
from ._shard import END_BATCH_DELAY_MS, Shard
from ._state import OwnerState, agent_handler
from ._volatile import give_up_and_answer

# A run has stalled if it makes no progress for this long, and for the share
# `STALL_RUN_TIME_SHARE` of its expected run time. A task of 70 s still progresses by
# one percent in this time.
STALL_MS = 700
# Reason with which a worker refuses a run whose number is not above that of an earlier
# run of the task.
OLD_RUN = "old"
# Share of its expected run time for which a stalled run has made no progress.
STALL_RUN_TIME_SHARE = 0.1


@agent_handler(Ends)
def handle_ends(state: OwnerState, agent_info: AgentInfo, message: Ends) -> None:
    """Process ended runs; acknowledge those that the worker may forget at once.

    The others are acknowledged when their end is durable.
    """
    incarnation = message.worker_incarnation
    processed = []
    for ended_run in message.ended:
        if _is_of_other_process(state, ended_run.task, message.entry_incarnation):
            state.note(
                "end of another process's run",
                task=ended_run.task,
                run=ended_run.run,
                how=ended_run.how,
                agent=agent_info.name,
                entry_incarnation=message.entry_incarnation,
            )
            processed.append(ended_run)
        elif _answers_earlier_stop(state, message, ended_run):
            state.note(
                "answer to an earlier stop",
                task=ended_run.task,
                run=ended_run.run,
                agent=agent_info.name,
                acked_order=message.acked_order,
            )
        elif _handle_end(state, agent_info, ended_run, incarnation):
            processed.append(ended_run)
    sequences = [end.sequence for end in processed if end.sequence]
    crash_numbers = [end.crash_number for end in processed if end.crash_number]
    if sequences or crash_numbers:
        logged = Logged(sequences, incarnation, crash_numbers)
        state.send_to_agent(agent_info.name, logged)


def _is_of_other_process(
    state: OwnerState, task_name: str, entry_incarnation: int
) -> bool:
    """Whether a run of one of the volatile jobs was ordered by another process.

    That is an earlier process of this entry, or one that is not known for a run that an
    agent has found on its worker.
    """
    job_id = task_name.partition(".")[0]
    volatile = state.volatile
    return job_id in volatile.jobs and entry_incarnation != volatile.epoch


def _answers_earlier_stop(
    state: OwnerState, message: Ends, ended_run: EndedRun
) -> bool:
    """Whether an agent did not have a run when it had not read its start order yet.

    The stop was that of an earlier run with the same number. Order numbers of another
    link are not compared: the number of a task's order is 0 once its link has closed.
    """
    if message.acked_order < 0:
        return False
    found = state.find_task(ended_run.task)
    return found is not None and found[1].order_number > message.acked_order


def _handle_end(
    state: OwnerState,
    agent_info: AgentInfo,
    ended_run: EndedRun,
    worker_incarnation: int,
) -> bool:
    """Process an ended run; return whether the worker may forget it now.

    The ends `done`, `failed` and `crashed` are appended to the shard's log. Other ends,
    and those of long-running tasks except `crashed`, only queue the task again.
    """
    if not state.owns_task(ended_run.task):
        return False
    found = state.find_task(ended_run.task)
    if found is None:
        state.note(
            "end of a forgotten run",
            task=ended_run.task,
            run=ended_run.run,
            agent=agent_info.name,
            how=ended_run.how,
        )
        return True
    shard, task = found
    if (ended_run.task, ended_run.run) in shard.pending_ends:
        return False
    if ended_run.how == "crashed":
        return handle_crash(
            state, shard, agent_info, task, ended_run, worker_incarnation
        )
    if ended_run.how == "failed" and ended_run.run in task.failed_runs:
        # The worker lists the end until it knows that it is durable.
        requeue_ended_run(state, agent_info, task, ended_run.run)
        return True
    if _is_superseded(agent_info, task, ended_run):
        state.note(
            "end of a superseded run",
            task=ended_run.task,
            run=ended_run.run,
            newest_run=task.run,
            how=ended_run.how,
            agent=agent_info.name,
            holder=task.agent,
        )
        return True
    task.run = ended_run.run
    if ended_run.how not in ("done", "failed") or task.step_spec.long_running:
        task.checkpoint = ended_run.checkpoint or task.checkpoint
        state.note(
            "run ended early",
            task=ended_run.task,
            run=ended_run.run,
            agent=agent_info.name,
            holder=task.agent,
            how=ended_run.how,
            listed=ended_run.sequence > 0,
        )
        if ended_run.how == "failed":
            task.avoided_agents = (agent_info.name,)
        state.requeue(task)
        return True
    _append_end(state, shard, agent_info, task, ended_run, worker_incarnation)
    return False


def _is_superseded(agent_info: AgentInfo, task: Task, ended_run: EndedRun) -> bool:
    """Whether an end is not of the newest run of a task that is not done.

    While an agent has the task, only the end of its run counts. An owner that has taken
    over a stored job may have adopted an earlier run than the newest one, which
    completes the task if it is `done`.
    """
    if task.state is TaskState.DONE or ended_run.run < task.run:
        return True
    if task.state is TaskState.WAITING or holds_run(agent_info, task, ended_run.run):
        return False
    completes = ended_run.how == "done" and not task.job.spec.volatile
    return ended_run.run == task.run or not completes


def _append_end(
    state: OwnerState,
    shard: Shard,
    agent_info: AgentInfo,
    task: Task,
    ended_run: EndedRun,
    worker_incarnation: int,
) -> None:
    """Append an end to the log, and apply it to the job once it is durable."""
    job = task.job
    ended_tasks = _tasks_ended(task, ended_run)
    pending_keys = {(member.name, ended_run.run) for member in ended_tasks}
    shard.pending_ends |= pending_keys
    if task.state is TaskState.WAITING:
        state.assign(task, agent_info, ended_run.run)
    _record_outcome(state, agent_info, task, ended_run)

    def apply_ends(now_ms: int) -> None:
        shard.pending_ends.difference_update(pending_keys)
        for member in ended_tasks:
            state.waiting.remove(member)
            holder = state.agents.get(member.agent)
            if holder is not None:
                holder.assigned_tasks.discard(member)
        previous_state = job.final_state
        for task_end in task_ends:
            job.apply_end(task_end, now_ms)
        if ended_run.how == "failed" and ended_run.run == task.run:
            task.avoided_agents = (*task.avoided_agents, agent_info.name)
            state.requeue(task)
        if ended_run.sequence:
            state.send_to_agent(
                agent_info.name, Logged([ended_run.sequence], worker_incarnation)
            )
        state.note(
            "run ended",
            task=ended_run.task,
            run=ended_run.run,
            agent=agent_info.name,
            newest_run=task.run,
            holder=task.agent,
            how=ended_run.how,
            run_ms=ended_run.run_ms,
            failures=task.failures,
        )
        if previous_state is None and job.final_state is not None:
            job_ended(state, shard, job)
        elif previous_state is not None:
            state.close_volatile_job(job)
        elif job.remaining_tasks[task.step] == 0:
            state.enqueue_ready_tasks(shard, job)

    task_ends = tuple(
        TaskEnd(
            job.spec.id,
            member.step,
            member.index,
            ended_run.run,
            ended_run.how,
            ended_run.checkpoint,
        )
        for member in ended_tasks
    )
    urgent = (
        ended_run.how == "failed"
        or len(ended_tasks) > 1
        or _completes_step(shard, task)
    )
    shard.append(
        TasksEnded(task_ends),
        state.now_ms,
        delay_ms=0 if urgent else END_BATCH_DELAY_MS,
        on_durable=apply_ends,
    )


def _tasks_ended(task: Task, ended_run: EndedRun) -> list[Task]:
    """Return the tasks that an end applies to.

    `done` of one member of a gang completes all members.
    """
    if not task.step_spec.gang or ended_run.how != "done":
        return [task]
    members = task.job.tasks[task.step]
    return [member for member in members if member.state is not TaskState.DONE]


def _record_outcome(
    state: OwnerState, agent_info: AgentInfo, task: Task, ended_run: EndedRun
) -> None:
    """Update the health of the worker, and the estimates of run time, from an end."""
    if ended_run.how == "done":
        state.health.record_success(agent_info.name)
        state.estimates.observe_run(
            queue=task.job.spec.policy.queue,
            estimate_ms=task.step_spec.estimate_ms,
            agent=agent_info.name,
            kind=agent_info.kind,
            run_ms=ended_run.run_ms,
        )
        return
    job_id = task.job.spec.id
    if state.health.record_failure(
        agent_info.name, job_id, state.now_ms, len(state.agents)
    ):
        state.note(
            "worker ejected",
            agent=agent_info.name,
            task=ended_run.task,
            run=ended_run.run,
        )


def _completes_step(shard: Shard, task: Task) -> bool:
    """Whether the end of a task completes its step, counting ends not yet durable."""
    for other in task.job.tasks[task.step]:
        if other.state is TaskState.DONE or other is task:
            continue
        if (other.name, other.run) not in shard.pending_ends:
            return False
    return True


@agent_handler(NotStarted)
def handle_not_started(
    state: OwnerState, agent_info: AgentInfo, message: NotStarted
) -> None:
    """Queue the task of a run that was not started, unless a newer run was sent."""
    found = state.find_task(message.task)
    if found is None:
        return
    if _is_of_other_process(state, message.task, message.entry_incarnation):
        return
    _, task = found
    if task.state is not TaskState.ASSIGNED or task.run != message.run:
        return
    if task.agent != agent_info.name:
        return
    if message.reason == OLD_RUN:
        # The worker has ended a run with this or a higher number for another entry. The
        # number is not known here, so this one is doubled until it is higher.
        task.run *= 2
    task.job.possible_starts -= 1
    state.note(
        "run not started",
        task=message.task,
        run=message.run,
        agent=agent_info.name,
        reason=message.reason,
    )
    state.requeue(task)
    if message.reason == ANOTHER_RUN and task.job.spec.volatile:
        # Another entry has the job, which must not run here as well.
        give_up_and_answer(state, task.job, "another entry has a run")


@agent_handler(Progress)
def handle_progress(
    state: OwnerState, agent_info: AgentInfo, message: Progress
) -> None:
    """Record the progress of runs, and stop those that have stalled.

    A stop is repeated for runs that were already told to stop. Only the agent that has
    the newest run counts; runs that are forgotten or superseded are stopped.
    """
    for running in message.running:
        found = state.find_task(running.task)
        if found is None or found[1].run != running.run:
            _stop_if_unknown(state, agent_info, running)
            continue
        shard, task = found
        if task.state is TaskState.WAITING:
            _stop_if_unknown(state, agent_info, running)
        if task.state is not TaskState.ASSIGNED or task.agent != agent_info.name:
            continue
        if task.stopping:
            stop_run(state, shard, task)
            continue
        task.checkpoint = running.checkpoint or task.checkpoint
        if running.percent > task.percent:
            task.percent = running.percent
            task.progress_ms = state.now_ms
        elif running.percent < 100 and not task.step_spec.long_running:
            _stop_if_stalled(state, shard, agent_info, task)


def _stop_if_unknown(
    state: OwnerState, agent_info: AgentInfo, running: RunningTask
) -> None:
    """Stop a run that is not the newest one of a task, if this process ordered it.

    The agent's report comes first: it may have a run of which the owner has given up
    to hear, and which the owner then adopts.
    """
    if running.owned and state.volatile.number in agent_info.reported_shards:
        stop_unknown_run(state, agent_info, running)


def stop_unknown_run(
    state: OwnerState, agent_info: AgentInfo, running: RunningTask
) -> None:
    """Stop a run of this process that its job, forgotten or not, no longer has.

    The agent would keep it for as long as this entry gives leases.
    """
    found = state.find_task(running.task)
    if found is not None and found[0] is not state.volatile:
        return
    if found is None:
        # The answer must not be taken for the end of a later run of the job.
        job_id = running.task.partition(".")[0]
        state.volatile.remember_runs(job_id, running.run, state.now_ms)
    stop = Stop(state.volatile.number, state.volatile.epoch, running.task, running.run)
    state.send_to_agent(agent_info.name, stop)
    state.note(
        "unknown run stopped",
        task=running.task,
        run=running.run,
        newest_run=found[1].run if found is not None else 0,
        agent=agent_info.name,
        holder=found[1].agent if found is not None else "",
    )


def _stop_if_stalled(
    state: OwnerState, shard: Shard, agent_info: AgentInfo, task: Task
) -> None:
    """Stop a run that has stalled, and count it as a failure of its worker."""
    queue = task.job.spec.policy.queue
    expected_ms = state.estimates.run_ms(queue, task.step_spec.estimate_ms)
    expected_ms *= state.estimates.slowdown(agent_info.name, agent_info.kind)
    limit_ms = max(STALL_MS, expected_ms * STALL_RUN_TIME_SHARE)
    if state.now_ms - task.progress_ms <= limit_ms:
        return
    task.avoided_agents = (*task.avoided_agents, agent_info.name)
    ejected = state.health.record_failure(
        agent_info.name, task.job.spec.id, state.now_ms, len(state.agents)
    )
    state.note(
        "run stands still",
        task=task.name,
        run=task.run,
        agent=agent_info.name,
        percent=task.percent,
        still_ms=state.now_ms - task.progress_ms,
        ejected=ejected,
    )
    stop_run(state, shard, task)
