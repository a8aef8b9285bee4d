"""HTTP stand-ins for the platform's store and worker, after their published protocol.

This module maps paths, bodies and status codes; `platform_store` and `platform_worker`
implement the behaviour. Only the calls that the dispatcher makes are served.
"""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

import attrs
import orjson
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from catkincross.owner import AppendOutcome
from catkincross.workers import LeaseRenewal, StartOutcome, StartRun, StopRun

from .platform_store import PlatformStore
from .platform_worker import PlatformWorker

PARTITIONS = 16
# Interval at which a read that waits looks for records.
LONG_POLL_LOOK_S = 0.01
# Interval at which a renewal that waits looks for an end.
END_POLL_S = 0.005
APPEND_RESPONSES = {
    AppendOutcome.APPENDED: (200, {}),
    AppendOutcome.NOT_APPENDED: (503, {}),
    AppendOutcome.FENCED: (409, {"reason": "fenced"}),
}
REJECTION_REASONS = {
    StartOutcome.FENCED: "fence",
    StartOutcome.OLD: "old",
    StartOutcome.LATE: "late",
    StartOutcome.NO_ROOM: "room",
}


def now_ms() -> int:
    """Return the stand-in's monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def json_response(content: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(orjson.dumps(content), status, media_type="application/json")


class StoreHttp:
    """HTTP stand-in for the store.

    Attributes:
        store: Partitions of the topic of jobs.
        declared: Keys and values in the topic of the operators' declarations, oldest
            first.
        declared_first: Offset of the oldest declaration that is kept; the newest value
            of each key is kept apart from that.
        members: Expiry time of each member of the group of owners, on the clock of
            `now_ms`; in the order of joining.
        generation: Generation of the group; rises when a member joins, leaves or
            expires.
    """

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.declared: list[tuple[str, bytes]] = []
        self.declared_first = 0
        self.members: dict[str, int] = {}
        self.generation = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/log-append", self.append, methods=["POST"]),
            Route("/log-read", self.read),
            Route("/log-newest", self.newest),
            Route("/log-join", self.join, methods=["POST"]),
            Route("/log-leave", self.leave, methods=["POST"]),
            Route("/log-owners", self.owners),
        ]
        return Starlette(routes=routes)

    async def append(self, request: Request) -> Response:
        """Append length-prefixed records to a partition of the topic of jobs."""
        query = request.query_params
        body = await request.body()
        records = []
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        partition, epoch = int(query["part"]), int(query["epoch"])
        outcome = self.store.append(partition, epoch, int(query["seq"]), tuple(records))
        status, fields = APPEND_RESPONSES[outcome]
        return json_response(fields, status)

    async def read(self, request: Request) -> Response:
        """Return records from an offset on, as soon as there are any."""
        query = request.query_params
        start = int(query["from"])
        end_ms = now_ms() + int(query.get("wait_ms", 0))
        while True:
            records, first = self._records(query["topic"], int(query["part"]))
            if start < first:
                return json_response({"first": first}, 410)
            if start < len(records) or now_ms() >= end_ms:
                break
            try:
                await asyncio.sleep(LONG_POLL_LOOK_S)
            except asyncio.CancelledError:
                # The stand-in stops.
                return json_response({}, 503)
        header = len(records).to_bytes(8, "big") + first.to_bytes(8, "big")
        body = b"".join(len(r).to_bytes(4, "big") + r for r in records[start:])
        return Response(header + body, media_type="application/octet-stream")

    def _records(self, topic: str, partition: int) -> tuple[list[bytes], int]:
        """Return all records of a partition, and the offset of the first one kept."""
        if topic != "keyed.op":
            return self.store.read(partition), 0
        records = [
            bytes([len(key)]) + key.encode() + value for key, value in self.declared
        ]
        return records, self.declared_first

    async def newest(self, request: Request) -> Response:
        """Return the newest declaration of each key that has a value."""
        newest = {
            key: {"key": key, "value": base64.b64encode(value), "offset": offset}
            for offset, (key, value) in enumerate(self.declared)
        }
        items = [
            {**item, "value": item["value"].decode()}
            for item in newest.values()
            if item["value"]
        ]
        end = len(self.declared)
        return json_response({"items": items, "truncated": False, "end": end})

    async def join(self, request: Request) -> Response:
        """Join the group of owners, or renew the membership."""
        body = await request.json()
        member = body["member"]
        self._drop_expired_members()
        if member not in self.members:
            self.generation += 1
        self.members[member] = now_ms() + body["ttl_ms"]
        parts = [["jobs", partition, 0] for partition in self._partitions_of(member)]
        return json_response(
            {"generation": self.generation, "ttl_ms": 1_000, "parts": parts}
        )

    async def leave(self, request: Request) -> Response:
        """Leave the group of owners."""
        member = (await request.json())["member"]
        if self.members.pop(member, None) is not None:
            self.generation += 1
        return json_response({})

    async def owners(self, request: Request) -> Response:
        """Return the member that owns each partition."""
        self._drop_expired_members()
        rows = [
            ["jobs", partition, member, 0]
            for member in self.members
            for partition in self._partitions_of(member)
        ]
        return json_response({"owners": rows})

    def _partitions_of(self, member: str) -> range:
        return range(list(self.members).index(member), PARTITIONS, len(self.members))

    def _drop_expired_members(self) -> None:
        for member, until_ms in list(self.members.items()):
            if until_ms < now_ms():
                del self.members[member]
                self.generation += 1


class WorkerHttp:
    """HTTP stand-in for a worker.

    Attributes:
        worker: The simulated worker.
    """

    def __init__(self, worker: PlatformWorker) -> None:
        self.worker = worker

    def app(self) -> Starlette:
        """Return the ASGI application."""
        routes = [
            Route("/run-start", self.start, methods=["POST"]),
            Route("/run-stop", self.stop, methods=["POST"]),
            Route("/hold", self.renew_lease, methods=["POST"]),
        ]
        return Starlette(routes=routes)

    async def start(self, request: Request) -> Response:
        """Carry out an order to start a run."""
        body = await request.json()
        order = StartRun(
            body["task"],
            body["run_id"],
            body["spec"],
            body.get("checkpoint", ""),
            body["until_ms"],
            body["fencing_token"],
        )
        outcome = self.worker.start(now_ms(), order)
        fields: dict[str, Any] = {
            "clock_ms": now_ms(),
            "born": self.worker.worker_incarnation,
        }
        if outcome is StartOutcome.STARTED:
            return json_response(fields)
        return json_response({**fields, "reason": REJECTION_REASONS[outcome]}, 409)

    async def stop(self, request: Request) -> Response:
        """Carry out an order to stop a run."""
        body = await request.json()
        order = StopRun(body["task"], body["run_id"], body["fencing_token"])
        self.worker.stop(now_ms(), order)
        return json_response(
            {"clock_ms": now_ms(), "born": self.worker.worker_incarnation}
        )

    async def renew_lease(self, request: Request) -> Response:
        """Renew the lease; return the running and the unacknowledged ended runs.

        Without an end the answer waits for one for the time that the call gives.
        """
        body = await request.json()
        renewal = LeaseRenewal(
            self.worker.instance,
            body["fencing_token"],
            body["ack_cursor"],
            body.get("until_ms"),
            0,
        )
        answer_ms = now_ms() + body.get("wait_ms", 0)
        reply = self.worker.renew_lease(now_ms(), renewal)
        while reply is not None and not reply.finished and now_ms() < answer_ms:
            await asyncio.sleep(END_POLL_S)
            look = attrs.evolve(renewal, fence=self.worker.fence, until_ms=None)
            reply = self.worker.renew_lease(now_ms(), look)
        if reply is None:
            return json_response({"clock_ms": now_ms(), "reason": "fence"}, 409)
        running = [[r.task, r.run, r.checkpoint, r.percent] for r in reply.running]
        finished = [
            [end.sequence, end.task, end.run, end.how, end.checkpoint]
            for end in reply.finished
        ]
        fields = {"clock_ms": reply.clock_ms, "born": reply.worker_incarnation}
        return json_response({**fields, "running": running, "finished": finished})
