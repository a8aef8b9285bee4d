"""Messages between entries about jobs, keys and tasks."""

from __future__ import annotations

import attrs

from ..foundation._ids import Incarnation
from ._message_parts import (
    JobState,
    OwnedTask,
    PlacedTask,
    Reason,
    TaskResult,
    TaskSpec,
    Truth,
)


@attrs.frozen
class ForwardJob:
    """A job on its way from the arrival entry to its owner.

    The arrival entry is the one that received the caller's request.

    Attributes:
        request_id: Number of the request at the arrival entry.
        key: Job key; the arrival entry generates one for a request without a key.
        digest: Hash of the job's content.
        budget_ms: Time left until the deadline when the message was sent.
        roster_version: Version of the roster on which the owner was chosen.
        idempotent: Whether the tasks may run more than once.
        interactive: Whether a caller waits for the job.
    """

    request_id: int
    key: str
    digest: bytes
    team: str
    service: str
    tasks: list[TaskSpec]
    budget_ms: int
    roster_version: int
    idempotent: bool = False
    interactive: bool = False


@attrs.frozen
class JobAsked:
    """Asks the owner for the state of a job.

    Attributes:
        request_id: Number of the request at the arrival entry.
        wait: Whether to answer only when the job has ended.
    """

    request_id: int
    key: str
    wait: bool = False


@attrs.frozen
class CancelJob:
    """Asks the owner to cancel a job.

    Attributes:
        request_id: Number of the request at the arrival entry.
    """

    request_id: int
    key: str


@attrs.frozen
class JobAnswer:
    """State or final answer of a job.

    Attributes:
        request_id: Number of the request that is answered.
        truth: What is known about the execution if the job is not complete.
        reason: Why the job failed or was not accepted.
        results: One result per task, by index, if the job is complete.
        tasks: Number of tasks of the job.
        tasks_done: Number of tasks that have ended.
        retry_after_ms: Time after which the caller may try again; 0 if not given.
    """

    request_id: int
    key: str
    state: JobState
    truth: Truth = Truth.NONE
    reason: Reason = Reason.NONE
    results: list[TaskResult] = attrs.field(factory=list)
    tasks: int = 0
    tasks_done: int = 0
    retry_after_ms: int = 0


@attrs.frozen
class KeyQuery:
    """Asks an earlier owner which of the given keys it knows.

    Attributes:
        keys: Key hashes, 16 bytes each.
        roster_version: Roster version of the sender; the addressee answers only once
            it has folded this version.
    """

    keys: list[bytes]
    roster_version: int


@attrs.frozen
class KeyReply:
    """Keys that the sender knows, in answer to a `KeyQuery` or unasked.

    Attributes:
        keys: Key hashes of the query.
        known: Key hashes that the sender knows.
        roster_version: Roster version of the query or of the list.
        complete: Whether `known` lists all keys known to the sender that the addressee
            owns on the roster of this version; such a list is sent unasked after a
            roster change.
    """

    keys: list[bytes]
    known: list[bytes]
    roster_version: int = 0
    complete: bool = False


@attrs.frozen
class FinishedKey:
    """A finished job that a leaving owner hands over.

    Attributes:
        digest: Hash of the job's content.
        answer: Final answer of the job.
        age_ms: Time since the job finished, when the message was sent.
    """

    key: str
    digest: bytes
    answer: JobAnswer
    age_ms: int


@attrs.frozen
class KeyHandover:
    """Finished jobs from a leaving owner to their next owner.

    Attributes:
        rows: The finished jobs.
        batch: Number of the batch, which the addressee confirms.
    """

    rows: list[FinishedKey]
    batch: int = 0


@attrs.frozen
class HandoverReceived:
    """Confirms that a batch of finished jobs was received."""

    batch: int


@attrs.frozen
class PlaceTasks:
    """Tasks from their owner to a home.

    Attributes:
        tasks: The tasks to run.
        home_number: Incarnation number of the addressee. Another incarnation must not
            answer, since it does not know what the earlier one has started.
    """

    tasks: list[PlacedTask]
    home_number: int = 0


@attrs.frozen
class ReconcileTasks:
    """Asks agents to block attempts whose home was lost, unless they have started.

    An owner sends it to the homes, and each home to its agents of the service.
    """

    service: str
    tasks: list[OwnedTask]


@attrs.frozen
class ReconcileReply:
    """Attempts that an agent has blocked: it has not started them and never will."""

    agent: Incarnation
    owner: Incarnation
    blocked: list[OwnedTask]
