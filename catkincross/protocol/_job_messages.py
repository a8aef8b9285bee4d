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

    Attributes:
        request_id: Number of the request at the arrival entry.
        digest: Hash of the job's content.
        budget_ms: Time left until the deadline when the message was sent.
        roster_version: Version of the roster that chose the owner.
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
    """A question for the state of a job; `wait` asks for the final answer."""

    request_id: int
    key: str
    wait: bool = False


@attrs.frozen
class CancelJob:
    """Asks the owner to cancel a job."""

    request_id: int
    key: str


@attrs.frozen
class JobAnswer:
    """State or end of a job.

    Attributes:
        request_id: Number of the request that is answered.
        results: One for each task in order of index if the job is complete.
        tasks_done: Tasks that ended so far.
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
    """Asks an earlier owner whether it knows keys.

    Attributes:
        roster_version: The addressee answers only once it has folded this version.
    """

    keys: list[bytes]
    roster_version: int


@attrs.frozen
class KeyReply:
    """Answer to `KeyQuery`: the keys asked for and those known among them.

    Attributes:
        roster_version: Version of the query that is answered.
        complete: `known` holds all keys known to the sender that the addressee owns
            on the roster of this version; sent unasked after a roster change.
    """

    keys: list[bytes]
    known: list[bytes]
    roster_version: int = 0
    complete: bool = False


@attrs.frozen
class FinishedKey:
    """A finished job, handed over by a leaving owner."""

    key: str
    digest: bytes
    answer: JobAnswer
    age_ms: int


@attrs.frozen
class KeyHandover:
    """Finished jobs of a leaving owner.

    Attributes:
        batch: Number of the batch, which the addressee confirms.
    """

    rows: list[FinishedKey]
    batch: int = 0


@attrs.frozen
class HandoverReceived:
    """Confirms a batch of finished jobs."""

    batch: int


@attrs.frozen
class PlaceTasks:
    """Tasks from their owner to a home.

    Attributes:
        home_number: Incarnation number of the addressee. Another incarnation must not
            answer: it does not know what the earlier one has started.
    """

    tasks: list[PlacedTask]
    home_number: int = 0


@attrs.frozen
class ReconcileTasks:
    """Asks agents to block attempts whose home was lost, unless they started.

    An owner sends it to homes, and each home to its agents of the service.
    """

    service: str
    tasks: list[OwnedTask]


@attrs.frozen
class ReconcileReply:
    """Attempts that an agent has blocked: it has not started them and never will."""

    agent: Incarnation
    owner: Incarnation
    blocked: list[OwnedTask]
