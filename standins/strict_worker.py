"""Worker stand-in that follows the published protocol of workers line by line.

Beyond `platform_worker`, calls name the process that they are meant for, each process
has its own clock and numbers, stops take time, leases are measured on a clock that may
be slow, and an order for a run that is there already changes nothing. The caller moves
the calls, and decides which of them are lost, late or overtaken.
"""

from __future__ import annotations

from typing import Any

import attrs

from catkincross.peers import EndedRun

from .platform_worker import LISTED_ENDS, ActiveRun, PlatformWorker

Answer = tuple[int, dict[str, Any]]
OTHER_PROCESS = 421


@attrs.define(eq=False)
class StrictWorker(PlatformWorker):
    """A worker; all times are those of the caller, in milliseconds.

    Its incarnation is the start of its process on the wall clock, which may be wrong.

    Attributes:
        clock_rate: Speed of its steady clock, 0.98 to 1.
        wall_clock_error_ms: What its wall clock is ahead at the next start.
        unhealthy: Whether it answers start orders with 503.
        stalled: Whether its runs make no progress.
        keeps_ack: Whether an acknowledgement also applies to later ends with a number
            up to it; the protocol leaves it open.
        life_began_ms: Start of its process.
        heartbeats: Number of heartbeats of this process.
        active: Runs in progress by task and run number.
        checkpoint: Checkpoint of each run in its lists.
    """

    clock_rate: float = 1.0
    wall_clock_error_ms: int = 0
    unhealthy: bool = False
    stalled: bool = False
    keeps_ack: bool = False
    life_began_ms: int = 0
    heartbeats: int = 0
    active: dict[tuple[str, int], ActiveRun] = attrs.field(factory=dict)

    # Processes.

    def begin_life(self, now_ms: int, instance: str = "") -> None:
        """Start a new process, under the same identity unless another one is given."""
        self.instance = instance or self.instance
        self.life_began_ms = now_ms
        self.worker_incarnation = now_ms + self.wall_clock_error_ms
        self.down_until_ms = 0
        self.draining = False
        self.heartbeats = 0

    def end_life(self, now_ms: int, back_ms: int) -> None:
        """End the process; calls are refused for `back_ms`."""
        self.advance(now_ms)
        for run in self.active.values():
            self.run_events.append((now_ms, "crashed", run.task, run.run))
        self.active.clear()
        self.running.clear()
        self.finished.clear()
        self.ends.lapse()
        self.highest_run.clear()
        self.last_end_number = self.acknowledged = self.fence = self.lease_end_ms = 0
        self.down_until_ms = now_ms + back_ms

    def clock_ms(self, now_ms: int) -> int:
        """Return its steady clock, which begins with the process."""
        return int((now_ms - self.life_began_ms) * self.clock_rate)

    def heartbeat(self, now_ms: int, service: str) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.heartbeats += 1
        cpu, memory_mb, gpu = self.capacity
        return {
            "service": service,
            "address": "127.0.0.1:1",
            "zone": "perth",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": memory_mb, "gpu": gpu},
            "labels": ["a", "r1"],
            "clock_ms": self.clock_ms(now_ms),
            "seq": self.heartbeats,
            "born": self.worker_incarnation,
        }

    # Runs.

    def advance(self, now_ms: int) -> None:
        """End the runs that by `now_ms` are over or have outlived the lease."""
        for key, run in list(self.active.items()):
            at_ms, how = run.ends_ms, run.how
            if self.stalled and how != "stopped":
                run.ends_ms = at_ms = max(run.ends_ms, now_ms + 1)
            if self.lease_end_ms <= now_ms and self.lease_end_ms < at_ms:
                at_ms, how = self.lease_end_ms, "lapsed"
            if at_ms <= now_ms:
                self._end_active(key, at_ms, how)
        self._note_lapse(now_ms)

    def _end_active(self, key: tuple[str, int], at_ms: int, how: str) -> None:
        task, number = key
        del self.active[key]
        # `platform_model` looks for agents with runs there.
        if not any(other == task for other, _ in self.active):
            self.running.pop(task, None)
        self.highest_run[task] = max(self.highest_run.get(task, 0), number)
        self.last_end_number += 1
        if not self.keeps_ack or self.last_end_number > self.acknowledged:
            self.finished.append(EndedRun(self.last_end_number, task, number, how))
        self._record_end(at_ms, how, task, number)

    def _extend(self, now_ms: int, until_ms: int) -> None:
        """Extend the lease to a time on the worker's clock."""
        left_ms = min(until_ms - self.clock_ms(now_ms), self.lease_ms)
        end_ms = now_ms + int(left_ms / self.clock_rate)
        self.lease_end_ms = max(self.lease_end_ms, end_ms)

    # Calls.

    def call(self, now_ms: int, target: str, path: str, body: dict[str, Any]) -> Answer:
        """Carry out a call; return the status and the fields of the answer.

        Args:
            now_ms: Current time.
            target: Identity of the process that the call is meant for; empty for any.
            path: Path of the call.
            body: Fields of the call.
        """
        self.advance(now_ms)
        fields = {
            "clock_ms": self.clock_ms(now_ms),
            "born": self.worker_incarnation,
        }
        if target and target != self.instance:
            return OTHER_PROCESS, fields
        if path == "/run-start" and self.unhealthy:
            return 503, fields
        if body["fencing_token"] < self.fence:
            return 409, {**fields, "reason": "fence"}
        self.fence = body["fencing_token"]
        if path == "/run-start":
            reason = self._start_order(now_ms, body)
            return (409, {**fields, "reason": reason}) if reason else (200, fields)
        if path == "/run-stop":
            self._stop_order(now_ms, body["task"], body["run_id"])
            return 200, fields
        if "until_ms" in body:
            self._extend(now_ms, body["until_ms"])
        ack = body["ack_cursor"]
        self.acknowledged = max(self.acknowledged, ack)
        self.ends.acknowledge(ack)
        self.finished = [end for end in self.finished if end.sequence > ack]
        return 200, {**fields, **self.lists(now_ms)}

    def lists(self, now_ms: int) -> dict[str, Any]:
        """Return the running and the unacknowledged ended runs."""
        return {
            "running": [
                [run.task, run.run, "", run.percent(now_ms), 12]
                for run in self.active.values()
            ],
            "finished": [
                [end.sequence, end.task, end.run, end.how, ""]
                for end in self.finished[:LISTED_ENDS]
            ],
        }

    def _start_order(self, now_ms: int, body: dict[str, Any]) -> str:
        """Start a run; return the reason for a refusal, or an empty string."""
        task, number = body["task"], body["run_id"]
        late = body["until_ms"] <= self.clock_ms(now_ms)
        if not late:
            self._extend(now_ms, body["until_ms"])
        if (task, number) in self.active:
            return ""
        if number <= self.highest_run.get(task, 0):
            return "old"
        if late:
            return "late"
        how = "failed" if self.fail_all else self.end_as
        ends_ms = now_ms + (5 if self.fail_all else self.run_ms)
        run = ActiveRun(task, number, now_ms, ends_ms, how)
        self.active[task, number] = self.running[task] = run
        self.run_events.append((now_ms, "start", task, number))
        return ""

    def _stop_order(self, now_ms: int, task: str, number: int) -> None:
        self.highest_run[task] = max(self.highest_run.get(task, 0), number)
        run = self.active.get((task, number))
        if run is not None and not self.loses_stops:
            run.stop(now_ms + self.stop_takes_ms)
            self.advance(now_ms)
