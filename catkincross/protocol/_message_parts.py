"""Parts that messages between processes share."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..foundation._ids import Incarnation, TaskId

NO_EVIDENCE = -1


class TaskStatus(StrEnum):
    """How a task ended."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class JobState(StrEnum):
    """State of a job as its caller sees it."""

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
    # Refusals of the agent, in the order of its start rules.
    STALE_OWNER = "stale_owner"
    DUPLICATE = "duplicate"
    STALE_EPOCH = "stale_epoch"
    START_BY = "start_by"
    NOT_CURRENT = "not_current"
    DRAINING = "draining"
    NO_SLOT = "no_slot"
    NOT_REGISTERED = "not_registered"
    REVOKED = "revoked"
    # Ends of tasks and jobs.
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
        payload: Body sent to the upstream.
        size: Declared size, in bytes of work.
        run_ms: Declared run time; 0 if not declared.
        memory_mb: Declared memory; 0 if not declared.
        accelerators: Accelerators the task needs.
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
        budget_ms: Time left until the job's deadline when the message was sent.
        attempt: Counts the sends of the task by its owner, from 1.
        idempotent: Whether the task may run more than once.
        interactive: Whether a caller waits for it.
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
        grant_epoch: Epoch of the slots that the home uses.
        start_by_ms: Latest start, on the agent's clock.
        deadline_ms: Latest useful end, on the agent's clock.
        version: Control version that the home had folded.
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
    """The end of a task.

    Attributes:
        not_run: True only if this attempt has not started and never will.
        run_ms: Time on the upstream, measured by the agent.
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


# The tables of a home look up each task dozens of times.
@attrs.frozen(cache_hash=True)
class OwnedTask:
    """An attempt of a task, with the incarnation that owns it."""

    owner: Incarnation
    task: TaskId
    attempt: int = 1


@attrs.frozen
class CapacitySummary:
    """What a home can take for one service in one data centre.

    Attributes:
        free: Free slots.
        queued: Tasks waiting at the home.
        speed: Mean learned speed of the upstreams, 1.0 being the service's mean.
        best_speed: Speed of the fastest upstream with a free slot, 0 if none.
        wait_ms: Expected wait of a new task.
        memory_mb: Memory of the largest upstream.
        accelerators: Most accelerators of an upstream.
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
    """Use of a team at one entry since its start, for fair sharing."""

    team: str
    running: int
    started: int


@attrs.frozen
class RosterEntry:
    """An entry process on the roster."""

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
    """A record of the control stream with its offset; the body is JSON."""

    offset: int
    body: bytes
