"""Messages between entries, and between an entry and the agents."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import orjson
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

MESSAGE_KINDS: dict[str, type[Any]] = {}


def message(cls: type[Any]) -> type[Any]:
    """Register a message class under its name."""
    MESSAGE_KINDS[cls.__name__] = cls
    return cls


@attrs.frozen
class RunningTask:
    """A run that a worker has.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress, 0 to 100.
    """

    task: str
    run: int
    checkpoint: str = ""
    percent: int = 0


@attrs.frozen
class EndedRun:
    """A run that ended on a worker.

    Attributes:
        number: Number of the end in the worker's life; 0 if the worker never listed it.
        task: Name of the task.
        run: Number of the run.
        how: How it ended.
        checkpoint: Newest checkpoint; empty for none.
        run_ms: Time from the start to the end as the agent saw it; 0 if not known.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str = ""
    run_ms: int = 0


@message
@attrs.frozen
class Greeting:
    """First message of a process on a link: who it is.

    Attributes:
        role: `entry` or `agent`.
        name: Name of the host's process.
        incarnation: Number that differs between two starts of the process.
        address: Address for links to an entry; empty for an agent.
        data_centre: Data centre of the process.
    """

    role: str
    name: str
    incarnation: int
    address: str = ""
    data_centre: str = ""


@message
@attrs.frozen
class WorkerProfile:
    """What an agent's worker is: first on a link, and again when it changes.

    Attributes:
        worker: Identity of the worker; empty while none is known.
        born: Start of the worker's life; 0 while its lists are not known.
        service: Service of the worker.
        data_centre: Data centre of the worker.
        labels: Labels of the worker: its kind and its rack.
        cpu: Capacity in thousandths of a core.
        memory_mb: Capacity in MB.
        gpu: Accelerators.
        offered_to: Number of entries that may send tasks and share the capacity.
    """

    worker: str
    born: int
    service: str
    data_centre: str
    labels: list[str]
    cpu: int
    memory_mb: int
    gpu: int
    offered_to: int = 1


@message
@attrs.frozen
class AgentState:
    """What an agent has to give, at intervals and when room changes.

    Attributes:
        clock_ms: The agent's clock as this was sent.
        cpu_free: Thousandths of a core that no run holds.
        memory_free_mb: MB that no run holds.
        gpu_free: Accelerators that no run holds.
        ready: Whether this entry may send tasks.
        done_order: Number of the last order of this entry that is counted here.
    """

    clock_ms: int
    cpu_free: int = 0
    memory_free_mb: int = 0
    gpu_free: int = 0
    ready: bool = False
    done_order: int = 0


@message
@attrs.frozen
class Lease:
    """An entry's right to start and keep tasks of its shards on an agent.

    Attributes:
        echo_ms: Clock of the agent in the newest `AgentState` that the entry has.
        valid_ms: How long after `echo_ms`, on the agent's clock, the right lasts.
        epochs: Pairs of shard and epoch.
        incarnation: Number of the entry's process, the epoch of its volatile jobs.
        volatile_ms: How long after `echo_ms` the right to its volatile jobs lasts.
        wants_room: Whether tasks of the entry wait for room, so that it is told of
            changes sooner.
    """

    echo_ms: int
    valid_ms: int
    epochs: list[list[int]]
    incarnation: int
    volatile_ms: int
    wants_room: bool = False


@message
@attrs.frozen
class Report:
    """All that an agent's worker has of a shard, as answer to its first lease.

    Attributes:
        shard: The shard.
        epoch: Epoch of the lease.
        running: Runs that the worker has.
        ended: Ends that are not in the log yet.
        born: Start of the worker's life.
        done_order: Number of the last order of this entry that is counted here; runs
            of later ones are not part of the report.
    """

    shard: int
    epoch: int
    running: list[RunningTask]
    ended: list[EndedRun]
    born: int
    done_order: int


