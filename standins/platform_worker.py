"""Stand-in of the platform's worker, in virtual time and without sockets.

It keeps the published rules: fencing tokens, one lease for all runs, numbered ends that
stay until they are acknowledged, runs that must rise. It does not guard its capacity.
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
    """A run in progress."""

    task: str
    run: int
    started_ms: int
    ends_ms: int
    how: str = "done"

    def percent(self, now_ms: int) -> int:
        """Return the progress, 0 to 100."""
        total_ms = max(self.ends_ms - self.started_ms, 1)
        return min(100, (now_ms - self.started_ms) * 100 // total_ms)


@attrs.define
class PlatformWorker:
    """One worker.

    Attributes:
        worker: Identity.
        born: Start of its life.
        lease_ms: Longest lease.
        run_ms: How long a task takes.
        fail_all: Whether every run fails at once.
        log: Rows of time, what happened, task and run.
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
        """End what has ended by now."""
        for row in list(self.running.values()):
            if self.lease_end_ms <= now_ms and self.lease_end_ms < row.ends_ms:
                self._end_run(self.lease_end_ms, row, "lapsed")
            elif row.ends_ms <= now_ms:
                self._end_run(row.ends_ms, row, row.how)

    def start(self, now_ms: int, order: CallStart) -> StartOutcome:
        """Carry out an order to start."""
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
        """Carry out an order to stop."""
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
        """Answer a hold; None for a token that is too low."""
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
        """Lose everything and begin another life."""
        self.advance(now_ms)
        for row in self.running.values():
            self.log.append((now_ms, "crashed", row.task, row.run))
        self.running.clear()
        self.finished.clear()
        self.highest_run.clear()
        self.last_end_number = self.acknowledged = self.fence = self.lease_end_ms = 0
        self.born += 1
