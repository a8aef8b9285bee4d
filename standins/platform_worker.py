"""Stand-in for the platform's worker, driven by the caller's clock, without sockets.

It implements the published rules: orders with an older fencing token are refused, one
lease covers all runs, ends are numbered and listed until they are acknowledged, and the
run numbers of a task rise. It does not limit the load to its capacity.
"""

from __future__ import annotations

import attrs

from catkincross.peers import EndedRun, RunningTask
from catkincross.workers import (
    CallStart,
    CallStop,
    HoldCall,
    HoldView,
    StartOutcome,
)


@attrs.define
class ActiveRun:
    """A run in progress.

    Attributes:
        task: Name of the task.
        run: Number of the run.
        started_ms: Time of the start.
        ends_ms: Time of the end if the lease lasts that long.
        how: How the run will end, `done` or `failed`.
    """

    task: str
    run: int
    started_ms: int
    ends_ms: int
    how: str = "done"

    def percent(self, now_ms: int) -> int:
        """Return the progress in percent, 0 to 100."""
        total_ms = max(self.ends_ms - self.started_ms, 1)
        return min(100, (now_ms - self.started_ms) * 100 // total_ms)


@attrs.define
class PlatformWorker:
    """A simulated worker; all times are those of the caller, in milliseconds.

    Attributes:
        worker: Identity of the worker.
        born: Incarnation; rises with each crash.
        lease_ms: Longest lease that the worker grants.
        run_ms: Duration of each run.
        fail_all: Whether every run fails, 5 ms after its start.
        fence: Highest fencing token seen.
        lease_end_ms: End of the lease; runs that go on beyond it end as `lapsed`.
        running: Runs in progress by task.
        finished: Ends that have not been acknowledged.
        highest_run: Highest run number of each task that has ended or was stopped.
        last_end_number: Number of the last end in this incarnation.
        acknowledged: Highest acknowledged number of an end.
        log: Events as rows of time, event, task and run.
    """

    worker: str = "w-1"
    born: int = 1
    lease_ms: int = 1_000
    run_ms: int = 100
    fail_all: bool = False
    fence: int = 0
    lease_end_ms: int = 0
    running: dict[str, ActiveRun] = attrs.field(factory=dict)
    finished: list[EndedRun] = attrs.field(factory=list)
    highest_run: dict[str, int] = attrs.field(factory=dict)
    last_end_number: int = 0
    acknowledged: int = 0
    log: list[tuple[int, str, str, int]] = attrs.field(factory=list)

    def _end_run(self, now_ms: int, row: ActiveRun, how: str) -> None:
        self.last_end_number += 1
        del self.running[row.task]
        self.highest_run[row.task] = max(self.highest_run.get(row.task, 0), row.run)
        self.finished.append(EndedRun(self.last_end_number, row.task, row.run, how))
        self.log.append((now_ms, how, row.task, row.run))

    def advance(self, now_ms: int) -> None:
        """End the runs that are over, or whose lease has expired, by `now_ms`."""
        for row in list(self.running.values()):
            if self.lease_end_ms <= now_ms and self.lease_end_ms < row.ends_ms:
                self._end_run(self.lease_end_ms, row, "lapsed")
            elif row.ends_ms <= now_ms:
                self._end_run(row.ends_ms, row, row.how)

    def start(self, now_ms: int, order: CallStart) -> StartOutcome:
        """Carry out an order to start a run."""
        self.advance(now_ms)
        if order.fence < self.fence:
            return StartOutcome.FENCED
        self.fence = order.fence
        self._extend_lease(now_ms, order.until_ms)
        if order.until_ms <= now_ms:
            return StartOutcome.LATE
        if order.run <= self.highest_run.get(order.task, 0):
            return StartOutcome.OLD
        how = "failed" if self.fail_all else "done"
        ends_ms = now_ms + (5 if self.fail_all else self.run_ms)
        self.running[order.task] = ActiveRun(
            order.task, order.run, now_ms, ends_ms, how
        )
        self.log.append((now_ms, "start", order.task, order.run))
        return StartOutcome.STARTED

    def stop(self, now_ms: int, order: CallStop) -> None:
        """Carry out an order to stop a run; ignored if its token is too low."""
        self.advance(now_ms)
        if order.fence < self.fence:
            return
        row = self.running.get(order.task)
        if row is not None and row.run == order.run:
            self._end_run(now_ms, row, "stopped")
        self.highest_run[order.task] = max(
            self.highest_run.get(order.task, 0), order.run
        )

    def hold(self, now_ms: int, call: HoldCall) -> HoldView | None:
        """Renew the lease and list the runs; None if the token is too low."""
        self.advance(now_ms)
        if call.fence < self.fence:
            return None
        self.fence = call.fence
        if call.until_ms is not None:
            self._extend_lease(now_ms, call.until_ms)
        self.acknowledged = max(self.acknowledged, call.ack)
        self.finished = [end for end in self.finished if end.number > call.ack]
        running = tuple(
            RunningTask(row.task, row.run, percent=row.percent(now_ms))
            for row in self.running.values()
        )
        return HoldView(self.born, now_ms, running, tuple(self.finished))

    def _extend_lease(self, now_ms: int, until_ms: int) -> None:
        end_ms = min(until_ms, now_ms + self.lease_ms)
        self.lease_end_ms = max(self.lease_end_ms, end_ms)

    def crash(self, now_ms: int) -> None:
        """Crash: lose all runs and state, and begin a new incarnation."""
        self.advance(now_ms)
        for row in self.running.values():
            self.log.append((now_ms, "crashed", row.task, row.run))
        self.running.clear()
        self.finished.clear()
        self.highest_run.clear()
        self.last_end_number = self.acknowledged = self.fence = self.lease_end_ms = 0
        self.born += 1
