"""Stand-in of a minion (PROTOCOL.md)."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

from common import HEARTBEAT_S, SERVICE, Answer, Server, body_of, call, now_ms


class Worker:
    """A minion: runs tasks under a lease, and lists their ends."""

    def __init__(
        self,
        case: Any,
        name: str,
        zone: str,
        capacity: dict[str, int],
        work_ms: Callable[[str], int],
    ) -> None:
        self.case = case
        self.name, self.zone, self.capacity = name, zone, capacity
        self.work_ms = work_ms
        self.server = Server(self.handle)
        self.born = time.time_ns() // 1_000_000
        self.alive = True
        self.fence = 0
        self.lease_until = 0
        self.running: dict[str, dict[str, Any]] = {}
        self.finished: list[list[Any]] = []
        self.ended: list[dict[str, Any]] = []
        # Ends of earlier lives.
        self.past: list[dict[str, Any]] = []
        self.highest: dict[str, int] = {}
        self.last_end = self.cursor = self.sequence = 0
        self.end_listed = asyncio.Event()
        self.control = ""
        self.holds = 0
        self.labels = ["a"]

    async def beat(self) -> None:
        """Send status reports to the agent until the worker is lost."""
        while self.alive:
            self.sequence += 1
            fields = {
                "service": SERVICE,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": [*self.labels, f"r-{self.zone}"],
                "clock_ms": now_ms(),
                "seq": self.sequence,
                "born": self.born,
            }
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await call(self.control, "PUT", f"/instances/{self.name}", fields, 1.0)
            await asyncio.sleep(HEARTBEAT_S if self.sequence > 3 else 0.5)

    async def tick(self) -> None:
        """End the runs whose work is done, and all when the lease lapses."""
        while self.alive:
            await asyncio.sleep(0.005)
            at = now_ms()
            if self.lease_until and at >= self.lease_until:
                self.lease_until = 0
                for end in self.ended:
                    # An end that is acknowledged after a lapse is never taken note of.
                    end["lapsed"] = end["lapsed"] or not end["noted"]
                for run in list(self.running.values()):
                    if self.running.get(run["task"]) is run:
                        self._end(run, "lapsed")
            for run in list(self.running.values()):
                if at >= run["ends"] and self.running.get(run["task"]) is run:
                    self._end(run, "done")

    def _end(self, run: dict[str, Any], how: str) -> None:
        self.last_end += 1
        del self.running[run["task"]]
        self.highest[run["task"]] = max(self.highest.get(run["task"], 0), run["run"])
        self.finished.append([self.last_end, run["task"], run["run"], how, ""])
        self.ended.append(
            {
                "n": self.last_end,
                "task": run["task"],
                "run": run["run"],
                "how": how,
                "at": now_ms(),
                "noted": 0,
                "lapsed": False,
                "worker": self.name,
            }
        )
        self.case.event(f"{self.name} {how} {run['task']} run {run['run']}")
        self.end_listed.set()

    def lose(self) -> None:
        """Be lost for good: nothing is said, nothing runs any more."""
        self.alive = False
        self.server.close()
        for run in list(self.running.values()):
            self.case.event(f"{self.name} lost {run['task']} run {run['run']}")
            self.case.lost.append((now_ms(), run["task"], run["run"], self.name))
        self.running.clear()

    async def crash(self, down_s: float) -> None:
        """Crash, and start again at the same address with nothing known of before."""
        self.lose()
        await asyncio.sleep(down_s)
        self.running, self.finished, self.highest = {}, [], {}
        self.past += self.ended
        self.ended = []
        self.fence = self.lease_until = 0
        self.last_end = self.cursor = self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.alive = True
        host, _, port = self.server.address.rpartition(":")
        await self.server.start(host, int(port))
        self.case.event(f"{self.name} is back")
        self.case.background.append(asyncio.create_task(self.beat()))
        self.case.background.append(asyncio.create_task(self.tick()))

    def _extend(self, until: int | None) -> None:
        if until is not None:
            limit = now_ms() + 1_000
            self.lease_until = max(self.lease_until, min(until, limit))

    def _fields(self, **more: Any) -> bytes:
        return body_of({"clock_ms": now_ms(), "born": self.born, **more})

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if headers.get("x-catkincross-target-instance", self.name) != self.name:
            return 421, b""
        fields = json.loads(body)
        if fields.get("fencing_token", 0) < self.fence:
            return 409, self._fields(reason="fence")
        self.fence = fields.get("fencing_token", 0)
        match target:
            case "/run-start":
                return self._start(fields)
            case "/run-stop":
                return self._stop(fields)
            case "/hold":
                return await self._hold(fields)
        return 404, b""

    def _start(self, fields: dict[str, Any]) -> Answer:
        task, number = fields["task"], fields["run_id"]
        self._extend(fields["until_ms"])
        active = self.running.get(task)
        if active is not None and active["run"] == number:
            return 200, self._fields()
        if fields["until_ms"] <= now_ms():
            return 409, self._fields(reason="late")
        if active is not None or number <= self.highest.get(task, 0):
            return 409, self._fields(reason="old")
        at = now_ms()
        self.running[task] = {
            "task": task,
            "run": number,
            "at": at,
            "ends": at + self.work_ms(task),
        }
        self.case.starts.append((at, task, number, self.name))
        self.case.event(f"{self.name} start {task} run {number}")
        return 200, self._fields()

    def _stop(self, fields: dict[str, Any]) -> Answer:
        task, number = fields["task"], fields["run_id"]
        active = self.running.get(task)
        if active is not None and active["run"] == number:
            self._end(active, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, self._fields()

    async def _hold(self, fields: dict[str, Any]) -> Answer:
        self.holds += 1
        self._extend(fields.get("until_ms"))
        self._acknowledge(fields["ack_cursor"])
        wait_s = fields.get("wait_ms", 0) / 1_000
        if wait_s and not self.finished:
            self.end_listed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.end_listed.wait(), wait_s)
        if not self.alive:
            return None
        at = now_ms()
        running = [
            [r["task"], r["run"], "", self._percent(r, at)]
            for r in self.running.values()
        ]
        # The others are returned again, 500 at a time.
        return 200, self._fields(running=running, finished=self.finished[:500])

    @staticmethod
    def _percent(run: dict[str, Any], at: int) -> int:
        total = max(run["ends"] - run["at"], 1)
        return min(99, (at - run["at"]) * 100 // total)

    def _acknowledge(self, cursor: int) -> None:
        if cursor <= self.cursor:
            return
        for end in self.ended[self.cursor : cursor]:
            end["noted"] = now_ms()
        self.cursor = cursor
        self.finished = [end for end in self.finished if end[0] > cursor]
