"""Messages between entries, and between entries and agents.

Fields are encoded by position, so their order is part of the wire format.
"""

from __future__ import annotations

import operator
import typing
from typing import Any

import attrs
import msgspec

# Message classes by the name that stands for them on the wire.
MESSAGE_CLASSES: dict[str, type[Any]] = {}


def register_message(cls: type[Any]) -> type[Any]:
    """Register a message class under its name, and return it."""
    MESSAGE_CLASSES[cls.__name__] = cls
    return cls


@attrs.frozen
class RunningTask:
    """A run that is in progress on a worker.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint of the run; empty for none.
        percent: Progress of the run, 0 to 100.
    """

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 0


@attrs.frozen
class EndedRun:
    """A run that ended on a worker.

    Attributes:
        sequence: Sequence number of the end in the worker's incarnation; 0 if the
            worker never listed it.
        task: Name of the task.
        run: Number of the run.
        how: How the run ended, such as `done`, `failed` or `absent`.
        checkpoint: Newest checkpoint of the run; empty for none.
        run_ms: Run time that the agent observed, in milliseconds; 0 if not known.
    """

    sequence: int
    task: str
    run: int
    how: str
    checkpoint: str = ""
    run_ms: int = 0


@register_message
@attrs.frozen
class Greeting:
    """First message of a process on a link, by which it identifies itself.

    Attributes:
        role: `entry` or `agent`.
        name: Name of the process.
        incarnation: Number that differs between any two starts of the process.
        address: Address at which an entry accepts links, `IP:port`; empty for an agent.
        data_centre: Data centre of the process.
    """

    role: str
    name: str
    incarnation: int
    address: str = ""
    data_centre: str = ""


@register_message
@attrs.frozen
class WorkerProfile:
    """Identity and capacity of a worker; sent first on a link, and when they change.

    Attributes:
        worker: Identity of the worker; empty while no worker has registered.
        worker_incarnation: Start of the worker's incarnation, in milliseconds since
            1970; 0 while the agent has not read its lists of runs.
        service: Service that the worker serves.
        data_centre: Data centre of the worker.
        labels: Labels of the worker: its kind first, then its rack and others.
        cpu: Processor capacity in millicores.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
        offered_to: Number of entries that may send tasks and share the capacity.
    """

    worker: str
    worker_incarnation: int
    service: str
    data_centre: str
    labels: list[str]
    cpu: int
    memory_mb: int
    gpu: int
    offered_to: int = 1


@register_message
@attrs.frozen
class AgentState:
    """Free resources of an agent's worker; sent at intervals, and when they change.

    Attributes:
        clock_ms: The agent's clock when the message was sent.
        cpu_free: Free processor capacity in millicores.
        memory_free_mb: Free memory in MB.
        gpu_free: Number of free accelerators.
        ready: Whether the receiving entry may send tasks.
        acked_order: Number of the receiving entry's last start order that the free
            resources account for.
        shared: Whether other entries have lately sent orders to the worker, or have
            tasks waiting.
    """

    clock_ms: int
    cpu_free: int = 0
    memory_free_mb: int = 0
    gpu_free: int = 0
    ready: bool = False
    acked_order: int = 0
    shared: bool = False


@register_message
@attrs.frozen
class Lease:
    """An entry's right to start and keep runs of its shards' tasks on an agent.

    Attributes:
        echo_ms: Value of `clock_ms` in the newest `AgentState` from the agent.
        valid_ms: How long the lease lasts from `echo_ms`, on the agent's clock.
        shard_epochs: Pairs of shard and epoch to which the lease applies.
        incarnation: Incarnation of the entry, which is the epoch of its volatile jobs.
        volatile_ms: How long the lease on the entry's volatile jobs lasts from
            `echo_ms`, on the agent's clock.
        has_waiting_tasks: Whether tasks of the entry wait for free resources; the agent
            then reports changes sooner.
    """

    echo_ms: int
    valid_ms: int
    shard_epochs: list[list[int]]
    incarnation: int
    volatile_ms: int
    has_waiting_tasks: bool = False


@register_message
@attrs.frozen
class Report:
    """All runs of a shard on a worker; answers the first lease of an epoch on a link.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the lease.
        running: Runs of the shard that are in progress on the worker.
        ended: Runs of the shard that have ended and whose ends are not durable in the
            log yet.
        worker_incarnation: Start of the worker process, in milliseconds since 1970.
        acked_order: Number of the receiving entry's last start order that the report
            accounts for; runs of later orders are not part of it.
    """

    shard: int
    epoch: int
    running: list[RunningTask]
    ended: list[EndedRun]
    worker_incarnation: int
    acked_order: int


@register_message
@attrs.frozen
class Start:
    """Order to start a run.

    Attributes:
        order: Number of the start order on the link, increasing from 1.
        shard: Shard of the job.
        epoch: Epoch of the shard's owner.
        task: Name of the task.
        run: Number of the run.
        payload: Text that the task receives.
        cpu: Processor capacity of the run in millicores.
        memory_mb: Memory of the run in MB.
        gpu: Number of accelerators of the run.
        checkpoint: Checkpoint from which the run resumes; empty for none.
    """

    order: int
    shard: int
    epoch: int
    task: str
    run: int
    payload: str
    cpu: int
    memory_mb: int
    gpu: int
    checkpoint: str = ""


