"""Stand-in for the platform's worker, driven by the caller's clock, without sockets.

It implements the published rules: orders with an older fencing token are refused, one
lease covers all runs, ends are numbered and listed until they are acknowledged, and the
run numbers of a task rise. It does not limit the load to its capacity.
"""

from __future__ import annotations

import attrs

from catkincross.peers import EndedRun, RunningTask
from catkincross.workers import (
    LeaseRenewal,
    LeaseRenewalReply,
    StartOutcome,
    StartRun,
    StopRun,
)

from .noted_ends import NotedEnd, NotedEnds

# Millicores, MB of memory and number of accelerators.
Capacity = tuple[int, int, int]
DEFAULT_CAPACITY: Capacity = (4_000, 8_192, 0)
# Time from the start of a deadly task to the crash, and from there to the next life of
# the worker, in milliseconds.
DEADLY_AFTER_MS = 30
DOWN_MS = 2_500
# Number of ends in one answer.
LISTED_ENDS = 500


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

    def stop(self, stopped_ms: int) -> None:
        """Let the run end as `stopped` at a time, unless it ends before."""
        if stopped_ms < self.ends_ms:
            self.ends_ms, self.how = stopped_ms, "stopped"


@attrs.define
class PlatformWorker:
    """A simulated worker; all times are those of the caller, in milliseconds.

    Attributes:
        instance: Identity of the worker.
        worker_incarnation: Incarnation; rises with each crash.
        lease_ms: Longest lease that the worker grants.
        capacity: Millicores, MB of memory and number of accelerators; it only shows
            in heartbeats, and orders beyond it are carried out.
        draining: Whether the worker is about to leave.
        run_ms: Duration of each run.
        end_as: How runs end after that time, `done` or `failed`.
        fail_all: Whether every run fails, 5 ms after its start.
        stop_takes_ms: Time that a stop takes; a run may end before it is over.
        loses_stops: Whether orders to stop a run get lost.
        deadly: Names of tasks that crash the worker 30 ms after their start.
        down_until_ms: When the worker is back after the crash by a deadly task.
        fence: Highest fencing token seen.
        lease_end_ms: End of the lease; runs that go on beyond it end as `lapsed`.
        running: Runs in progress by task.
        finished: Ends that have not been acknowledged.
        highest_run: Highest run number of each task that has ended or was stopped.
        last_end_number: Sequence number of the last end in this incarnation.
        acknowledged: Highest acknowledged sequence number of an end.
        run_events: Events as rows of time, event, task and run.
        capacities: Times at which the capacity has changed, with the new one.
        announced: Times at which an agent read a heartbeat, with its capacity.
        ends: Which ends count as noted.
    """

    instance: str = "w-1"
    worker_incarnation: int = 1
    lease_ms: int = 1_000
    capacity: Capacity = DEFAULT_CAPACITY
    draining: bool = False
    run_ms: int = 100
    end_as: str = "done"
    fail_all: bool = False
    stop_takes_ms: int = 0
    loses_stops: bool = False
    deadly: frozenset[str] = frozenset()
    down_until_ms: int = 0
    fence: int = 0
    lease_end_ms: int = 0
    running: dict[str, ActiveRun] = attrs.field(factory=dict)
    finished: list[EndedRun] = attrs.field(factory=list)
    highest_run: dict[str, int] = attrs.field(factory=dict)
    last_end_number: int = 0
    acknowledged: int = 0
    run_events: list[tuple[int, str, str, int]] = attrs.field(factory=list)
    capacities: list[tuple[int, Capacity]] = attrs.field(factory=list)
    announced: list[tuple[int, Capacity]] = attrs.field(factory=list)
    ends: NotedEnds = attrs.field(factory=NotedEnds)

    def resize(self, now_ms: int, capacity: Capacity) -> None:
        """Change the capacity; runs go on, and the next heartbeat shows it."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.capacities.append((now_ms, capacity))

    def _end_run(self, now_ms: int, active_run: ActiveRun, how: str) -> None:
        self.last_end_number += 1
        del self.running[active_run.task]
        self.highest_run[active_run.task] = max(
            self.highest_run.get(active_run.task, 0), active_run.run
        )
        self.finished.append(
            EndedRun(self.last_end_number, active_run.task, active_run.run, how)
        )
        self._record_end(now_ms, how, active_run.task, active_run.run)

    def _record_end(self, at_ms: int, how: str, task: str, run: int) -> None:
        self.run_events.append((at_ms, how, task, run))
        self.ends.add(self.last_end_number, NotedEnd(task, run, how, at_ms))

    def advance(self, now_ms: int) -> None:
        """End the runs that by `now_ms` are over or have outlived the lease."""
        if any(
            active_run.task in self.deadly
            and now_ms >= active_run.started_ms + DEADLY_AFTER_MS
            for active_run in self.running.values()
        ):
            self._lose_everything(now_ms)
            self.down_until_ms = now_ms + DOWN_MS
        for active_run in list(self.running.values()):
            if self.lease_end_ms <= now_ms and self.lease_end_ms < active_run.ends_ms:
                self._end_run(self.lease_end_ms, active_run, "lapsed")
            elif active_run.ends_ms <= now_ms:
                self._end_run(active_run.ends_ms, active_run, active_run.how)
        self._note_lapse(now_ms)

    def _note_lapse(self, now_ms: int) -> None:
        if self.lease_end_ms <= now_ms:
            self.ends.lapse()

    def start(self, now_ms: int, order: StartRun) -> StartOutcome:
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
        how = "failed" if self.fail_all else self.end_as
        ends_ms = now_ms + (5 if self.fail_all else self.run_ms)
        self.running[order.task] = ActiveRun(
            order.task, order.run, now_ms, ends_ms, how
        )
        self.run_events.append((now_ms, "start", order.task, order.run))
        return StartOutcome.STARTED

    def stop(self, now_ms: int, order: StopRun) -> None:
        """Carry out an order to stop a run; ignored if its token is too low."""
        self.advance(now_ms)
        if order.fence < self.fence or self.loses_stops:
            return
        active_run = self.running.get(order.task)
        if active_run is not None and active_run.run == order.run:
            active_run.stop(now_ms + self.stop_takes_ms)
            self.advance(now_ms)
        self.highest_run[order.task] = max(
            self.highest_run.get(order.task, 0), order.run
        )

    def renew_lease(
        self, now_ms: int, renewal: LeaseRenewal
    ) -> LeaseRenewalReply | None:
        """Renew the lease and list the runs; None if the token is too low."""
        self.advance(now_ms)
        if renewal.fence < self.fence:
            return None
        self.fence = renewal.fence
        if renewal.until_ms is not None:
            self._extend_lease(now_ms, renewal.until_ms)
        self.acknowledged = max(self.acknowledged, renewal.ack)
        self.ends.acknowledge(renewal.ack)
        self.finished = [end for end in self.finished if end.sequence > renewal.ack]
        running = tuple(
            RunningTask(
                active_run.task, active_run.run, percent=active_run.percent(now_ms)
            )
            for active_run in self.running.values()
        )
        return LeaseRenewalReply(
            self.worker_incarnation,
            now_ms,
            running,
            tuple(self.finished[:LISTED_ENDS]),
            ends_complete=len(self.finished) < LISTED_ENDS,
        )

    def _extend_lease(self, now_ms: int, until_ms: int) -> None:
        end_ms = min(until_ms, now_ms + self.lease_ms)
        self.lease_end_ms = max(self.lease_end_ms, end_ms)

    def crash(self, now_ms: int) -> None:
        """Crash: lose all runs and state, and begin a new incarnation."""
        self.advance(now_ms)
        self._lose_everything(now_ms)

    def is_down(self, now_ms: int) -> bool:
        """Whether the worker answers no calls, since a deadly task has crashed it."""
        return now_ms < self.down_until_ms

    def _lose_everything(self, now_ms: int) -> None:
        for active_run in self.running.values():
            self.run_events.append((now_ms, "crashed", active_run.task, active_run.run))
        self.running.clear()
        self.finished.clear()
        self.ends.lapse()
        self.highest_run.clear()
        self.last_end_number = self.acknowledged = self.fence = self.lease_end_ms = 0
        self.worker_incarnation += 1
