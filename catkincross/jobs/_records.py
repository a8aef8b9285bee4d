"""Records of a shard in the log: accepted and cancelled jobs, ended runs, agents."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from ._codec import from_fields, to_fields
from ._spec import JobSpec

RECORD_KINDS: dict[str, type[Any]] = {}


def record(kind: str) -> Any:
    """Register the decorated class as the content of records of a kind."""

    def register(cls: type[Any]) -> type[Any]:
        RECORD_KINDS[kind] = cls
        cls.kind = kind
        return cls

    return register


@attrs.frozen
class TaskEnd:
    """The end of one run of a task.

    Attributes:
        job_id: ID of the task's job.
        step: Number of the step, counted through all occurrences.
        index: Number of the task in the step.
        run: Number of the run.
        how: Outcome: `done`, `failed`, `crashed` if the worker crashed, or another one
            after which the task is to be run again.
        checkpoint: Newest checkpoint; empty for none.
        agent: Agent of the worker that crashed; empty for other outcomes.
        alone: Whether the worker that crashed had no other run.
        uncertain: Whether the run may not have started before the crash.
    """

    job_id: str
    step: int
    index: int
    run: int
    how: str
    checkpoint: str = ""
    agent: str = ""
    alone: bool = False
    uncertain: bool = False


@record("job")
@attrs.frozen
class JobAccepted:
    """A job was accepted, or is recorded again with its progress.

    A job is recorded again before its earlier records expire from the log.

    Attributes:
        spec: The job.
        accepted_ms: Time of acceptance, in milliseconds since 1970.
        epoch: Epoch of the shard at acceptance; owners in earlier epochs have started
            no run of the job.
        ends: Progress of the job when it was recorded again; empty at acceptance.
        cancelled: Whether the job had been cancelled when it was recorded again.
        recorded_ms: When the job was recorded again, in milliseconds since 1970; 0 for
            the time of acceptance.
    """

    spec: JobSpec
    accepted_ms: int
    epoch: int
    ends: tuple[TaskEnd, ...] = ()
    cancelled: bool = False
    recorded_ms: int = 0


@record("ends")
@attrs.frozen
class TasksEnded:
    """Runs of tasks ended.

    Attributes:
        ends: The ends.
    """

    ends: tuple[TaskEnd, ...]


@record("cancel")
@attrs.frozen
class JobCancelled:
    """A job was cancelled.

    Attributes:
        job_id: ID of the job.
    """

    job_id: str


@record("agents")
@attrs.frozen
class AgentsUsed:
    """Agents that may be given tasks of the shard after this record.

    The next owner waits for the reports of these agents.

    Attributes:
        names: Names of the agents.
        replaces: Whether this record replaces the names in earlier records, since the
            other agents hold no task of the shard any more; if not, it adds to them.
        recorded_ms: When the record was made, in milliseconds since 1970.
    """

    names: tuple[str, ...]
    replaces: bool = False
    recorded_ms: int = 0


JobRecord = JobAccepted | TasksEnded | JobCancelled | AgentsUsed


def encode_record(content: JobRecord) -> bytes:
    """Return a record as a JSON array of its kind and its fields.

    Fields that have their default value are left out.
    """
    return orjson.dumps([content.kind, to_fields(content)])


def split_record(content: JobRecord, max_bytes: int) -> list[JobRecord]:
    """Return a record as several ones, if it is too large for the log.

    The ends in the full record of a job follow it in records of their own. They are to
    be in the same append, since a reader that has only the first one takes the job for
    one without progress.

    Args:
        content: The record; one that cannot be divided is returned as it is.
        max_bytes: Largest size of an encoded record, in bytes.
    """
    if not isinstance(content, JobAccepted) or not content.ends:
        return [content]
    if len(encode_record(content)) <= max_bytes:
        return [content]
    chunks: list[list[TaskEnd]] = [[]]
    size = empty_size = len(encode_record(TasksEnded(())))
    for end in content.ends:
        # Besides its fields, an end takes a comma in the list.
        end_size = len(orjson.dumps(to_fields(end))) + 1
        if size + end_size > max_bytes and chunks[-1]:
            chunks.append([])
            size = empty_size
        chunks[-1].append(end)
        size += end_size
    ends = [TasksEnded(tuple(chunk)) for chunk in chunks]
    return [attrs.evolve(content, ends=()), *ends]


def decode_record(data: bytes) -> JobRecord:
    """Return the record that `encode_record` encoded.

    Raises:
        ValueError: If the data is malformed or its kind is unknown.
    """
    try:
        kind, body = orjson.loads(data)
        return from_fields(body, RECORD_KINDS[kind])
    except (KeyError, TypeError, ValueError) as error:
        raise ValueError(f"cannot decode job record: {data[:80]!r}") from error
