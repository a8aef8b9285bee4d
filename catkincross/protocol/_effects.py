"""What goes into a decision core and what comes out of it."""

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
    """

    sender: str
    message: Message


@attrs.frozen
class Connected:
    """A stream to a process is open."""

    process: str


@attrs.frozen
class Disconnected:
    """The stream to a process has ended.

    Attributes:
        refused: The address refuses connections: no process listens there.
    """

    process: str
    refused: bool = False


@attrs.frozen
class LeaveRequested:
    """The process was asked to stop."""


# Inbox of an entry


@attrs.frozen
class JobSubmitted:
    """A caller submitted a job or a request.

    Attributes:
        request_id: Number of the request, unique in this process.
        key: Job key, or an empty string for a request without a key.
        digest: Hash of the content.
        deadline_ms: Time allowed, in milliseconds from now.
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
    """A caller asks for the state of a job, or waits for its end."""

    request_id: int
    key: str
    wait: bool = False


@attrs.frozen
class JobCancelRequested:
    """A caller cancels a job."""

    request_id: int
    key: str


@attrs.frozen
class CallerGone:
    """The caller's connection of a request has closed; nobody waits for it."""

    request_id: int


@attrs.frozen
class ChangeProposed:
    """An operator proposes a change of a resource."""

    request_id: int
    record: Record


@attrs.frozen
class LogRead:
    """A read of the control stream succeeded.

    Attributes:
        asked_ms: The entry's clock when the read was sent.
        tail: Offset of the last record of the stream.
    """

    asked_ms: int
    records: list[LogRecord]
    tail: int


@attrs.frozen
class LogGap:
    """Records that are needed have expired; `first` is the oldest kept."""

    first: int


@attrs.frozen
class LogUnreachable:
    """A read of the control stream failed."""


@attrs.frozen
class SnapshotRead:
    """The newest snapshot of the stream `snapshots`.

    Attributes:
        version: Version of the snapshot; 0 if the stream has none.
    """

    version: int
    body: bytes = b""


@attrs.frozen
class SnapshotEnded:
    """A `WriteSnapshot` has ended.

    Attributes:
        written: Whether it is certain that the stream holds the snapshot.
    """

    version: int
    written: bool


@attrs.frozen
class AppendEnded:
    """An append has ended.

    Attributes:
        offset: Offset of the record, or None if refused or not known.
        known: False if the record may have been appended.
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
        started: False only if the upstream cannot have received the task.
    """

    task_start: TaskStart
    status: TaskStatus
    payload: bytes = b""
    reason: str = ""
    started: bool = True


@attrs.frozen
class UpstreamAnnounced:
    """The upstream announced itself or changed what it offers."""

    slots: int
    connections: int
    leaving: bool = False


@attrs.frozen
class WorkerUsage:
    """A usage report of the worker; it lags behind."""

    memory_used_mb: int
    cpu_permille: int


# Effects


@attrs.frozen
class Send:
    """Send a message to a process."""

    to: str
    message: Message


@attrs.frozen
class Append:
    """Append a record to the control stream."""

    record: Record


@attrs.frozen
class WriteSnapshot:
    """Append a snapshot to the stream `snapshots`, and answer `SnapshotEnded`.

    Attributes:
        version: Version of the control state; stored beside the body.
        body: JSON form of the state.
    """

    version: int
    body: bytes


@attrs.frozen
class ReadSnapshot:
    """Read the stream `snapshots`, and answer `SnapshotRead`.

    The answer is the snapshot with the highest version, whatever its place in the
    stream. If the log cannot be reached the answer is `LogUnreachable`.
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
        outcome: accepted, refused or unknown.
    """

    request_id: int
    record_id: str
    outcome: str
    reason: str = ""
    version: int = 0


@attrs.frozen
class Emit:
    """An event for the time line and the log.

    Attributes:
        part: The part of the process that speaks, used as log prefix.
        name: What happened.
        fields: Details; values are strings, numbers or booleans.
    """

    part: str
    name: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class SetPeers:
    """Keep streams open to exactly these processes.

    Attributes:
        addresses: Network address by process name.
    """

    addresses: dict[str, str]


@attrs.frozen
class CallUpstream:
    """Send a task to the upstream."""

    start: TaskStart


@attrs.frozen
class AbortUpstream:
    """Stop the call of a task."""

    start: TaskStart


@attrs.frozen
class Stop:
    """The process may end now."""

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
