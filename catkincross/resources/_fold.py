"""Fold of the control stream: how each record changes the control state.

The fold is deterministic, so all processes that folded the same records agree.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from ..protocol._messages import RosterEntry
from ..protocol._records import (
    AgentsEnded,
    AgentsRegistered,
    Barrier,
    EntryEnded,
    EntryJoined,
    EntryLeaving,
    Record,
    ResourceDeleted,
    ResourcePut,
    SnapshotNoted,
)
from ._control_state import (
    AgentMember,
    ControlState,
    EndedEntry,
    HomeTerm,
    RecordOutcome,
    Resource,
    RosterVersion,
)

# The resource has another generation than the record expects.
LOST_RACE = "lost_race"
ENDED_AUTHOR = "ended_author"
DUPLICATE_ID = "duplicate_id"
NO_EFFECT = "no_effect"
# The author's sequence number is not above that of its last folded record.
OVERTAKEN = "overtaken"

# Outcomes are kept for operators' queries. The bound is a count and not a time because
# all processes must drop the same IDs: a second record with a kept ID is a no-op.
MAX_OUTCOMES = 2_000
MAX_DELETED_RESOURCES = 2_000

FoldFunction = Callable[[ControlState, int, Any, int], str]
FOLD_FUNCTIONS: dict[type, FoldFunction] = {}


def folds(body_class: type) -> Callable[[FoldFunction], FoldFunction]:
    """Register the fold function of a class of record bodies.

    The function takes `(state, offset, record, now_ms)` and returns an empty string,
    or the reason why the record is a no-op.

    Args:
        body_class: Class of the bodies.
    """

    def register(function: FoldFunction) -> FoldFunction:
        FOLD_FUNCTIONS[body_class] = function
        return function

    return register


def fold_record(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    """Fold the record that follows the state's version into the state.

    The state's version becomes the offset even if the record is a no-op.

    Args:
        state: State to change in place.
        offset: Offset of the record; greater than the state's version.
        record: The record.
        now_ms: Current time on this process's clock; used for retention windows
            only, since the clocks of other processes differ.

    Returns:
        An empty string if the record took effect, or the reason why it is a no-op.
    """
    state.version = offset
    state.since_snapshot += 1
    if record.id in state.outcomes:
        return DUPLICATE_ID
    reason = _fold_body(state, offset, record, now_ms)
    state.outcomes[record.id] = RecordOutcome(offset, reason)
    while len(state.outcomes) > MAX_OUTCOMES:
        del state.outcomes[next(iter(state.outcomes))]
    return reason


def _fold_body(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    if record.author is None and not isinstance(record.body, EntryJoined):
        return ENDED_AUTHOR
    if record.author is not None and not state.is_live(record.author):
        return ENDED_AUTHOR
    if record.author is not None and record.sequence:
        if record.sequence <= state.sequences.get(record.author.name, 0):
            return OVERTAKEN
        state.sequences[record.author.name] = record.sequence
    return FOLD_FUNCTIONS[type(record.body)](state, offset, record, now_ms)


def _append_roster_version(state: ControlState, offset: int, now_ms: int) -> None:
    if state.history:
        state.history[-1].until_ms = now_ms
    state.roster_version = offset
    owners = tuple(
        entry.incarnation for entry in state.entries.values() if not entry.leaving
    )
    state.history.append(RosterVersion(offset, owners))


@folds(EntryJoined)
def _entry_joined(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    body = record.body
    previous = state.entries.get(body.name)
    if previous is not None:
        state.ended[previous.incarnation] = EndedEntry(
            previous.incarnation, offset, now_ms, planned=False
        )
    state.entries[body.name] = RosterEntry(
        body.name, offset, body.address, body.data_centre
    )
    state.sequences.pop(body.name, None)
    _append_roster_version(state, offset, now_ms)
    return ""


@folds(EntryLeaving)
def _entry_leaving(
    state: ControlState, offset: int, record: Record, now_ms: int
) -> str:
    body = record.body
    if not state.is_live(body.entry):
        return NO_EFFECT
    entry = state.entries[body.entry.name]
    if entry.leaving:
        return NO_EFFECT
    state.entries[body.entry.name] = attrs.evolve(entry, leaving=True)
    _append_roster_version(state, offset, now_ms)
    return ""


@folds(EntryEnded)
def _entry_ended(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    body = record.body
    if not state.is_live(body.entry):
        return NO_EFFECT
    state.ended[body.entry] = EndedEntry(
        body.entry, offset, now_ms, planned=body.reason == "planned"
    )
    del state.entries[body.entry.name]
    state.sequences.pop(body.entry.name, None)
    _append_roster_version(state, offset, now_ms)
    return ""


@folds(AgentsRegistered)
def _agents_registered(
    state: ControlState, offset: int, record: Record, now_ms: int
) -> str:
    body = record.body
    by_name = {registration.agent.name: registration for registration in body.agents}
    for member in state.members.values():
        registration = by_name.get(member.registered.agent.name)
        if registration is not None and registration.agent != member.registered.agent:
            member.ended_ms = now_ms if member.ended_ms is None else member.ended_ms
    for registration in body.agents:
        member = state.members.setdefault(
            registration.agent, AgentMember(registration, offset)
        )
        # An ended incarnation becomes live again. This must not depend on whether its
        # row was still kept, because each process drops rows by its own clock.
        member.ended_ms = None
        if member.home != record.author:
            if member.homes:
                member.homes[-1].until_ms = now_ms
            member.homes.append(HomeTerm(record.author, now_ms))
    return ""


@folds(SnapshotNoted)
def _snapshot_noted(
    state: ControlState, offset: int, record: Record, now_ms: int
) -> str:
    if record.body.version <= state.snapshot_version:
        return NO_EFFECT
    state.snapshot_version = record.body.version
    state.since_snapshot = 1
    return ""


@folds(Barrier)
def _barrier(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    return ""


@folds(AgentsEnded)
def _agents_ended(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    body = record.body
    for agent in body.agents:
        member = state.members.get(agent)
        if member is not None and member.ended_ms is None:
            member.ended_ms = now_ms
            member.ends_ms.append(now_ms)
    return ""


@folds(ResourcePut)
def _resource_put(state: ControlState, offset: int, record: Record, now_ms: int) -> str:
    body = record.body
    key = (body.kind, body.name)
    current = state.resources.get(key)
    generation = 0 if current is None else current.generation
    if generation != body.expected_generation:
        return LOST_RACE
    generation = max(generation, state.deleted.pop(key, 0)) + 1
    state.resources[key] = Resource(
        body.kind, body.name, generation, offset, dict(body.spec)
    )
    return ""


@folds(ResourceDeleted)
def _resource_deleted(
    state: ControlState, offset: int, record: Record, now_ms: int
) -> str:
    body = record.body
    key = (body.kind, body.name)
    current = state.resources.get(key)
    if current is None or current.generation != body.expected_generation:
        return LOST_RACE
    del state.resources[key]
    state.deleted[key] = current.generation
    if len(state.deleted) > MAX_DELETED_RESOURCES:
        del state.deleted[next(iter(state.deleted))]
    return ""
