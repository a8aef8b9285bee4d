"""Records of a shard in the log: what was accepted, what ended, who ran it."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import orjson

from ._spec import JobSpec

RECORD_KINDS: dict[str, type[Any]] = {}


def record(kind: str) -> Any:
    """Register a class as the content of records of a kind."""

    def add(cls: type[Any]) -> type[Any]:
        RECORD_KINDS[kind] = cls
        cls.kind = kind
        return cls

    return add


@attrs.frozen
class TaskEnd:
    """The end of one run of a task.

    Attributes:
        job_id: Job of the task.
        step: Number of the step.
        index: Number of the task in the step.
        run: Number of the run.
        how: `done`, `failed`, or another end that leaves the task to be run again.
        checkpoint: Newest checkpoint; empty for none.
    """

    job_id: str
    step: int
    index: int
    run: int
    how: str
    checkpoint: str = ""


@record("job")
@attrs.frozen
class JobAccepted:
    """A job was accepted, or is carried forward with its progress.

    Attributes:
        spec: The job.
        accepted_ms: Time of day of the acceptance, in milliseconds since 1970.
        epoch: Epoch of the shard in which it was accepted; earlier owners know no
            run of it.
        ends: Ends known when a record is carried forward.
        cancelled: Whether it was cancelled before it was carried forward.
    """

    spec: JobSpec
    accepted_ms: int
    epoch: int
    ends: tuple[TaskEnd, ...] = ()
    cancelled: bool = False


@record("ends")
@attrs.frozen
class TasksEnded:
    """Runs of tasks ended."""

    ends: tuple[TaskEnd, ...]


@record("cancel")
@attrs.frozen
class JobCancelled:
    """A job was cancelled."""

    job_id: str


@record("agents")
@attrs.frozen
class AgentsUsed:
    """Agents to which the shard's tasks may be sent from here on.

    Attributes:
        names: Names of the agents.
        replaces: Whether agents named by earlier records hold no task any more.
    """

    names: tuple[str, ...]
    replaces: bool = False


JobRecord = JobAccepted | TasksEnded | JobCancelled | AgentsUsed

_converter = cattrs.Converter(omit_if_default=True)


def encode_record(content: JobRecord) -> bytes:
    """Return a record's bytes."""
    return orjson.dumps([content.kind, _converter.unstructure(content)])


def decode_record(data: bytes) -> JobRecord:
    """Return the record in some bytes.

    Raises:
        ValueError: If the bytes hold no known record.
    """
    try:
        kind, body = orjson.loads(data)
        return _converter.structure(body, RECORD_KINDS[kind])
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError) as error:
        raise ValueError(f"unknown record: {data[:80]!r}") from error
