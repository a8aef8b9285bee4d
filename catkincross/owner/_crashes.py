"""Counts the crashes of workers under a task, and gives the task up after some."""

from __future__ import annotations

from ..jobs import Task, TaskEnd, TasksEnded, TaskState
from ..peers import EndedRun, Logged
from ._agents import AgentInfo
from ._requests import job_ended
from ._shard import Shard
from ._state import OwnerState


def handle_crash(
    state: OwnerState,
    shard: Shard,
    agent_info: AgentInfo,
    task: Task,
    ended_run: EndedRun,
    worker_incarnation: int,
) -> bool:
    """Append a crash to the log, and count it once it is durable.

    The task is not started again before that. A crash under an earlier run than the
    newest one is counted too, and so is one of an agent that does not have the task; a
    crash that was reported before is not.

    Returns:
        Whether the agent may forget the report now.
    """
    if task.state is TaskState.DONE or ended_run.run in task.crashes:
        requeue_ended_run(state, agent_info, task, ended_run.run)
        return True
    key = (task.name, ended_run.run)
    shard.pending_ends.add(key)
    held_run = ended_run.run
    if task.state is TaskState.WAITING:
        held_run = max(task.run, ended_run.run)
        state.assign(task, agent_info, held_run)
    job = task.job
    task_end = TaskEnd(
        job.spec.id,
        task.step,
        task.index,
        ended_run.run,
        "crashed",
        ended_run.checkpoint or task.checkpoint,
        agent_info.name,
        ended_run.alone,
        ended_run.uncertain,
    )

    def count_crash(now_ms: int) -> None:
        shard.pending_ends.discard(key)
        open_before = job.final_state is None
        present_run = task.run
        ends_present_run = holds_run(agent_info, task, held_run)
        job.apply_end(task_end, now_ms)
        if task.state is TaskState.ASSIGNED and not ends_present_run:
            # The crash may be of an earlier life of the job, with a higher number.
            task.run = present_run
        _note_crash(state, agent_info, task, ended_run)
        if ends_present_run:
            state.requeue(task)
        state.send_to_agent(
            agent_info.name, Logged([], worker_incarnation, [ended_run.crash_number])
        )
        if open_before and job.final_state is not None:
            state.note(
                "task given up after crashes",
                task=task.name,
                crashes=len(job.crashes_of(task)),
                agents=[crash.agent for crash in job.crashes_of(task)],
            )
            job_ended(state, shard, job)

    shard.append(TasksEnded((task_end,)), state.now_ms, on_durable=count_crash)
    return False


def holds_run(agent_info: AgentInfo, task: Task, run: int) -> bool:
    """Whether an agent has the newest run of a task, and this is its number."""
    return (
        task.state is TaskState.ASSIGNED
        and task.agent == agent_info.name
        and task.run == run
    )


def requeue_ended_run(
    state: OwnerState, agent_info: AgentInfo, task: Task, run: int
) -> None:
    """Queue a task again if the newest run is one whose end is already counted."""
    if holds_run(agent_info, task, run):
        state.requeue(task)


def _note_crash(
    state: OwnerState, agent_info: AgentInfo, task: Task, ended_run: EndedRun
) -> None:
    state.note(
        "run lost with its worker",
        task=ended_run.task,
        run=ended_run.run,
        agent=agent_info.name,
        crashes=len(task.crashes),
        alone=ended_run.alone,
        uncertain=ended_run.uncertain,
    )
