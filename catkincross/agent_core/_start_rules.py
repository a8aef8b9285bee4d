"""Rules that decide whether an agent may start a task.

The rules run in the order of registration. They use the clock of the step, which the
daemon reads immediately before the step. A process that was paused between the
receipt of a task and its start therefore refuses overdue tasks.
"""

from __future__ import annotations

from collections.abc import Callable

from ..protocol._messages import Reason, TaskStart
from ._agent_state import AgentState

StartRule = Callable[[AgentState, str, TaskStart], bool]
START_RULES: list[tuple[Reason, StartRule]] = []


def start_rule(reason: Reason) -> Callable[[StartRule], StartRule]:
    """Register a rule `(state, sender, start)` that returns True to admit a task.

    Args:
        reason: Why a task is refused if the rule returns False.
    """

    def register(rule: StartRule) -> StartRule:
        START_RULES.append((reason, rule))
        return rule

    return register


def refusal_reason(state: AgentState, sender: str, start: TaskStart) -> Reason:
    """Return the reason why a task may not start now, or `Reason.NONE`.

    Tasks that have a row in `AgentState.starts` must be handled before this call.
    """
    for reason, rule in START_RULES:
        if not rule(state, sender, start):
            return reason
    return Reason.NONE


@start_rule(Reason.STALE_OWNER)
def _owner_is_live(state: AgentState, sender: str, start: TaskStart) -> bool:
    if not state.guards.fence:
        return True
    if state.view is None or start.owner in state.fenced_owners:
        return False
    return any(entry.incarnation == start.owner for entry in state.view.entries)


@start_rule(Reason.STALE_EPOCH)
def _grant_is_current(state: AgentState, sender: str, start: TaskStart) -> bool:
    if not state.guards.epoch:
        return True
    return start.grant_epoch == state.grant_epoch and sender == state.home_process


@start_rule(Reason.START_BY)
def _is_in_time(state: AgentState, sender: str, start: TaskStart) -> bool:
    return not state.guards.start_by or state.now_ms <= start.start_by_ms


@start_rule(Reason.NOT_CURRENT)
def _view_is_current(state: AgentState, sender: str, start: TaskStart) -> bool:
    return not state.guards.freshness or state.freshness.is_current(state.now_ms)


@start_rule(Reason.DRAINING)
def _is_not_draining(state: AgentState, sender: str, start: TaskStart) -> bool:
    if state.leaving or state.upstream_leaving:
        return False
    if not state.guards.drain:
        return True
    return state.view is not None and not state.view.draining


@start_rule(Reason.NO_SLOT)
def _has_slot(state: AgentState, sender: str, start: TaskStart) -> bool:
    return len(state.running) < min(state.slots, state.connections)


@start_rule(Reason.NOT_REGISTERED)
def _is_registered(state: AgentState, sender: str, start: TaskStart) -> bool:
    if not state.guards.registration:
        return True
    view = state.view
    if view is None or not view.registered:
        return False
    # Once this agent is lost, the starts that its home sent to it can be queried only
    # if the agent's registration names that home.
    return any(
        entry.name == state.home and entry.number == view.home_number
        for entry in view.entries
    )
