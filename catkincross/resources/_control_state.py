"""State folded from the control stream."""

from __future__ import annotations

from typing import Any

import attrs

from ..foundation._ids import Incarnation
from ..protocol._messages import RosterEntry
from ..protocol._records import RegisteredAgent


@attrs.define
class EndedEntry:
    """An ended incarnation of an entry.

    Attributes:
        offset: Offset of the record that ended it.
        folded_ms: When this process folded the record, on its own clock.
        planned: It left by itself, after its work was done.
    """

    incarnation: Incarnation
    offset: int
    folded_ms: int
    planned: bool


@attrs.define
class HomeTerm:
    """The time for which the register names an entry as an agent's home.

    Attributes:
        since_ms: When this process folded the registration.
        until_ms: When this process folded the next home, or None.
    """

    entry: Incarnation
    since_ms: int
    until_ms: int | None = None


@attrs.define
class AgentMember:
    """An agent incarnation of the register.

    Attributes:
        offset: Offset of its first registration.
        homes: Its homes within the retention window, newest last.
        ended_ms: When this process folded its end, or None while it lives.
        ends_ms: When its ends within the retention window were folded.
    """

    registered: RegisteredAgent
    offset: int
    homes: list[HomeTerm] = attrs.field(factory=list)
    ended_ms: int | None = None
    ends_ms: list[int] = attrs.field(factory=list)

    @property
    def home(self) -> Incarnation | None:
        """The home that the register names."""
        return self.homes[-1].entry if self.homes else None


@attrs.define
class Resource:
    """A declared resource.

    Attributes:
        version: Offset of the record that changed it last.
    """

    kind: str
    name: str
    generation: int
    version: int
    spec: dict[str, Any]


@attrs.define
class RecordOutcome:
    """What folding a record did; `reason` is empty if it was kept."""

    offset: int
    reason: str = ""


@attrs.define
class RosterVersion:
    """The entries that could own keys from one roster change to the next.

    Attributes:
        until_ms: When this process folded the next roster change, or None.
        by_name: The entries by name; the owner of each new key is looked up here.
    """

    version: int
    entries: tuple[Incarnation, ...]
    until_ms: int | None = None
    by_name: dict[str, Incarnation] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        self.by_name = {entry.name: entry for entry in self.entries}


@attrs.define
class ControlState:
    """Everything that the control stream says, up to one offset.

    Attributes:
        version: Offset of the last folded record; 0 before the first.
        entries: Entries that have not ended, by name.
        ended: Ended incarnations of entries within the retention window.
        members: Agent incarnations, the ended ones within the retention window.
        resources: Resources by kind and name.
        deleted: Last generations of deleted resources by kind and name, the newest
            ones last; a resource that is created again goes on from there.
        outcomes: What folding did, by record id.
        roster_version: Offset of the last change of `entries`.
        history: Rosters within the retention window, newest last.
        snapshot_version: Version of the newest snapshot that was noted.
        since_snapshot: Records folded since that was noted.
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
        """Whether an entry's incarnation is on the roster."""
        entry = self.entries.get(incarnation.name)
        return entry is not None and entry.number == incarnation.number

    def owners(self) -> list[str]:
        """Return the names of the entries that take new keys."""
        return [entry.name for entry in self.entries.values() if not entry.leaving]

    def home_of(self, agent: Incarnation) -> Incarnation | None:
        """Return the home that the register names for a live agent, or None."""
        member = self.members.get(agent)
        return None if member is None or member.ended_ms is not None else member.home

    def prune(self, before_ms: int) -> None:
        """Drop what ended before a time on this process's clock.

        Args:
            before_ms: Start of the retention window.
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
        """Whether a data centre or an upstream takes no new work."""
        return self._drain_flag("datacentres", data_centre) or self._drain_flag(
            "upstreams", upstream
        )

    def _drain_flag(self, kind: str, name: str) -> bool:
        resource = self.resources.get((kind, name))
        return resource is not None and bool(resource.spec.get("drain", False))
