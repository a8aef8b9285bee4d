"""Records of the control stream."""

from __future__ import annotations

import json
from typing import Any

import attrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from ..foundation._ids import Incarnation


@attrs.frozen
class EntryJoined:
    """An entry starts a new incarnation, whose number is the record's offset.

    Attributes:
        address: gRPC address, `IP:port`.
    """

    name: str
    address: str
    data_centre: str


@attrs.frozen
class EntryLeaving:
    """An entry announces its planned leave; it takes no new keys."""

    entry: Incarnation


@attrs.frozen
class EntryEnded:
    """An incarnation of an entry has ended and is fenced."""

    entry: Incarnation
    reason: str


@attrs.frozen
class RegisteredAgent:
    """An agent's incarnation with what it serves."""

    agent: Incarnation
    upstream: str
    service: str
    data_centre: str


@attrs.frozen
class AgentsRegistered:
    """Agents that may start tasks from now on."""

    agents: list[RegisteredAgent]


@attrs.frozen
class AgentsEnded:
    """Incarnations of agents that have ended."""

    agents: list[Incarnation]
    reason: str


@attrs.frozen
class ResourcePut:
    """A resource is created or changed.

    Attributes:
        expected_generation: Generation that the author saw; 0 if none existed.
    """

    kind: str
    name: str
    expected_generation: int
    spec: dict[str, Any]


@attrs.frozen
class ResourceDeleted:
    """A resource is deleted."""

    kind: str
    name: str
    expected_generation: int


@attrs.frozen
class SnapshotNoted:
    """A snapshot of a version was written to the stream `snapshots`."""

    version: int


@attrs.frozen
class Barrier:
    """Changes nothing; settles the earlier appends of its author once it is folded."""


RecordBody = (
    EntryJoined
    | EntryLeaving
    | EntryEnded
    | AgentsRegistered
    | AgentsEnded
    | ResourcePut
    | ResourceDeleted
    | Barrier
    | SnapshotNoted
)


@attrs.frozen
class Record:
    """A record of the control stream.

    Attributes:
        id: Unique id; a second record with the same id is a no-op.
        author: Incarnation that appended it; None for an entry that joins.
        sequence: Grows with each append of the author; 0 for an entry that joins.
    """

    id: str
    author: Incarnation | None
    body: RecordBody
    sequence: int = 0


_converter = make_converter()
configure_tagged_union(RecordBody, _converter)


def encode_record(record: Record) -> bytes:
    """Return the JSON form of a record."""
    return json.dumps(_converter.unstructure(record), separators=(",", ":")).encode()


def decode_record(data: bytes) -> Record:
    """Return the record of a JSON form.

    Raises:
        ValueError: If the data is not a record.
    """
    try:
        return _converter.structure(json.loads(data), Record)
    except Exception as error:
        raise ValueError(f"not a control record: {error}") from error
