"""Control state: entries, agents and resources as the control stream has them."""

from __future__ import annotations

from typing import Any

import attrs

from ..foundation._ids import Incarnation
from ..protocol._messages import RosterEntry
from ..protocol._records import RegisteredAgent


@attrs.define
class EndedEntry:
    """An incarnation of an entry that has ended.

    Attributes:
        incarnation: The ended incarnation.
        offset: Offset of the record that ended it.
        folded_ms: When this process folded that record, on its own clock.
        planned: Whether the entry left by itself after its work was done.
    """

    incarnation: Incarnation
    offset: int
    folded_ms: int
    planned: bool


@attrs.define
class HomeTerm:
    """A period for which an agent is registered with one entry as its home.

    Attributes:
        entry: Incarnation of the home.
        since_ms: When this process folded the registration, on its own clock.
        until_ms: When this process folded the registration with the next home, on
            its own clock, or None for the current home.
    """

    entry: Incarnation
    since_ms: int
    until_ms: int | None = None


@attrs.define
class AgentMember:
    """An agent incarnation that was registered.

    Attributes:
        registered: The agent with its upstream, service and data centre.
        offset: Offset of its first registration.
        homes: Its homes within the retention window, newest last.
        ended_ms: When this process folded its end, on its own clock, or None while
            the agent is live.
        ends_ms: When this process folded each `AgentsEnded` that ended it, on its
            own clock, within the retention window. An ended incarnation can be
            registered again.
    """

    registered: RegisteredAgent
    offset: int
    homes: list[HomeTerm] = attrs.field(factory=list)
    ended_ms: int | None = None
    ends_ms: list[int] = attrs.field(factory=list)

    @property
    def home(self) -> Incarnation | None:
        """The home of the latest registration, or None."""
        return self.homes[-1].entry if self.homes else None


@attrs.define
class Resource:
    """A resource that operators declared.

    Attributes:
        kind: Kind of the resource, such as `teams`.
        name: Name of the resource, unique within its kind.
        generation: Grows with each change; a change has to name the current one.
        version: Offset of the record that last changed the resource.
        spec: Declared fields.
    """

    kind: str
    name: str
    generation: int
    version: int
    spec: dict[str, Any]


@attrs.define
class RecordOutcome:
    """Result of folding a record.

    Attributes:
        offset: Offset of the record.
        reason: Why the record was a no-op, or an empty string if it took effect.
    """

    offset: int
    reason: str = ""


@attrs.define
class RosterVersion:
    """The entries that could own new keys between two changes of the roster.

    Attributes:
        version: Offset of the record that made this roster.
        entries: Incarnations of these entries; those that were leaving are left out.
        until_ms: When this process folded the next roster change, on its own clock,
            or None for the current roster.
        by_name: `entries` by name, since the owner of each new key is looked up here.
    """

    version: int
    entries: tuple[Incarnation, ...]
    until_ms: int | None = None
    by_name: dict[str, Incarnation] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        self.by_name = {entry.name: entry for entry in self.entries}


@attrs.define
class ControlState:
    """State folded from the control stream up to one offset.

    Attributes:
        version: Offset of the last folded record; 0 before the first.
        entries: Entries that have not ended, by name.
        ended: Ended incarnations of entries within the retention window.
        members: Registered agent incarnations; ended ones stay for the retention
            window.
        resources: Resources by kind and name.
        deleted: Last generations of deleted resources by kind and name, the latest
            deletion last; a resource that is created again continues from there.
        outcomes: Outcomes of recently folded records by record ID, oldest first.
        roster_version: Offset of the last record that changed `entries`.
        history: Rosters within the retention window, newest last.
        snapshot_version: Control version of the newest snapshot that a
            `SnapshotNoted` record names.
        since_snapshot: Number of records folded from that record on, including it.
        sequences: Sequence number of the last record of each live entry, by name.
    """

    version: int = 0
    entries: dict[str, RosterEntry] = attrs.field(factory=dict)
    ended: dict[Incarnation, EndedEntry] = attrs.field(factory=dict)
    members: dict[Incarnation, AgentMember] = attrs.field(factory=dict)
    resources: dict[tuple[str, str], Resource] = attrs.field(factory=dict)
    deleted: dict[tuple[str, str], int] = attrs.field(factory=dict)
    outcomes: dict[str, RecordOutcome] = attrs.field(factory=dict)
    roster_version: int = 0
    history: list[RosterVersion] = attrs.field(factory=list)
    snapshot_version: int = 0
    since_snapshot: int = 0
    sequences: dict[str, int] = attrs.field(factory=dict)

    def is_live(self, incarnation: Incarnation) -> bool:
        """Whether an entry's incarnation has joined and has not ended."""
        entry = self.entries.get(incarnation.name)
        return entry is not None and entry.number == incarnation.number

    def owner_names(self) -> list[str]:
        """Return the names of the live entries that may own new keys."""
        return [entry.name for entry in self.entries.values() if not entry.leaving]

    def home_of(self, agent: Incarnation) -> Incarnation | None:
        """Return the home of a live agent, or None if it has ended or is unknown."""
        member = self.members.get(agent)
        return None if member is None or member.ended_ms is not None else member.home

    def prune(self, before_ms: int) -> None:
        """Remove what ended before the retention window.

        Args:
            before_ms: Start of the retention window on this process's clock.
        """
        self.ended = {
            incarnation: ended
            for incarnation, ended in self.ended.items()
            if ended.folded_ms >= before_ms
        }
        self.members = {
            agent: member
            for agent, member in self.members.items()
            if member.ended_ms is None or member.ended_ms >= before_ms
        }
        for member in self.members.values():
            member.homes = [
                term
                for term in member.homes
                if term.until_ms is None or term.until_ms >= before_ms
            ]
            member.ends_ms = [time for time in member.ends_ms if time >= before_ms]
        self.history = [
            roster
            for roster in self.history
            if roster.until_ms is None or roster.until_ms >= before_ms
        ]

    def is_registered(self, agent: Incarnation) -> bool:
        """Whether an agent's incarnation is registered and has not ended."""
        member = self.members.get(agent)
        return member is not None and member.ended_ms is None

    def is_draining(self, data_centre: str, upstream: str = "") -> bool:
        """Whether the data centre or the upstream is drained and takes no new work.

        Args:
            data_centre: Name of the data centre.
            upstream: Name of the upstream; empty to check the data centre only.
        """
        return self._is_drained("datacentres", data_centre) or self._is_drained(
            "upstreams", upstream
        )

    def _is_drained(self, kind: str, name: str) -> bool:
        resource = self.resources.get((kind, name))
        return resource is not None and bool(resource.spec.get("drain", False))
