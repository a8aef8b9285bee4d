"""Tests of runs that an entry has forgotten, and of late messages about them."""

from __future__ import annotations

from typing import Any

import pytest

from catkincross.operations import Declarations
from catkincross.owner import OwnerCore, OwnerLimits, SendToAgent
from catkincross.peers import (
    AgentState,
    EndedRun,
    Ends,
    Lease,
    NotStarted,
    Progress,
    Report,
    RunningTask,
    Start,
    Stop,
    WorkerProfile,
)
from catkincross.workers import SendToEntry
from scenarios.platform_model import SERVICE, job
from tests.test_platform_unanswered import (
    TASK as TASK_OF_AGENT,
    order_run,
    ready_core,
    reply,
)

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
INCARNATION = 7
VOLATILE = -1
WORKER_INCARNATION = 5
# Time after which an ended job is forgotten, with a reserve.
FORGET_MS = 4_200


class Entry:
    """An entry's core with the messages that it sends to its agents."""

    def __init__(self, *agents: str) -> None:
        self.core = OwnerCore("e1", OwnerLimits(), INCARNATION)
        self.core.update_declarations(0, Declarations(version=1))
        self.now_ms = 1_000
        self.core.step(0)
        for agent in agents:
            self.connect(agent)

    def connect(
        self, agent: str, incarnation: int = 1, *, report_now: bool = True
    ) -> None:
        """Let an agent open a link, and tell of its worker, which has no runs."""
        self.core.handle_agent_connected(self.now_ms, agent, incarnation)
        profile = WorkerProfile(
            f"w-{agent}", 5, SERVICE, "perth", ["a"], 4_000, 8_192, 0
        )
        self.receive(agent, profile)
        self.tell_state(agent)
        if report_now:
            self.receive(agent, report(acked_order=0))

    def tell_state(self, agent: str, *, acked_order: int = 0, cpu: int = 4_000) -> None:
        """Let an agent send its state."""
        state = AgentState(self.now_ms, cpu, 8_192, 0, True, acked_order)
        self.receive(agent, state)

    def receive(self, agent: str, message: Any) -> None:
        """Let a message of an agent arrive."""
        self.core.handle_agent_message(self.now_ms, agent, message)

    def step(self) -> list[tuple[str, Any]]:
        """Return the messages of a step, by agent."""
        effects = self.core.step(self.now_ms)
        return [(e.agent, e.content) for e in effects if isinstance(e, SendToAgent)]

    def submit(self, *, count: int = 1, timeout_ms: int = 20_000) -> None:
        """Submit the job."""
        spec = job(JOB, count=count, volatile=True)
        self.core.submit(self.now_ms, "post", spec, timeout_ms=timeout_ms)

    def run(self, for_ms: int) -> list[tuple[str, Any]]:
        """Let time pass, while all connected agents send their states."""
        sent: list[tuple[str, Any]] = []
        for _ in range(for_ms // 50):
            self.now_ms += 50
            for agent, info in list(self.core.state.agents.items()):
                if info.connected:
                    self.tell_state(agent, acked_order=info.last_order)
            sent += self.step()
        return sent


def starts_in(messages: list[tuple[str, Any]]) -> list[tuple[str, Start]]:
    """Return the start orders among messages, by agent."""
    return [(agent, m) for agent, m in messages if isinstance(m, Start)]


def stops_in(messages: list[tuple[str, Any]]) -> list[tuple[str, str, int]]:
    """Return agent, task and run of the stop orders among messages."""
    return [(agent, m.task, m.run) for agent, m in messages if isinstance(m, Stop)]


def started(*agents: str) -> tuple[Entry, str, Start]:
    """Return an entry that has sent the only task of a job, and to which agent."""
    entry = Entry(*agents)
    entry.submit()
    [(agent, start)] = starts_in(entry.step())
    return entry, agent, start


def ended(run: int, how: str) -> Ends:
    """Return the end of a run of the task."""
    return Ends([EndedRun(0, TASK, run, how)], WORKER_INCARNATION, INCARNATION)


def report(*running: RunningTask, acked_order: int) -> Report:
    """Return an agent's report of the entry's volatile jobs."""
    return Report(
        VOLATILE, INCARNATION, list(running), [], WORKER_INCARNATION, acked_order
    )


def progress_in(effects: list[Any]) -> list[RunningTask]:
    """Return the runs of which an agent tells the progress."""
    return [
        run
        for effect in effects
        if isinstance(effect, SendToEntry) and isinstance(effect.message, Progress)
        for run in effect.message.running
    ]


@pytest.mark.parametrize("message", ["progress", "report"])
def test_a_run_of_a_forgotten_job_is_stopped(message: str) -> None:
    """Its agent keeps it for as long as this entry gives leases.

    The job begins anew at any entry, since nobody knows of the run.
    """
    entry, agent, start = started("u1", "u2")
    entry.core.abandon(entry.now_ms, "post", JOB)
    entry.step()
    entry.receive(agent, ended(start.run, "absent"))
    assert not entry.core.has_volatile_job(JOB)
    running = RunningTask(TASK, start.run, "", 40)
    content: Any = Progress([running])
    if message == "report":
        content = report(running, acked_order=start.order)
    entry.receive(agent, content)
    assert (agent, TASK, start.run) in stops_in(entry.step())


def test_a_superseded_run_that_makes_progress_is_stopped() -> None:
    """A run whose end was reported in error went on beside the next one."""
    entry, agent, start = started("u1", "u2")
    entry.receive(agent, NotStarted(TASK, start.run, "unanswered", INCARNATION))
    [(_, second)] = starts_in(entry.step())
    assert second.run > start.run
    entry.receive(agent, Progress([RunningTask(TASK, start.run, "", 40)]))
    assert (agent, TASK, start.run) in stops_in(entry.step())


@pytest.mark.parametrize("how", ["lost", "crashed", "stopped"])
@pytest.mark.parametrize("run", [1, 3])
def test_an_end_from_an_agent_without_the_task_does_not_start_it_again(
    how: str, run: int
) -> None:
    """The run belongs to an earlier life of the job, whose runs had the same numbers.

    An ended job is forgotten after 4 s also while agents have runs of it, and the runs
    of its next life are numbered from 1.
    """
    entry, agent, start = started("u1", "u2")
    other = {"u1": "u2", "u2": "u1"}[agent]
    crash_number = 9 if how == "crashed" else 0
    end = EndedRun(0, TASK, run, how, crash_number=crash_number)
    entry.receive(other, Ends([end], WORKER_INCARNATION, INCARNATION))
    assert starts_in(entry.run(500)) == []
    task = entry.core.state.find_task(TASK)[1]
    assert (task.agent, task.run) == (agent, start.run)


def test_a_job_that_is_submitted_again_after_its_end_numbers_its_runs_anew() -> None:
    """Ends of its earlier runs would be taken for those of the present ones."""
    entry, agent, start = started("u1", "u2")
    entry.receive(agent, ended(start.run, "done"))
    entry.step()
    entry.run(FORGET_MS)
    assert not entry.core.has_volatile_job(JOB)
    entry.submit()
    [(_, second)] = starts_in(entry.step())
    assert second.run > start.run


def test_an_ended_job_is_remembered_while_agents_may_have_runs_of_it() -> None:
    """A job that has failed was forgotten after 4 s, and began anew beside its runs."""
    entry = Entry("u1", "u2")
    entry.submit(count=2)
    starts = starts_in(entry.step())
    assert len(starts) == 2
    (agent, failing), _ = starts
    for number in range(3):
        end = EndedRun(number + 1, failing.task, failing.run, "failed")
        entry.receive(agent, Ends([end], WORKER_INCARNATION, INCARNATION))
        sent = starts_in(entry.step())
        if sent:
            [(agent, failing)] = sent
    entry.run(FORGET_MS)
    assert any(info.assigned_tasks for info in entry.core.state.agents.values())
    assert entry.core.has_volatile_job(JOB)


def test_progress_of_an_earlier_process_run_does_not_stop_the_present_run() -> None:
    """An agent tells the progress of runs of the entry's earlier process too.

    That run had stalled, and the run of the same number at another agent was stopped.
    """
    entry, agent, start = started("u1", "u2")
    other = {"u1": "u2", "u2": "u1"}[agent]
    sent: list[tuple[str, Any]] = []
    for percent in range(0, 60, 2):
        entry.now_ms += 50
        running = RunningTask(TASK, start.run, "", percent)
        entry.receive(agent, Progress([running]))
        # The present run makes progress, the earlier one does not.
        entry.receive(other, Progress([RunningTask(TASK, start.run, "", 10)]))
        # An entry without steps for 2,250 ms gives up its jobs.
        sent += entry.step()
    assert entry.core.state.find_task(TASK)[1].percent == 58
    entry.now_ms += 800
    entry.receive(other, Progress([RunningTask(TASK, start.run, "", 10)]))
    assert stops_in(sent + entry.step()) == []


def test_a_report_of_another_host_of_the_same_name_ends_no_runs() -> None:
    """A host was replaced while it was cut off; its worker ran on.

    The lease of the first host had not ended when its tasks were started elsewhere.
    """
    entry, agent, start = started("u1", "u2")
    entry.receive(agent, report(RunningTask(TASK, start.run), acked_order=start.order))
    entry.core.handle_agent_lost(entry.now_ms, agent)
    entry.now_ms += 300
    entry.connect(agent, incarnation=2, report_now=False)
    other_worker = WorkerProfile(
        "w-other", 99, SERVICE, "perth", ["a"], 4_000, 8_192, 0
    )
    entry.receive(agent, other_worker)
    entry.receive(agent, Report(VOLATILE, INCARNATION, [], [], 99, 0))
    assert starts_in(entry.step()) == []


def test_a_run_that_no_entry_has_claimed_is_not_stopped() -> None:
    """It may be one of another entry's job, which learns of it at the same time."""
    entry = Entry("u1")
    orphan = RunningTask(TASK, 1, "", 40, owned=False)
    entry.receive("u1", report(orphan, acked_order=0))
    entry.receive("u1", Progress([orphan]))
    assert stops_in(entry.step()) == []


def test_an_agent_tells_no_progress_of_runs_of_an_earlier_process() -> None:
    """The entry's present process would take them for its own."""
    core = ready_core()
    order_run(core)
    running = RunningTask(TASK_OF_AGENT, 1, "", 30)
    core.handle_renewal_reply(5, 1, core.next_renewal(1), reply(5, (running,)))
    assert progress_in(core.step(300)) == [running]
    core.handle_entry_lost(310, "e1")
    core.handle_entry_connected(320, "e1")
    core.handle_entry_message(330, "e1", Lease(330, 2_000, [], INCARNATION + 3, 800))
    core.handle_renewal_reply(340, 335, core.next_renewal(335), reply(340, (running,)))
    assert progress_in(core.step(600)) == []
    assert (TASK_OF_AGENT, 1) in core.state.runs


def test_an_agent_that_was_restarted_beside_its_worker_ends_missing_runs() -> None:
    """A task would wait for the end of leases although its run is known to be over."""
    entry, agent, start = started("u1", "u2")
    entry.receive(agent, report(RunningTask(TASK, start.run), acked_order=start.order))
    entry.core.handle_agent_lost(entry.now_ms, agent)
    entry.now_ms += 300
    entry.connect(agent, incarnation=2)
    assert len(starts_in(entry.step())) == 1


def test_runs_of_a_replaced_host_start_elsewhere_once_its_leases_have_ended() -> None:
    """A task would wait for a host that never comes back."""
    entry, agent, start = started("u1", "u2")
    entry.receive(agent, report(RunningTask(TASK, start.run), acked_order=start.order))
    entry.core.handle_agent_lost(entry.now_ms, agent)
    entry.now_ms += 300
    entry.connect(agent, incarnation=2, report_now=False)
    entry.receive(agent, Report(VOLATILE, INCARNATION, [], [], 99, 0))
    assert starts_in(entry.run(1_900)) == []
    assert len(starts_in(entry.run(100))) == 1


def test_the_answer_to_an_earlier_stop_does_not_end_the_present_run() -> None:
    """An agent without the run answered a stop before it read the start order."""
    entry, agent, start = started("u1", "u2")
    answer = EndedRun(0, TASK, start.run, "absent")
    entry.receive(
        agent, Ends([answer], WORKER_INCARNATION, INCARNATION, start.order - 1)
    )
    assert starts_in(entry.run(500)) == []
    entry.receive(agent, Ends([answer], WORKER_INCARNATION, INCARNATION, start.order))
    assert len(starts_in(entry.run(500))) == 1
