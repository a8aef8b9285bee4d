"""Runs of an agent that was restarted after its worker."""

from __future__ import annotations

import attrs

from catkincross.peers import Report, RunningTask

from .test_platform_forgotten_runs import (
    INCARNATION,
    TASK,
    VOLATILE,
    started,
    stops_in,
)
from .test_platform_unanswered import ready_core, reply

NEXT_WORKER = 6


def test_a_run_is_kept_when_its_agent_is_restarted_after_the_worker_was() -> None:
    """The agent was taken for another host, and its healthy run was stopped."""
    entry, agent, start = started("u1", "u2")
    # The worker has begun another life before the start; the agent reports no list.
    running = RunningTask(TASK, start.run, "", 10)
    entry.core.handle_agent_lost(entry.now_ms, agent)
    entry.now_ms += 300
    entry.connect(agent, incarnation=2, report_now=False)
    entry.receive(agent, Report(VOLATILE, INCARNATION, [running], [], NEXT_WORKER, 0))
    assert stops_in(entry.step()) == []
    assert entry.core.state.find_task(TASK)[1].agent == agent


def test_an_agent_reports_its_runs_when_its_worker_has_begun_another_life() -> None:
    """The entry compares the host in reports with the one that it knows."""
    core = ready_core()
    core.step(2)
    core.handle_renewal_reply(5, 1, core.next_renewal(1), reply(5))
    core.step(6)
    next_life = reply(50)
    next_life = attrs.evolve(
        next_life, worker_incarnation=next_life.worker_incarnation + 1
    )
    core.handle_renewal_reply(50, 40, core.next_renewal(40), next_life)
    sent = core.step(51)
    assert any(isinstance(getattr(e, "message", None), Report) for e in sent), sent
