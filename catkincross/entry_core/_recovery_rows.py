"""Rows of key settlement: censuses, questions about keys, and held requests."""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum

import attrs

from ..foundation._ids import Incarnation
from ..protocol._messages import CancelJob, ForwardJob, JobAsked, KeyQuery


@attrs.define
class Census:
    """What this entry has found out about the starts of an ended incarnation.

    Attributes:
        begin_ms: When the entries are asked first.
        keys: Key hashes with at least one start.
        agents: Agents that have answered, through their homes.
        entries: Entries that have answered, each also for what it relayed.
        waiting: Processes whose answer is missing, by name.
        lost: Agents that no process can answer for.
        ask_due_ms: When the entries are asked again.
    """

    begin_ms: int
    keys: set[bytes] = attrs.field(factory=set)
    agents: set[Incarnation] = attrs.field(factory=set)
    entries: set[Incarnation] = attrs.field(factory=set)
    waiting: set[str] = attrs.field(factory=lambda: {"not asked yet"})
    lost: set[Incarnation] = attrs.field(factory=set)
    ask_due_ms: int = 0


@attrs.define
class HomeCensus:
    """Answers of this home's agents about an ended incarnation.

    Attributes:
        agents: Agents that have answered.
        requesters: Processes that are told when all have answered.
        asked_ms: When each agent was asked last.
        relayed: Keys that this home relayed, by agent; None until collected.
    """

    keys: set[bytes] = attrs.field(factory=set)
    agents: set[Incarnation] = attrs.field(factory=set)
    requesters: set[str] = attrs.field(factory=set)
    asked_ms: dict[Incarnation, int] = attrs.field(factory=dict)
    relayed: dict[Incarnation, set[bytes]] | None = None


@attrs.define
class Censuses:
    """All censuses, by ended incarnation: those of this entry and those it serves."""

    own: dict[Incarnation, Census] = attrs.field(factory=dict)
    served: dict[Incarnation, HomeCensus] = attrs.field(factory=dict)
    roster_version: int = 0


class KeyQueryStatus(StrEnum):
    """What an earlier owner said about a key."""

    ASKED = "asked"
    KNOWN = "known"
    NOT_KNOWN = "not_known"


@attrs.define
class Inquiry:
    """Questions about one key under one roster.

    Attributes:
        answers: What the earlier owners said.
        asked_ms: When each of them was asked last.
    """

    roster_version: int
    answers: dict[Incarnation, KeyQueryStatus] = attrs.field(factory=dict)
    asked_ms: dict[Incarnation, int] = attrs.field(factory=dict)


@attrs.frozen
class KeyList:
    """All keys of this entry's range that an earlier owner has a job for."""

    roster_version: int
    keys: frozenset[bytes]


@attrs.define
class KeyQueries:
    """State of the questions in both directions.

    Attributes:
        inquiries: Questions of this entry, by key hash.
        key_lists: Lists that earlier owners sent, by incarnation.
        unsent_queries: Keys to ask for at the end of the step, by name of the entry.
        deferred_queries: Questions of others about a roster that is not folded yet.
        key_lists_version: Roster version for which lists were sent.
    """

    inquiries: dict[bytes, Inquiry] = attrs.field(factory=dict)
    key_lists: dict[Incarnation, KeyList] = attrs.field(factory=dict)
    unsent_queries: dict[str, list[bytes]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    deferred_queries: list[tuple[str, KeyQuery]] = attrs.field(factory=list)
    key_lists_version: int = 0


@attrs.define
class HeldRequest:
    """A request whose key is not settled, or whose job an earlier owner keeps.

    Attributes:
        arrival: Name of the arrival entry.
        deadline_ms: When it is answered `unknown`.
        relay_id: Number under which it was passed on; 0 if it was not.
        keeper: The earlier owner to which it was passed on.
    """

    arrival: str
    message: ForwardJob | JobAsked | CancelJob
    deadline_ms: int
    relay_id: int = 0
    keeper: Incarnation | None = None
