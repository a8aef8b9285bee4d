"""Jobs: specification, progress, and their records in the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..foundation._lazy_exports import lazy_exports

if TYPE_CHECKING:
    from ._append_outcome import AppendOutcome
    from ._codec import from_fields, to_fields
    from ._crashes import Crash
    from ._job import Job, JobState, Task, TaskState
    from ._record_limit import DEFAULT_RECORD_BYTES
    from ._records import (
        AgentsUsed,
        JobAccepted,
        JobCancelled,
        JobRecord,
        TaskEnd,
        TasksEnded,
        decode_record,
        encode_record,
        split_record,
    )
    from ._spec import VOLATILE_SHARD, JobSpec, QueuePolicy, Schedule, Step, shard_of

__all__ = [
    "DEFAULT_RECORD_BYTES",
    "VOLATILE_SHARD",
    "AgentsUsed",
    "AppendOutcome",
    "Crash",
    "Job",
    "JobAccepted",
    "JobCancelled",
    "JobRecord",
    "JobSpec",
    "JobState",
    "QueuePolicy",
    "Schedule",
    "Step",
    "Task",
    "TaskEnd",
    "TaskState",
    "TasksEnded",
    "decode_record",
    "encode_record",
    "from_fields",
    "shard_of",
    "split_record",
    "to_fields",
]

# Module of each public name.
MODULES = {
    "AgentsUsed": "_records",
    "AppendOutcome": "_append_outcome",
    "Crash": "_crashes",
    "DEFAULT_RECORD_BYTES": "_record_limit",
    "Job": "_job",
    "JobAccepted": "_records",
    "JobCancelled": "_records",
    "JobRecord": "_records",
    "JobSpec": "_spec",
    "JobState": "_job",
    "QueuePolicy": "_spec",
    "Schedule": "_spec",
    "Step": "_spec",
    "Task": "_job",
    "TaskEnd": "_records",
    "TaskState": "_job",
    "TasksEnded": "_records",
    "VOLATILE_SHARD": "_spec",
    "decode_record": "_records",
    "encode_record": "_records",
    "from_fields": "_codec",
    "shard_of": "_spec",
    "split_record": "_records",
    "to_fields": "_codec",
}

__getattr__ = lazy_exports(__name__, MODULES)
