"""Records of the control stream, and their JSON form."""

from __future__ import annotations

import json
from typing import Any

import attrs
from cattrs.preconf.json import make_converter
from cattrs.strategies import configure_tagged_union

from ..foundation._ids import Incarnation


@attrs.frozen
class EntryJoined:
    """An entry joins with a new incarnation, whose number is the record's offset.

    An earlier incarnation of the same name that has not ended ends with this record.

    Attributes:
        name: Name of the entry.
        address: gRPC address, `IP:port`.
    """

    name: str
    address: str
    data_centre: str


@attrs.frozen
class EntryLeaving:
    """An entry announces that it is leaving; it takes no new keys."""

    entry: Incarnation


@attrs.frozen
class EntryEnded:
    """An incarnation of an entry has ended and is fenced.

    Attributes:
        entry: The ended incarnation.
        reason: Why it ended; `planned` if it left after its work was done.
    """

    entry: Incarnation
    reason: str


@attrs.frozen
class RegisteredAgent:
    """An agent's incarnation with its upstream, service and data centre."""

    agent: Incarnation
    upstream: str
    service: str
    data_centre: str


@attrs.frozen
class AgentsRegistered:
    """Registers agents, which may start tasks from now on; the author is their home.

    Other incarnations of the same names end.
    """

    agents: list[RegisteredAgent]


@attrs.frozen
class AgentsEnded:
    """Incarnations of agents have ended.

    Attributes:
        reason: Why they ended.
    """

    agents: list[Incarnation]
    reason: str


@attrs.frozen
class ResourcePut:
    """A resource is created or changed.

    Attributes:
        kind: Kind of the resource, such as `teams`.
        name: Name of the resource, unique within its kind.
        expected_generation: Generation that the author saw; 0 if the resource did
            not exist. The record is a no-op if another one is current.
        spec: Declared fields.
    """

    kind: str
    name: str
    expected_generation: int
    spec: dict[str, Any]


@attrs.frozen
class ResourceDeleted:
    """A resource is deleted.

    Attributes:
        expected_generation: Generation that the author saw. The record is a no-op if
            another one is current.
    """

    kind: str
    name: str
    expected_generation: int


@attrs.frozen
class SnapshotNoted:
    """A snapshot of a control version was written to the stream `snapshots`."""

    version: int


@attrs.frozen
class Barrier:
    """Changes nothing; settles the earlier appends of its author when it is folded."""


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
        id: Unique ID; a second record with the same ID is a no-op.
        author: Incarnation that appended the record; None for `EntryJoined`.
        body: What the record changes.
        sequence: Grows with each append of the author; 0 for `EntryJoined`.
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
    """Return the record that a JSON form holds.

    Raises:
        ValueError: If the data is not a valid record.
    """
    try:
        return _converter.structure(json.loads(data), Record)
    except Exception as error:
        raise ValueError(f"invalid control record: {error}") from error
