"""Guards against a second start of a task at one agent."""

from __future__ import annotations

from typing import Any

import attrs

from catkincross.agent_core._agent_core import AgentCore
from catkincross.agent_core._agent_state import AgentState
from catkincross.effects import CallUpstream, Connected, Received, Send, SetPeers
from catkincross.ids import Incarnation, TaskId
from catkincross.messages import (
    AgentView,
    HeartbeatReply,
    Reason,
    RosterEntry,
    StartTasks,
    TaskResults,
    TaskSpec,
    TaskStart,
)
from catkincross.settings import AgentSettings

OWNER = Incarnation("e1", 1)


def agent_with_home() -> AgentCore:
    """Return an agent with one slot, a home and fresh evidence at 1,000 ms."""
    settings = AgentSettings(
        name="u1", region="r", data_centre="d", upstream="u1", service="s", slots=1
    )
    core = AgentCore(AgentState.from_settings(settings, number=7))
    view = AgentView(5, [RosterEntry("e1", 1, "addr", "d")], False, True, 1)
    core.step(1_000, [Connected("entry/e1"), Received("entry/e1", view)])
    core.step(1_000, [Received("entry/e1", HeartbeatReply(OWNER, 1_000, 0, 5))])
    return core


def start(index: int, **changes: Any) -> TaskStart:
    """Return an order that the agent accepts, with the given values changed."""
    order = TaskStart(OWNER, TaskId(b"k" * 16, index), "s", TaskSpec(), 1, 1_500, 9_000)
    return attrs.evolve(order, **changes)


def run(core: AgentCore, now_ms: int, *orders: TaskStart) -> tuple[int, list[Any]]:
    """Send orders; return the number of tasks started and the results sent."""
    effects = core.step(now_ms, [Received("entry/e1", StartTasks(list(orders)))])
    results = [
        result
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, TaskResults)
        for result in effect.message.results
    ]
    assert not any(isinstance(effect, SetPeers) for effect in effects)
    return sum(isinstance(effect, CallUpstream) for effect in effects), results


def test_duplicate_of_a_refused_attempt_does_not_start_later() -> None:
    # Guards against a duplicate that starts after the owner was told it has not run.
    core = agent_with_home()
    started, results = run(core, 1_000, start(0), start(1))
    assert started == 1
    assert [result.reason for result in results] == [Reason.NO_SLOT]
    core.state.slots = 2
    started, results = run(core, 1_001, start(1))
    assert started == 0
    assert results[0].not_run


def test_next_attempt_starts_after_a_refused_one() -> None:
    # Guards against a refusal that blocks the later attempts of the task.
    core = agent_with_home()
    run(core, 1_000, start(0), start(1))
    core.state.slots = 2
    assert run(core, 1_001, start(1, attempt=2))[0] == 1


def test_another_owner_does_not_start_a_started_task() -> None:
    # Guards against a second run of a task that another owner has started.
    core = agent_with_home()
    core.state.slots = 2
    assert run(core, 1_000, start(0))[0] == 1
    core.state.view.entries.append(RosterEntry("e2", 6, "addr", "d"))
    started, results = run(core, 1_001, start(0, owner=Incarnation("e2", 6)))
    assert started == 0
    assert not results[0].not_run


def test_start_after_start_by_is_refused() -> None:
    # Guards against a start later than the owner allowed.
    started, results = run(agent_with_home(), 1_501, start(0))
    assert started == 0
    assert results[0].reason is Reason.START_BY
