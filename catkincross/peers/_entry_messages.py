"""Messages between entries, and those that agents pass on for them.

Fields are encoded by position, so their order is part of the wire format.
"""

from __future__ import annotations

from typing import Any

import attrs

from ._message_registry import register_message


@register_message
@attrs.frozen
class Members:
    """Entries that the sender knows of from the store or by their own links.

    Attributes:
        added: Data centre of each new entry, by address (`IP:port`).
        removed: Addresses of entries that the sender no longer knows.
        complete: Whether `added` holds all entries, not only the new ones.
    """

    added: dict[str, str]
    removed: list[str]
    complete: bool


@register_message
@attrs.frozen
class SeekAgents:
    """Request of a shard's new owner to be put in touch with agents.

    Attributes:
        agents: Names of the agents that may have runs of the shard.
    """

    agents: list[str]


@register_message
@attrs.frozen
class ReportTo:
    """Request to an agent to open a link to the entry at an address (`IP:port`)."""

    address: str


@register_message
@attrs.frozen
class Ask:
    """A request that an entry forwards to the owner of the job.

    Attributes:
        request_number: Number of the request on the link.
        verb: `submit`, `state`, `cancel`, or `abandon` if the client account has left
            that waited for the answer to the request with this number; `claim` or
            `withdraw` of a volatile job; `prove` that no run of a lost entry goes on.
        job_id: ID of the job.
        body: The encoded job for `submit`; None for the other verbs.
        timeout_ms: How long the client account waits for the answer; 0 if not known.
            For `prove` the time since the loss. In milliseconds.
    """

    request_number: int
    verb: str
    job_id: str
    body: dict[str, Any] | None = None
    timeout_ms: int = 0


@register_message
@attrs.frozen
class Answer:
    """The owner's answer to a forwarded request.

    Attributes:
        request_number: Number of the request.
        outcome: Result of the request, such as `accepted`, `rejected` or `unknown`.
        detail: State of the job, or the reason for another outcome.
        retry_after_ms: Time until a rejected request may be accepted; 0 if not known.
    """

    request_number: int
    outcome: str
    detail: str = ""
    retry_after_ms: int = 0


@register_message
@attrs.frozen
class VolatileJobs:
    """IDs of volatile jobs that an entry has begun, and of those that ended there.

    Attributes:
        begun: Jobs that the entry has begun.
        ended: Jobs that are complete or failed; the entry keeps their answer for 4 s.
        given_up: Jobs that were given up after tasks had been sent.
        dropped: Jobs that were given up before that; they have not run.
        complete: Whether `begun` lists all jobs that the entry has, as on a new link.
    """

    begun: list[str]
    ended: list[str]
    given_up: list[str] = attrs.field(factory=list)
    dropped: list[str] = attrs.field(factory=list)
    complete: bool = False


@register_message
@attrs.frozen
class LostVolatileJobs:
    """Volatile jobs of a lost entry, told to an entry that may have missed its loss.

    Attributes:
        name: Name of the lost entry.
        incarnation: Incarnation of its process.
        address: Address of the entry, `IP:port`.
        lost_for_ms: Time since its link closed, in milliseconds.
        jobs: IDs of the jobs that it held.
    """

    name: str
    incarnation: int
    address: str
    lost_for_ms: int
    jobs: list[str]


@register_message
@attrs.frozen
class Backlog:
    """Jobs and work that wait at an entry.

    Attributes:
        waiting_jobs: Number of accepted jobs without a started task, by queue.
        waiting_work: Work of waiting tasks by service, in millicore-milliseconds.
        wait_ms: Expected wait of a new job in milliseconds, by service; services are
            left out for which the entry takes no jobs from other entries.
        declared_offset: Offset in the log of the operators' declarations up to which
            they are in force at the entry; -1 for none.
        declared_age_ms: Time since no later declaration is known to have existed, in
            milliseconds; -1 if that is not known.
    """

    waiting_jobs: dict[str, int]
    waiting_work: dict[str, float]
    wait_ms: dict[str, int] = attrs.field(factory=dict)
    declared_offset: int = -1
    declared_age_ms: int = -1


@register_message
@attrs.frozen
class DeclarationsWanted:
    """Question of an entry that has older declarations of the operators.

    Attributes:
        offset: Offset in their log up to which they are in force at the sender; -1 for
            none.
        asked_ms: Time of the question, on the clock of the sender.
    """

    offset: int
    asked_ms: int


@register_message
@attrs.frozen
class DeclarationsHeld:
    """Answer with the declarations that are in force at an entry.

    Attributes:
        offset: Offset in the log up to which they are in force.
        age_ms: Time since no later declaration is known to have existed, in
            milliseconds; -1 if that is not known.
        asked_ms: Time in the question, on the clock of the entry that asked.
        values: Newest value of each key in the log, as the operators have written it.
    """

    offset: int
    age_ms: int
    asked_ms: int
    values: dict[str, bytes]
