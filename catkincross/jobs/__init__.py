"""Jobs: specification, progress, and their records in the log."""

from __future__ import annotations

from ._codec import from_fields, to_fields
from ._job import Job, JobState, Task, TaskState
from ._records import (
    AgentsUsed,
    JobAccepted,
    JobCancelled,
    JobRecord,
    TaskEnd,
    TasksEnded,
    decode_record,
    encode_record,
)
from ._spec import VOLATILE_SHARD, JobSpec, QueuePolicy, Schedule, Step, shard_of

__all__ = [
    "VOLATILE_SHARD",
    "AgentsUsed",
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
    "to_fields",
]