@register_message
@attrs.frozen
class Stop:
    """Order to stop a run; the fields are those of `Start`."""

    shard: int
    epoch: int
    task: str
    run: int


@register_message
@attrs.frozen
class NotStarted:
    """Notice that a run was not started, and will not be.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        reason: Why it was not started.
    """

    task: str
    run: int
    reason: str


@register_message
@attrs.frozen
class Ends:
    """Runs that have ended on a worker, sent to the owner of their shard.

    Attributes:
        ended: The ended runs.
        worker_incarnation: Incarnation of the worker in which the ends are numbered.
    """

    ended: list[EndedRun]
    worker_incarnation: int


@register_message
@attrs.frozen
class Progress:
    """Progress of the receiving entry's runs on an agent's worker."""

    running: list[RunningTask]


@register_message
@attrs.frozen
class Logged:
    """Acknowledgement of ends that are durable in the log; the worker may forget them.

    Attributes:
        sequences: Sequence numbers of the ends.
        worker_incarnation: Incarnation of the worker in which the ends are numbered.
    """

    sequences: list[int]
    worker_incarnation: int


@register_message
@attrs.frozen
class Sizes:
    """Resources of runs that an agent found on its worker and does not know.

    Attributes:
        tasks: Rows of task name, millicores, MB of memory, number of accelerators, and
            whether the job is a volatile job of the sending entry.
    """

    tasks: list[list[Any]]


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
            that waited for the answer to the request with this number.
        job_id: ID of the job.
        body: The encoded job for `submit`; None for the other verbs.
        timeout_ms: How long the client account waits for the answer; 0 if not known.
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
    """IDs of volatile jobs that an entry has begun, and of those that ended there."""

    begun: list[str]
    ended: list[str]


@register_message
@attrs.frozen
class Backlog:
    """Jobs and work that wait at an entry.

    Attributes:
        waiting_jobs: Number of accepted jobs without a started task, by queue.
        waiting_work: Work of waiting tasks by service, in millicore-milliseconds.
        wait_ms: Expected wait of a new job in milliseconds, by service; services are
            left out for which the entry takes no jobs from other entries.
    """

    waiting_jobs: dict[str, int]
    waiting_work: dict[str, float]
    wait_ms: dict[str, int] = attrs.field(factory=dict)


class MessageCodec:
    """Encodes the messages of one class as lists of their fields.

    Args:
        message_class: Class whose fields are encoded by position; a field may hold a
            list of parts, which are encoded in the same way.
    """

    def __init__(self, message_class: type[Any]) -> None:
        self.message_class = message_class
        fields = attrs.fields(attrs.resolve_types(message_class))
        self.values = operator.attrgetter(*(field.name for field in fields))
        self.single = len(fields) == 1
        # Codecs of the fields that hold parts, by position.
        self.part_codecs = {
            position: MessageCodec(part_class)
            for position, field in enumerate(fields)
            if (part_class := _part_class(field.type)) is not None
        }
        types = [
            list[self.part_codecs[position].row_type]
            if position in self.part_codecs
            else field.type
            for position, field in enumerate(fields)
        ]
        self.row_type: Any = tuple[tuple(types)]
        self.decoder = msgspec.msgpack.Decoder(self.row_type)

    def to_row(self, message: Any) -> tuple[Any, ...]:
        """Return the values of the fields in the order of their declaration."""
        row = (self.values(message),) if self.single else self.values(message)
        if not self.part_codecs:
            return row
        values = list(row)
        for position, codec in self.part_codecs.items():
            values[position] = [codec.to_row(part) for part in values[position]]
        return tuple(values)

    def from_row(self, row: tuple[Any, ...]) -> Any:
        """Return the message with these values."""
        if not self.part_codecs:
            return self.message_class(*row)
        values = list(row)
        for position, codec in self.part_codecs.items():
            values[position] = [codec.from_row(part) for part in values[position]]
        return self.message_class(*values)


def _part_class(field_type: Any) -> type[Any] | None:
    """Return the class of the parts in a field of type `list[...]`, None for others."""
    arguments = typing.get_args(field_type)
    if typing.get_origin(field_type) is list and attrs.has(arguments[0]):
        return arguments[0]
    return None


_codecs = {name: MessageCodec(cls) for name, cls in MESSAGE_CLASSES.items()}
_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def encode_message(message: Any) -> bytes:
    """Return the encoded form of a message: its class name and its fields."""
    name = type(message).__name__
    return _encoder.encode((name, _codecs[name].to_row(message)))


def decode_message(data: bytes | bytearray | memoryview) -> Any:
    """Return the message that `encode_message` has encoded.

    Raises:
        ValueError: If the data is not a message of a known class.
    """
    try:
        name, row = _frame_decoder.decode(data)
        codec = _codecs[name]
        return codec.from_row(codec.decoder.decode(row))
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise ValueError(f"cannot decode message: {bytes(data[:80])!r}") from error
