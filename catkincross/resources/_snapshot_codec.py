"""JSON form of the whole control state at one version, as snapshots hold it."""

from __future__ import annotations

import json
from typing import Any

import attrs
from cattrs.preconf.json import make_converter

from ..protocol._messages import RosterEntry
from ._control_state import (
    AgentMember,
    ControlState,
    EndedEntry,
    HomeTerm,
    RecordOutcome,
    Resource,
    RosterVersion,
)


@attrs.frozen
class DeletedResource:
    """The last generation of a deleted resource."""

    kind: str
    name: str
    generation: int


@attrs.frozen
class SnapshotDocument:
    """The control state in lists that JSON can hold.

    See `ControlState` for the fields. Points in time are in milliseconds relative to
    the time of encoding, so they are negative or zero.
    """

    version: int
    roster_version: int
    snapshot_version: int
    since_snapshot: int
    entries: list[RosterEntry]
    ended: list[EndedEntry]
    members: list[AgentMember]
    resources: list[Resource]
    outcomes: dict[str, RecordOutcome]
    history: list[RosterVersion]
    sequences: dict[str, int]
    deleted: list[DeletedResource] = attrs.field(factory=list)


_converter = make_converter()


def encode_snapshot(control: ControlState, now_ms: int) -> bytes:
    """Return the JSON form of the control state.

    Args:
        control: The state; it is not changed.
        now_ms: Current time on this process's clock.
    """
    document = SnapshotDocument(
        version=control.version,
        roster_version=control.roster_version,
        snapshot_version=control.snapshot_version,
        since_snapshot=control.since_snapshot,
        entries=list(control.entries.values()),
        ended=[_shift_ended(row, -now_ms) for row in control.ended.values()],
        members=[_shift_member(row, -now_ms) for row in control.members.values()],
        resources=list(control.resources.values()),
        outcomes=control.outcomes,
        history=[_shift_roster(row, -now_ms) for row in control.history],
        sequences=control.sequences,
        deleted=[
            DeletedResource(kind, name, generation)
            for (kind, name), generation in control.deleted.items()
        ],
    )
    data: Any = _converter.unstructure(document)
    return json.dumps(data, separators=(",", ":")).encode()


def decode_snapshot(body: bytes, now_ms: int) -> ControlState:
    """Return the control state that a snapshot holds.

    The time since the encoding is unknown and taken as zero, so that retention
    windows end late rather than early.

    Args:
        body: JSON form, as `encode_snapshot` returns it.
        now_ms: Current time on this process's clock.

    Raises:
        ValueError: If the body is not a snapshot.
    """
    try:
        document = _converter.structure(json.loads(body), SnapshotDocument)
    except Exception as error:
        raise ValueError(f"invalid control snapshot: {error}") from error
    ended = [_shift_ended(row, now_ms) for row in document.ended]
    members = [_shift_member(row, now_ms) for row in document.members]
    return ControlState(
        version=document.version,
        roster_version=document.roster_version,
        snapshot_version=document.snapshot_version,
        since_snapshot=document.since_snapshot,
        entries={row.name: row for row in document.entries},
        ended={row.incarnation: row for row in ended},
        members={row.registered.agent: row for row in members},
        resources={(row.kind, row.name): row for row in document.resources},
        outcomes=dict(document.outcomes),
        history=[_shift_roster(row, now_ms) for row in document.history],
        sequences=dict(document.sequences),
        deleted={(row.kind, row.name): row.generation for row in document.deleted},
    )


def _shift(time_ms: int | None, by_ms: int) -> int | None:
    return None if time_ms is None else time_ms + by_ms


def _shift_ended(ended: EndedEntry, by_ms: int) -> EndedEntry:
    return attrs.evolve(ended, folded_ms=ended.folded_ms + by_ms)


def _shift_roster(roster: RosterVersion, by_ms: int) -> RosterVersion:
    return attrs.evolve(roster, until_ms=_shift(roster.until_ms, by_ms))


def _shift_member(member: AgentMember, by_ms: int) -> AgentMember:
    homes = [
        HomeTerm(term.entry, term.since_ms + by_ms, _shift(term.until_ms, by_ms))
        for term in member.homes
    ]
    ends_ms = [time_ms + by_ms for time_ms in member.ends_ms]
    ended_ms = _shift(member.ended_ms, by_ms)
    return attrs.evolve(member, homes=homes, ends_ms=ends_ms, ended_ms=ended_ms)