@message
@attrs.frozen
class Start:
    """Order to start a run.

    Attributes:
        order: Number of the order on this link, rising from 1.
        shard: Shard of the job.
        epoch: Epoch of the owner.
        task: Name of the task.
        run: Number of the run.
        payload: Text for the task.
        cpu: Thousandths of a core.
        memory_mb: MB.
        gpu: Accelerators.
        checkpoint: Checkpoint to resume from; empty for none.
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


@message
@attrs.frozen
class Stop:
    """Order to stop a run."""

    shard: int
    epoch: int
    task: str
    run: int


@message
@attrs.frozen
class NotStarted:
    """A run was not started and will not be.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        reason: Why.
    """

    task: str
    run: int
    reason: str


@message
@attrs.frozen
class Ends:
    """Runs that ended on the worker, for the owner of their shard.

    Attributes:
        ended: The runs.
        born: Start of the worker's life in which they are numbered.
    """

    ended: list[EndedRun]
    born: int


@message
@attrs.frozen
class Progress:
    """Progress of the runs that this entry has on the worker."""

    running: list[RunningTask]


@message
@attrs.frozen
class Logged:
    """Ends that are in the log, so that the worker may forget them.

    Attributes:
        numbers: Numbers of the ends.
        born: Start of the worker's life in which they are numbered.
    """

    numbers: list[int]
    born: int


@message
@attrs.frozen
class Sizes:
    """What runs need that an agent found on its worker without knowing them.

    Attributes:
        tasks: Rows of task name, thousandths of a core, MB, accelerators, and whether
            the job is a volatile one of the entry that sends this.
    """

    tasks: list[list[Any]]


@message
@attrs.frozen
class Members:
    """Addresses of the entries that own shards, for agents."""

    addresses: list[str]


@message
@attrs.frozen
class Ask:
    """A request that one entry passes on to the owner of its job.

    Attributes:
        number: Number of the request on this link.
        verb: `submit`, `state` or `cancel`.
        job_id: The job.
        body: The encoded job for `submit`.
        limit_ms: How long the client account waits for the answer; 0 for unknown.
    """

    number: int
    verb: str
    job_id: str
    body: dict[str, Any] | None = None
    limit_ms: int = 0


@message
@attrs.frozen
class Answer:
    """The owner's answer to a request.

    Attributes:
        number: Number of the request.
        outcome: Name of the outcome.
        detail: State of the job, or the reason of a rejection.
        retry_after_ms: When a rejected client account should come back; 0 for unknown.
    """

    number: int
    outcome: str
    detail: str = ""
    retry_after_ms: int = 0


@message
@attrs.frozen
class VolatileJobs:
    """Volatile jobs that an entry has begun, and those that have ended there."""

    begun: list[str]
    ended: list[str]


@message
@attrs.frozen
class Backlog:
    """What waits at an entry.

    Attributes:
        counts: Accepted jobs of which no task has started, by queue.
        work: Work of tasks that wait, by service, in thousandths of a core times
            milliseconds.
    """

    counts: dict[str, int]
    work: dict[str, float]


def _make_converter() -> cattrs.Converter:
    """Return a converter that writes fields under their position instead of name.

    Bytes between data centres are priced, and the names would be most of a message.
    """
    converter = cattrs.Converter(prefer_attrib_converters=True)
    for cls in (RunningTask, EndedRun, *MESSAGE_KINDS.values()):
        names = [field.name for field in attrs.fields(attrs.resolve_types(cls))]
        keys: dict[str, Any] = {
            name: override(rename=str(place)) for place, name in enumerate(names)
        }
        write = make_dict_unstructure_fn(
            cls, converter, _cattrs_omit_if_default=True, **keys
        )
        converter.register_unstructure_hook(cls, write)
        converter.register_structure_hook(
            cls, make_dict_structure_fn(cls, converter, **keys)
        )
    return converter


_converter = _make_converter()


def encode_message(content: Any) -> bytes:
    """Return a message's bytes."""
    body = _converter.unstructure(content)
    return orjson.dumps([type(content).__name__, body])


def decode_message(data: bytes) -> Any:
    """Return the message in some bytes.

    Raises:
        ValueError: If the bytes hold no known message.
    """
    try:
        kind, body = orjson.loads(data)
        return _converter.structure(body, MESSAGE_KINDS[kind])
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
        raise ValueError(f"unknown message: {data[:80]!r}") from error
