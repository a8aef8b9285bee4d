"""Row types of key settlement: censuses, key queries and held requests."""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum

import attrs

from ..foundation._ids import Incarnation
from ..protocol._messages import CancelJob, ForwardJob, JobAsked, KeyQuery


@attrs.define
class Census:
    """Census of the tasks started for an ended owner incarnation.

    Asks the agents, through their homes, which keys of that owner they started.

    Attributes:
        first_query_ms: When the entries are queried first.
        keys: Key hashes with at least one start.
        answered_agents: Agents whose reply has arrived, through their homes.
        answered_entries: Entries that have replied; a reply includes the tasks that the
            entry sent to agents.
        awaited_processes: Names of the processes whose reply is missing.
        lost_agents: Ended agents without a reply, a former home of which has ended too.
        ask_due_ms: When the entries are queried next.
    """

    first_query_ms: int
    keys: set[bytes] = attrs.field(factory=set)
    answered_agents: set[Incarnation] = attrs.field(factory=set)
    answered_entries: set[Incarnation] = attrs.field(factory=set)
    awaited_processes: set[str] = attrs.field(factory=lambda: {"not asked yet"})
    lost_agents: set[Incarnation] = attrs.field(factory=set)
    ask_due_ms: int = 0


@attrs.define
class HomeCensus:
    """Replies of this home's agents to a census of an ended owner incarnation.

    Attributes:
        keys: Key hashes that the agents reported as started.
        answered_agents: Agents that have replied.
        requesters: Processes that get a reply when all agents have replied.
        asked_ms: When each agent was queried last.
        sent_keys: Key hashes of the tasks that this home sent, by agent; None until
            collected.
    """

    keys: set[bytes] = attrs.field(factory=set)
    answered_agents: set[Incarnation] = attrs.field(factory=set)
    requesters: set[str] = attrs.field(factory=set)
    asked_ms: dict[Incarnation, int] = attrs.field(factory=dict)
    sent_keys: dict[Incarnation, set[bytes]] | None = None


@attrs.define
class Censuses:
    """All censuses, by ended incarnation.

    Attributes:
        own: Censuses that this entry runs as an owner.
        served: Censuses of any entry that this home answers.
        roster_version: Roster version for which censuses were begun.
    """

    own: dict[Incarnation, Census] = attrs.field(factory=dict)
    served: dict[Incarnation, HomeCensus] = attrs.field(factory=dict)
    roster_version: int = 0


class KeyQueryStatus(StrEnum):
    """Reply of an earlier owner to a key query; `ASKED` until it arrives."""

    ASKED = "asked"
    KNOWN = "known"
    NOT_KNOWN = "not_known"


@attrs.define
class Inquiry:
    """Queries about one key under one roster.

    Attributes:
        answers: Replies of the earlier owners.
        asked_ms: When each earlier owner was queried last.
    """

    roster_version: int
    answers: dict[Incarnation, KeyQueryStatus] = attrs.field(factory=dict)
    asked_ms: dict[Incarnation, int] = attrs.field(factory=dict)


@attrs.frozen
class KeyList:
    """Key hashes of this entry's range for which an earlier owner has a job."""

    roster_version: int
    keys: frozenset[bytes]


@attrs.define
class KeyQueries:
    """State of the key queries from and to this entry.

    Attributes:
        inquiries: Queries of this entry, by key hash.
        key_lists: Key lists from earlier owners, by incarnation.
        unsent_queries: Key hashes to query at the end of the step, by name of the
            queried entry.
        deferred_queries: Received queries that are not answered yet, each with its
            sender; one about a later roster waits until the roster is folded.
        key_lists_version: Roster version for which this entry sent its key lists.
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
    """A request whose key is not settled, or whose job an earlier owner has.

    Attributes:
        arrival: Name of the arrival entry.
        message: The request as it was received.
        deadline_ms: When the request is answered `unknown`.
        relay_id: Request number used towards the earlier owner; 0 before the relay.
        job_holder: The earlier owner to which the request was relayed, or None.
    """

    arrival: str
    message: ForwardJob | JobAsked | CancelJob
    deadline_ms: int
    relay_id: int = 0
    job_holder: Incarnation | None = None
