"""Inbox items that decision cores handle, and effects that they return."""

from __future__ import annotations

from typing import Any

import attrs

from ._messages import JobAnswer, LogRecord, Message, TaskSpec, TaskStart, TaskStatus
from ._records import Record

# Inbox of both roles


@attrs.frozen
class Received:
    """A message from another process.

    Attributes:
        sender: Process name, such as `entry/e1` or `agent/u3`.
        message: The message.
    """

    sender: str
    message: Message


@attrs.frozen
class Connected:
    """A stream to a process was opened.

    Attributes:
        process: Process name, such as `entry/e1`.
    """

    process: str


@attrs.frozen
class Disconnected:
    """The stream to a process has ended.

    Attributes:
        process: Process name, such as `entry/e1`.
        refused: Whether the address refuses connections, so no process listens there.
    """

    process: str
    refused: bool = False


@attrs.frozen
class LeaveRequested:
    """The process was asked to stop."""


# Inbox of an entry


@attrs.frozen
class JobSubmitted:
    """A caller submitted a job, with or without a key.

    Attributes:
        request_id: Number of the request, unique in this process.
        key: Job key, or an empty string for a request without a key.
        digest: Hash of the job's content.
        deadline_ms: Time until the deadline, in milliseconds from now.
        idempotent: Whether the tasks may run more than once.
        interactive: Whether a caller waits for the job.
    """

    request_id: int
    key: str
    digest: bytes
    team: str
    service: str
    tasks: list[TaskSpec]
    deadline_ms: int
    idempotent: bool = False
    interactive: bool = False


@attrs.frozen
class JobLookedUp:
    """A caller asks for the state of a job.

    Attributes:
        wait: Whether to answer only when the job has ended.
    """

    request_id: int
    key: str
    wait: bool = False


@attrs.frozen
class JobCancelRequested:
    """A caller asks to cancel a job."""

    request_id: int
    key: str


@attrs.frozen
class CallerGone:
    """The caller closed the connection of a request and no longer waits for it."""

    request_id: int


@attrs.frozen
class ChangeProposed:
    """An operator proposes a change of a resource.

    Attributes:
        record: The change, as the record to append.
    """

    request_id: int
    record: Record


@attrs.frozen
class LogRead:
    """A read of the control stream succeeded.

    Attributes:
        asked_ms: The entry's clock when the read was sent.
        records: Records by offset, from the one after the entry's version.
        tail: Offset of the last record of the stream.
    """

    asked_ms: int
    records: list[LogRecord]
    tail: int


@attrs.frozen
class LogGap:
    """The next records of the control stream have expired in the log.

    Attributes:
        first: Offset of the oldest record that the log still keeps.
    """

    first: int


@attrs.frozen
class LogUnreachable:
    """A read of the control stream failed."""


@attrs.frozen
class SnapshotRead:
    """The newest snapshot of the stream `snapshots`.

    Attributes:
        version: Control version of the snapshot; 0 if the stream has none.
        body: JSON form of the control state.
    """

    version: int
    body: bytes = b""


@attrs.frozen
class SnapshotEnded:
    """A `WriteSnapshot` has ended.

    Attributes:
        version: Control version of the snapshot.
        written: Whether it is certain that the stream holds the snapshot.
    """

    version: int
    written: bool


@attrs.frozen
class AppendEnded:
    """An append has ended.

    Attributes:
        offset: Offset of the record, or None if it was refused or the outcome is
            unknown.
        known: Whether the outcome is known; if not, the record may have been appended.
        reason: Why the record was refused, or why the outcome is unknown.
    """

    record_id: str
    offset: int | None
    known: bool
    reason: str = ""


# Inbox of an agent


@attrs.frozen
class UpstreamAnswered:
    """The upstream's answer to a task.

    Attributes:
        task_start: The start that was sent to the upstream.
        started: False only if the upstream cannot have received the task.
    """

    task_start: TaskStart
    status: TaskStatus
    payload: bytes = b""
    reason: str = ""
    started: bool = True


@attrs.frozen
class UpstreamAnnounced:
    """The upstream announced what it offers, at its start or after a change.

    Attributes:
        slots: Most tasks that the upstream runs at a time.
        connections: Most connections to the upstream.
        leaving: Whether the upstream is leaving and takes no new tasks.
    """

    slots: int
    connections: int
    leaving: bool = False


@attrs.frozen
class WorkerUsage:
    """A usage report of the worker, which lags behind its actual use.

    Attributes:
        cpu_permille: Processor use in thousandths.
    """

    memory_used_mb: int
    cpu_permille: int


# Effects


@attrs.frozen
class Send:
    """Send a message to a process.

    Attributes:
        to: Process name, such as `entry/e1` or `agent/u3`.
    """

    to: str
    message: Message


@attrs.frozen
class Append:
    """Append a record to the control stream, and post `AppendEnded`."""

    record: Record


@attrs.frozen
class WriteSnapshot:
    """Append a snapshot to the stream `snapshots`, and post `SnapshotEnded`.

    Attributes:
        version: Control version of the snapshot; stored beside the body.
        body: JSON form of the control state.
    """

    version: int
    body: bytes


@attrs.frozen
class ReadSnapshot:
    """Read the stream `snapshots`, and post `SnapshotRead`.

    The result is the snapshot with the highest version, wherever it is in the stream.
    If the log cannot be reached, `LogUnreachable` is posted instead.
    """


@attrs.frozen
class Reply:
    """Answer a caller's request."""

    request_id: int
    answer: JobAnswer


@attrs.frozen
class ChangeReply:
    """Answer an operator's change.

    Attributes:
        record_id: ID of the record of the change.
        outcome: `accepted`, `refused` or `unknown`.
        reason: Why the change was refused or its outcome is unknown.
        version: Offset of the record; 0 if it is not known to be in the log.
    """

    request_id: int
    record_id: str
    outcome: str
    reason: str = ""
    version: int = 0


@attrs.frozen
class Emit:
    """Write an event to the event log and count it in the metrics.

    Attributes:
        part: Part of the process that the event is about, the prefix of its name.
        name: Name of the event.
        fields: Details; values are strings, numbers or booleans.
    """

    part: str
    name: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class SetPeers:
    """Keep streams open to exactly these processes.

    Attributes:
        addresses: gRPC address, `IP:port`, by process name.
    """

    addresses: dict[str, str]


@attrs.frozen
class CallUpstream:
    """Send a task to the upstream, and post `UpstreamAnswered`."""

    start: TaskStart


@attrs.frozen
class AbortUpstream:
    """Abort the call of a task to the upstream."""

    start: TaskStart


@attrs.frozen
class Stop:
    """End the process; the core has nothing left to do."""

    reason: str


Effect = (
    Send
    | Append
    | WriteSnapshot
    | ReadSnapshot
    | Reply
    | ChangeReply
    | Emit
    | SetPeers
    | CallUpstream
    | AbortUpstream
    | Stop
)
