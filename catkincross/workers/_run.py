"""State of a run on the worker, and of the report of its crash."""

from __future__ import annotations

import attrs

from ..jobs import VOLATILE_SHARD
from ..peers import EndedRun, RunningTask


@attrs.define(eq=False)
class Run:
    """A run that is in progress on the worker or has been ordered there.

    Attributes:
        task: Name of the task.
        number: Number of the run.
        shard: Shard of the task's job.
        cpu: Reserved processor capacity in millicores; None while unknown.
        memory_mb: Reserved memory in MB.
        gpu: Number of reserved accelerators.
        fence: Fencing token of the start order.
        entry: Entry that ordered the run, or claimed it as one of its volatile jobs;
            empty for other runs that were found on the worker.
        incarnation: Incarnation of that entry's process.
        reported_to: Entries that were told of the orphaned run, with the incarnation of
            their process.
        expires_ms: When the agent stops the run unless the time is extended, for runs
            of volatile jobs and orphaned runs; 0 for other runs.
        confirmed_ms: When the worker first confirmed the run; None before that.
        start_unanswered: Whether the start order got no answer.
        stop_sent_ms: When the newest stop order was sent; None if none was sent.
        stop_deadline_ms: Time from which the worker's lease is not renewed while the
            run is in progress; None without such a limit.
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress, 0 to 100.
        exclusive: Whether no other run may start on the worker for a while.
        order: Number of the agent's order to the worker; 0 for a run found there.
        ordered_ms: When the start order was received; 0 for a run found on the worker.
        may_have_lapsed: Whether the agent was paused for so long that the worker's
            lease may have lapsed since the worker last listed the run.
        crashed_with: Number of runs, this one included, that the worker may have had
            when it crashed; 0 if it has not crashed under the run.
    """

    task: str
    number: int
    shard: int
    cpu: int | None = None
    memory_mb: int = 0
    gpu: int = 0
    fence: int = 0
    entry: str = ""
    incarnation: int = 0
    reported_to: set[tuple[str, int]] = attrs.field(factory=set)
    expires_ms: int = 0
    confirmed_ms: int | None = None
    start_unanswered: bool = False
    stop_sent_ms: int | None = None
    stop_deadline_ms: int | None = None
    checkpoint: str = ""
    percent: int = 0
    exclusive: bool = False
    order: int = 0
    ordered_ms: int = 0
    may_have_lapsed: bool = False
    crashed_with: int = 0

    @property
    def orphaned(self) -> bool:
        """Whether the run was found on the worker, and no entry has claimed it yet."""
        return self.cpu is None

    @property
    def entry_incarnation(self) -> int:
        """Incarnation of the entry that has the run's volatile job; 0 for others."""
        return self.incarnation if self.shard == VOLATILE_SHARD else 0

    @property
    def renewal_end_ms(self) -> int | None:
        """Time from which the worker's lease is not renewed while the run goes on.

        An expired run that is not being stopped yet ends with the lease at the latest.
        """
        if self.stop_deadline_ms is not None:
            return self.stop_deadline_ms
        return self.expires_ms or None


def running_task(run: Run) -> RunningTask:
    """Return what the entry of a run is told of it."""
    owned = run.shard == VOLATILE_SHARD and bool(run.entry)
    return RunningTask(run.task, run.number, run.checkpoint, run.percent, owned)


@attrs.frozen
class CrashReport:
    """A run that was lost in a crash of the worker, until the owner has recorded it.

    Attributes:
        ended: The end as the owner is told it.
        shard: Shard of the task's job.
        entry: Entry that ordered or claimed the run.
        incarnation: Incarnation of that entry's process.
        made_ms: When the agent noticed the crash.
    """

    ended: EndedRun
    shard: int
    entry: str
    incarnation: int
    made_ms: int
