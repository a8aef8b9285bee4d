"""Parts that several messages between processes share."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..foundation._ids import Incarnation, TaskId

# Value of an age or time stamp that does not exist yet.
NO_EVIDENCE = -1


class TaskStatus(StrEnum):
    """How a task ended."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class JobState(StrEnum):
    """State of a job, as a caller sees it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    UNKNOWN = "unknown"
    ABSENT = "absent"


class Truth(StrEnum):
    """What is known about the execution of a job that is not complete."""

    NONE = ""
    NOT_RUN = "not_run"
    FAILED = "failed"
    MAY_HAVE_RUN = "may_have_run"


class Reason(StrEnum):
    """Why a task was refused, a job failed or a change was not accepted."""

    NONE = ""
    # Why an agent does not start a task.
    STALE_OWNER = "stale_owner"
    DUPLICATE = "duplicate"
    STALE_EPOCH = "stale_epoch"
    START_BY = "start_by"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    NO_SLOT = "no_slot"
    NOT_REGISTERED = "not_registered"
    REVOKED = "revoked"
    # Why a task or job ended, or a request was not accepted.
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    ANSWER_MISMATCH = "answer_mismatch"
    AGENT_LOST = "agent_lost"
    HOME_LOST = "home_lost"
    OWNER_LOST = "owner_lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    TASK_FAILED = "task_failed"
    RECALLED = "recalled"
    FITS_NOWHERE = "fits_nowhere"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    QUOTA = "quota"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    KEY_CONFLICT = "key_conflict"
    RECOVERING = "recovering"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    LOG_UNREACHABLE = "log_unreachable"


@attrs.frozen
class TaskSpec:
    """What a caller declares about one task.

    Attributes:
        payload: Body that is sent to the upstream.
        size: Declared size of the work, in bytes.
        run_ms: Declared run time; 0 if not declared.
        memory_mb: Declared memory; 0 if not declared.
        accelerators: Number of accelerators that the task needs.
    """

    payload: bytes = b""
    size: int = 0
    run_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class PlacedTask:
    """A task on its way from its owner to a home.

    Attributes:
        owner: Incarnation of the owner.
        budget_ms: Time left until the job's deadline when the message was sent.
        idempotent: Whether the task may run more than once.
        interactive: Whether a caller waits for it.
        attempt: Number of the attempt, counted by the owner from 1.
    """

    owner: Incarnation
    task: TaskId
    service: str
    team: str
    spec: TaskSpec
    budget_ms: int
    idempotent: bool = False
    interactive: bool = False
    attempt: int = 1


@attrs.frozen
class TaskStart:
    """A task on its way from a home to its agent.

    Attributes:
        owner: Incarnation of the owner.
        grant_epoch: Epoch of the grant whose slots the home uses.
        start_by_ms: Latest time to start the task, on the agent's clock.
        deadline_ms: Deadline of the job, on the agent's clock.
        version: Control version up to which the home had folded the log.
        idempotent: Whether the task may run more than once.
        attempt: Number of the attempt, counted by the owner from 1.
    """

    owner: Incarnation
    task: TaskId
    service: str
    spec: TaskSpec
    grant_epoch: int
    start_by_ms: int
    deadline_ms: int
    version: int = 0
    idempotent: bool = False
    attempt: int = 1


@attrs.frozen
class TaskResult:
    """The end of an attempt of a task.

    Attributes:
        owner: Incarnation of the owner.
        not_run: True only if this attempt has not started and never will.
        reason: Why the task was not completed.
        payload: Body of the upstream's answer.
        run_ms: Time on the upstream, measured by the agent.
        upstream: Name of the upstream.
        attempt: Number of the attempt, counted by the owner from 1.
    """

    owner: Incarnation
    task: TaskId
    status: TaskStatus
    not_run: bool = False
    reason: Reason = Reason.NONE
    payload: bytes = b""
    run_ms: int = 0
    upstream: str = ""
    attempt: int = 1


# The hash is cached because the tables of a home look up each task dozens of times.
@attrs.frozen(cache_hash=True)
class OwnedTask:
    """An attempt of a task, with the incarnation of its owner."""

    owner: Incarnation
    task: TaskId
    attempt: int = 1


@attrs.frozen
class CapacitySummary:
    """Capacity of a home for one service in one data centre.

    Attributes:
        upstreams: Number of upstreams.
        slots: Slots of these upstreams.
        free: Free slots of these upstreams.
        queued: Tasks of the service that wait at the home, beyond its free slots.
        speed: Mean learned speed of the slots in use, or `best_speed` if none is in
            use; 1.0 is the mean of the service.
        best_speed: Speed of the fastest upstream with a free slot; 0 if none is free.
        wait_ms: Expected wait of a new task for a slot.
        memory_mb: Memory of the upstream with the most memory.
        accelerators: Accelerators of the upstream with the most accelerators.
    """

    service: str
    data_centre: str
    upstreams: int
    slots: int
    free: int
    queued: int = 0
    speed: float = 1.0
    best_speed: float = 1.0
    wait_ms: int = 0
    memory_mb: int = 0
    accelerators: int = 0


@attrs.frozen
class TeamUsage:
    """Use of a team at one entry, for quotas and fair sharing.

    Attributes:
        running: Tasks that are placed on homes now.
        started: Tasks placed on homes since the entry started.
    """

    team: str
    running: int
    started: int


@attrs.frozen
class RosterEntry:
    """A live incarnation of an entry.

    Attributes:
        name: Name of the entry.
        number: Incarnation number, which is the offset of its `EntryJoined`.
        address: gRPC address, `IP:port`.
        leaving: Whether the entry is leaving and takes no new keys.
    """

    name: str
    number: int
    address: str
    data_centre: str
    leaving: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """The entry's incarnation."""
        return Incarnation(self.name, self.number)


@attrs.frozen
class LogRecord:
    """An encoded record of the control stream with its offset in the log."""

    offset: int
    body: bytes
