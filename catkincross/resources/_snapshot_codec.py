"""JSON form of the whole control state as of one version."""

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
    """Rows of the control state; points in time are relative to the encoding."""

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
        now_ms: This process's clock.
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
    """Return the control state of a JSON form.

    The time since the encoding is not known and counts as none, so that retention
    windows end late rather than early.

    Args:
        body: What `encode_snapshot` returned.
        now_ms: This process's clock.

    Raises:
        ValueError: If the body is not a snapshot.
    """
    try:
        document = _converter.structure(json.loads(body), SnapshotDocument)
    except Exception as error:
        raise ValueError(f"not a control snapshot: {error}") from error
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


def _shift_ended(row: EndedEntry, by_ms: int) -> EndedEntry:
    return attrs.evolve(row, folded_ms=row.folded_ms + by_ms)


def _shift_roster(row: RosterVersion, by_ms: int) -> RosterVersion:
    return attrs.evolve(row, until_ms=_shift(row.until_ms, by_ms))


def _shift_member(row: AgentMember, by_ms: int) -> AgentMember:
    homes = [
        HomeTerm(term.entry, term.since_ms + by_ms, _shift(term.until_ms, by_ms))
        for term in row.homes
    ]
    ends_ms = [time_ms + by_ms for time_ms in row.ends_ms]
    ended_ms = _shift(row.ended_ms, by_ms)
    return attrs.evolve(row, homes=homes, ends_ms=ends_ms, ended_ms=ended_ms)
