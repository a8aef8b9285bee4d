"""Stand-in of the platform's minion, after PROTOCOL.md.

The text `spec` of a job is JSON here: `ms` is how long a run works (0: until it is
stopped), `spread` by which share of that its tasks differ at most, and `how` how a run
ends (`done` or `failed`).
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

from .http import Server, call

TICK_S = 0.004
STOP_S = 0.01
MAX_LEASE_MS = 1_000
BEAT_S = 1.5
LISTED = 500


class Run:
    """A run at work."""

    def __init__(
        self, task: str, number: int, spec: dict[str, Any], now: float
    ) -> None:
        self.number = number
        self.how: str = spec["how"]
        share = random.Random(task).uniform(-1, 1) * spec.get("spread", 0.0)
        self.length_s: float = spec["ms"] * (1 + share) / 1_000
        self.began = now
        self.stop_at: float | None = None

    def percent(self, now: float) -> int:
        """Return the progress; a run that lasts is at work after 100 ms."""
        return min(100, int(100 * (now - self.began) / (self.length_s or 0.1)))


class Worker:
    """A minion; `lives` of it follow each other under one identity."""

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        note: Any,
        *,
        service: str,
        zone: str,
        cpu: int,
        kind: str,
        rack: str,
    ) -> None:
        self.name, self.address, self.control = name, address, control
        self.note = note
        self.fields = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "cold_left_ms": 0,
            "capacity": {"cpu": cpu, "mem_mb": 131_072},
            "labels": [kind, rack],
        }
        self.up = False
        self.server = Server(self._handle)
        self.tasks: list[asyncio.Task[None]] = []
        self.stop_s = STOP_S
        # Rows of time, what, task and number of the run; `what` is `start`, `stop`, how
        # a run ended, `acked` with that behind it, `lapse` or `crash`.
        self.events: list[tuple[float, str, str, int]] = []
        self._begin()

    def _begin(self) -> None:
        self.life_began = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.fence = 0
        self.lease_end = 0.0
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.last_end = 0
        self.beats = 0
        self.acked = 0
        self.leased = False
        self.noted_ends: dict[int, tuple[str, int, str]] = {}

    async def start(self) -> None:
        """Begin to answer and to send status reports."""
        self._begin()
        self.up = True
        await self.server.start(self.address)
        self.tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]

    def crash(self) -> list[str]:
        """End without a word; return the tasks whose runs are lost."""
        lost = [f"{task}#{run.number}" for task, run in self.runs.items()]
        self.note(f"{self.name}: crashes, with {len(lost)} runs {' '.join(lost[:6])}")
        self.up = False
        for task, run in self.runs.items():
            self._event("crash", task, run.number)
        self.runs.clear()
        self.server.stop()
        for task in self.tasks:
            task.cancel()
        return lost

    async def _beat(self) -> None:
        while True:
            self.beats += 1
            body = self.fields | {
                "state": "ready",
                "seq": self.beats,
                "born": self.born,
                "clock_ms": self._clock_ms(),
            }
            await call(self.control, "PUT", f"/instances/{self.name}", body, {}, 1.0)
            await asyncio.sleep(BEAT_S)

    def _event(self, what: str, task: str, run: int) -> None:
        self.events.append((time.monotonic(), what, task, run))

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self.life_began) * 1_000)

    async def _tick(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(TICK_S)

    def _advance(self) -> None:
        now = time.monotonic()
        if self.leased and now >= self.lease_end:
            self.leased = False
            self._event("lapse", "", 0)
            self.note(f"{self.name}: lease lapses, with {len(self.runs)} runs")
            for task in list(self.runs):
                self._end(task, "lapsed")
        for task, run in list(self.runs.items()):
            if run.length_s and now >= run.began + run.length_s:
                self._end(task, run.how)
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(task, "stopped")

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.noted_ends[self.last_end] = (task, run.number, how)
        self._event(how, task, run.number)
        self.note(f"{self.name}: end {self.last_end} {task} run {run.number} {how}")

    def _extend(self, until_ms: int | None) -> None:
        if until_ms is None:
            return
        left_s = min(until_ms - self._clock_ms(), MAX_LEASE_MS) / 1_000
        self.lease_end = max(self.lease_end, time.monotonic() + left_s)
        self.leased = self.leased or left_s > 0

    async def _handle(
        self, method: str, path: str, query: Any, headers: Any, content: bytes
    ) -> tuple[int, Any]:
        target = headers.get("x-catkincross-target-instance", "")
        if target not in ("", self.name):
            return 421, {}
        body = json.loads(content)
        self._advance()
        fields: dict[str, Any] = {"clock_ms": self._clock_ms(), "born": self.born}
        if body.get("fencing_token", 0) < self.fence:
            return 409, fields | {"reason": "fence"}
        self.fence = body.get("fencing_token", 0)
        match path:
            case "/run-start":
                status, more = self._start_run(body)
            case "/run-stop":
                status, more = self._stop_run(body)
            case "/hold":
                status, more = await self._hold(body)
            case _:
                return 404, {}
        return status, fields | {"clock_ms": self._clock_ms()} | more

    def _start_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], body["run_id"]
        if body["until_ms"] <= self._clock_ms():
            return 409, {"reason": "late"}
        self._extend(body["until_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, {}
        if number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        self.runs[task] = Run(task, number, spec, time.monotonic())
        self._event("start", task, number)
        self.note(f"{self.name}: start {task} run {number}")
        return 200, {}

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, number = body["task"], body["run_id"]
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            run.stop_at = time.monotonic() + self.stop_s
            self._event("stop", task, number)
            self.note(f"{self.name}: stop {task} run {number}")
        elif run is None:
            self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any]:
        self._extend(body.get("until_ms"))
        ack = body.get("ack_cursor", 0)
        if ack > self.acked:
            for number in range(self.acked + 1, ack + 1):
                if number in self.noted_ends:
                    task, run, how = self.noted_ends[number]
                    self._event(f"acked {how}", task, run)
                    self.note(f"{self.name}: acked end {number} {task} run {run} {how}")
            self.acked = ack
            self.ends = [end for end in self.ends if end[0] > ack]
        until = time.monotonic() + body.get("wait_ms", 0) / 1_000
        while not self.ends and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        now = time.monotonic()
        running = [
            [task, run.number, "", run.percent(now), 0]
            for task, run in self.runs.items()
        ]
        return 200, {"running": running, "finished": self.ends[:LISTED]}
