"""Tests of start orders that the worker leaves unanswered."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest

from catkincross.clock import ManualClock
from catkincross.daemons._agent import AgentDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.peers import (
    EndedRun,
    Lease,
    NotStarted,
    Progress,
    RunningTask,
    Start,
)
from catkincross.workers import (
    LeaseRenewal,
    LeaseRenewalReply,
    Registration,
    SendToEntry,
    StartOutcome,
    StartRun,
    WorkerCore,
    WorkerLimits,
)
from tests.test_platform_daemons import settings_for

TASK = f"{'a' * 16}.0.0.0"
INCARNATION = 5


def ready_core() -> WorkerCore:
    """Return the core of an agent whose worker is ready, with a lease of e1."""
    return make_ready(WorkerCore(WorkerLimits(), 1_000, host="u1"))


def make_ready(core: WorkerCore) -> WorkerCore:
    """Register a worker, and let e1 give a lease on its volatile jobs."""
    core.handle_heartbeat(
        0, Registration("w", "s", "dc", ("a",), 4_000, 4_096, 0, False, INCARNATION, 1)
    )
    core.handle_renewal_reply(0, 0, core.next_renewal(0), reply(clock_ms=0))
    core.handle_entry_connected(0, "e1")
    core.handle_entry_message(0, "e1", Lease(0, 2_000, [], 9, 800))
    core.step(0)
    return core


def reply(
    clock_ms: int, running: tuple[Any, ...] = (), finished: tuple[Any, ...] = ()
) -> LeaseRenewalReply:
    """Return the worker's answer to a lease renewal."""
    return LeaseRenewalReply(INCARNATION, clock_ms, running, finished)


def order_run(core: WorkerCore) -> StartRun:
    """Let e1 order a run; return the agent's order to the worker."""
    core.handle_entry_message(0, "e1", Start(1, -1, 9, TASK, 1, "x", 1_000, 64, 0, ""))
    return next(effect for effect in core.step(0) if isinstance(effect, StartRun))


def test_an_answer_that_was_overtaken_brings_no_ended_run_back() -> None:
    """Renewals overlap, and their answers come on different connections."""
    core = ready_core()
    core.handle_start_outcome(0, order_run(core), StartOutcome.STARTED)
    long_poll = core.next_renewal(10)
    second = core.next_renewal(20)
    done = EndedRun(1, TASK, 1, "done")
    core.handle_renewal_reply(40, 20, second, reply(30, finished=(done,)))
    assert not core.state.runs
    running = RunningTask(TASK, 1, "", 50)
    core.handle_renewal_reply(41, 10, long_poll, reply(25, running=(running,)))
    assert not core.state.runs


def test_progress_is_not_reported_while_the_worker_is_silent() -> None:
    """A run must not be stopped as stalled because answers of its worker are lost.

    On a day with lost answers 100 runs were stopped within 6 s.
    """
    core = ready_core()
    order_run(core)
    running = RunningTask(TASK, 1, "", 30)
    core.handle_renewal_reply(5, 1, core.next_renewal(1), reply(5, (running,)))
    reports = 0
    for now_ms in range(10, 1_500, 10):
        if now_ms % 100 == 0:
            core.handle_entry_message(now_ms, "e1", Lease(now_ms, 2_000, [], 9, 800))
        effects = core.step(now_ms)
        messages = [effect.message for effect in effects if hasattr(effect, "message")]
        reports += sum(isinstance(message, Progress) for message in messages)
    assert core.state.runs
    assert reports == 1


class SilentWorker:
    """Worker that answers no start order, and holds renewals that wait.

    Args:
        lost: Number of renewals that do not wait and get no answer.
    """

    def __init__(self, lost: int) -> None:
        self.lost = lost
        self.renewals: list[LeaseRenewal] = []

    async def start(self, _worker: str, _order: StartRun) -> StartOutcome:
        """Leave the order unanswered."""
        return StartOutcome.UNANSWERED

    async def renew_lease(self, renewal: LeaseRenewal) -> LeaseRenewalReply | None:
        """Answer at once, unless the renewal may wait for an end or is lost."""
        self.renewals.append(renewal)
        if renewal.wait_ms:
            await asyncio.Event().wait()
        self.lost -= 1
        return None if self.lost >= 0 else reply(clock_ms=len(self.renewals))


@pytest.mark.parametrize("lost", [0, 2])
def test_an_unanswered_order_is_settled_without_waiting_for_the_long_poll(
    lost: int,
) -> None:
    """The entry learned only after up to 550 ms that it could run the task elsewhere.

    A job of tasks of 120 ms was late by then, the more so if a renewal was lost too.
    """

    async def run() -> tuple[list[LeaseRenewal], list[Any], int]:
        clock = ManualClock()
        log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
        agent = AgentDaemon(settings_for("u1"), clock, log)
        core = make_ready(agent.core)
        worker = SilentWorker(lost)
        await agent.store.close()
        await agent.worker.close()
        agent.worker = worker
        long_poll = asyncio.create_task(agent._renew_lease())
        await asyncio.sleep(0)
        order = order_run(core)
        await agent._start_run(order)
        long_poll.cancel()
        return worker.renewals, core.step(1), order.fence

    renewals, effects, fence = asyncio.run(run())
    assert [renewal.wait_ms > 0 for renewal in renewals] == [True] + [False] * (
        lost + 1
    )
    assert renewals[-1].fence > fence
    messages = [effect.message for effect in effects if isinstance(effect, SendToEntry)]
    assert NotStarted(TASK, 1, "unanswered", 9) in messages
