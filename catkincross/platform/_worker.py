"""Client of the worker on the agent's host, and the format of its heartbeats."""

from __future__ import annotations

from typing import Any

import orjson

from ..http11 import HttpClient
from ..peers import EndedRun, RunningTask
from ..workers import (
    LeaseRenewal,
    LeaseRenewalReply,
    Registration,
    StartOutcome,
    StartRun,
    StopRun,
)
from ._calls import NO_RESPONSE_ERRORS, json_object
from ._settings import MAX_LISTED_ENDS

# The worker is on the same host and answers within a few milliseconds. An order without
# a response may still be carried out seconds later. The limit leaves time to run a task
# elsewhere, as the shortest tasks take some 100 ms, and to repeat a lease renewal
# before the worker's lease of 1,000 ms ends.
SILENCE_S = 0.1
# The platform prices new connections to workers, so idle ones are kept between bursts.
KEEPALIVE_S = 60.0
# A worker may leave single orders unanswered, so one silent connection says nothing
# about the others. Calls end after 100 ms, so that the second one shows it soon.
SILENT_CONNECTIONS = 2
INSTANCE_HEADER = "X-Catkincross-Target-Instance"
# Outcomes of a rejected start order by the reason that the worker gives.
START_REJECTIONS = {
    "fence": StartOutcome.FENCED,
    "old": StartOutcome.OLD,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
}
WORKER_STATES = ("ready", "draining")


# Fields of every heartbeat; a heartbeat of another writer may lack them.
HEARTBEAT_TEXTS = ("service", "address", "zone", "version")
HEARTBEAT_NUMBERS = ("slots", "cold_left_ms", "seq")
# Numbers whose type is checked if they are there.
OPTIONAL_HEARTBEAT_NUMBERS = ("clock_ms", "born")


def read_heartbeat(worker: str, body: bytes) -> Registration | None:
    """Parse a heartbeat; None if a field is missing or of the wrong type or value."""
    try:
        fields = orjson.loads(body)
        capacity = fields["capacity"]
        numbers = [
            *(fields[name] for name in HEARTBEAT_NUMBERS),
            *(fields.get(name, 0) for name in OPTIONAL_HEARTBEAT_NUMBERS),
            capacity["cpu"],
            capacity["mem_mb"],
            capacity.get("gpu", 0),
        ]
        labels = fields.get("labels", [])
        texts = [fields[name] for name in HEARTBEAT_TEXTS]
        state = fields["state"]
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        return None
    if not isinstance(labels, list):
        return None
    if not all(isinstance(n, int) and not isinstance(n, bool) for n in numbers):
        return None
    if min(numbers) < 0:
        return None
    if not all(isinstance(text, str) for text in [*texts, *labels]):
        return None
    if state not in WORKER_STATES:
        return None
    return Registration(
        worker=worker,
        service=fields["service"],
        data_centre=fields["zone"],
        labels=tuple(labels),
        cpu=capacity["cpu"],
        memory_mb=capacity["mem_mb"],
        gpu=capacity.get("gpu", 0),
        draining=state == "draining",
        worker_incarnation=fields.get("born", 0),
        sequence=fields["seq"],
    )


class RenewalFenced(Exception):
    """The worker refused a lease renewal because it knows a higher fencing token."""


class WorkerClient(HttpClient):
    """HTTP client of the worker on this host.

    Args:
        address: `IP:port` of the worker.
    """

    def __init__(self, address: str) -> None:
        super().__init__(
            address, keepalive_s=KEEPALIVE_S, silent_limit=SILENT_CONNECTIONS
        )

    async def start(self, worker: str, order: StartRun) -> StartOutcome:
        """Order the worker to start a run.

        `UNANSWERED` means that the run may have been started, or may be later.
        """
        body: dict[str, Any] = {
            "task": order.task,
            "run_id": order.run,
            "spec": order.payload,
            "until_ms": order.until_ms,
            "fencing_token": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        try:
            status, answer = await self._call(worker, "/run-start", body)
        except NO_RESPONSE_ERRORS:
            return StartOutcome.UNANSWERED
        if status == 200:
            return StartOutcome.STARTED
        if status == 409:
            reason = json_object(answer).get("reason", "")
            return START_REJECTIONS.get(reason, StartOutcome.REFUSED)
        if status in (400, 421, 429, 503):
            return StartOutcome.REFUSED
        return StartOutcome.UNANSWERED

    async def stop(self, worker: str, order: StopRun) -> bool:
        """Order the worker to stop a run; return whether it accepted the order."""
        body = {
            "task": order.task,
            "run_id": order.run,
            "fencing_token": order.fence,
        }
        try:
            status, _ = await self._call(worker, "/run-stop", body)
        except NO_RESPONSE_ERRORS:
            return False
        return status == 200

    async def renew_lease(self, renewal: LeaseRenewal) -> LeaseRenewalReply | None:
        """Renew the worker's lease, and read its running and ended runs.

        Returns:
            The worker's answer; None without one, or if it cannot be parsed.

        Raises:
            RenewalFenced: If the fencing token is too low.
        """
        body: dict[str, Any] = {
            "fencing_token": renewal.fence,
            "ack_cursor": renewal.ack,
        }
        if renewal.until_ms is not None:
            body["until_ms"] = renewal.until_ms
        if renewal.wait_ms:
            body["wait_ms"] = renewal.wait_ms
        silence_s = SILENCE_S + renewal.wait_ms / 1_000
        try:
            status, answer = await self._call(renewal.worker, "/hold", body, silence_s)
        except NO_RESPONSE_ERRORS:
            return None
        if status == 409:
            raise RenewalFenced(json_object(answer).get("reason", ""))
        if status != 200:
            return None
        try:
            return _read_renewal_reply(json_object(answer))
        except (IndexError, KeyError, TypeError):
            # Treated as no answer, which the agent logs.
            return None

    async def _call(
        self,
        worker: str,
        path: str,
        body: dict[str, Any],
        silence_s: float = SILENCE_S,
    ) -> tuple[int, bytes]:
        headers = {"Content-Type": "application/json"}
        if worker:
            headers[INSTANCE_HEADER] = worker
        return await self.request(
            "POST",
            path,
            body=orjson.dumps(body),
            headers=headers,
            silence_s=silence_s,
        )


def _read_renewal_reply(fields: dict[str, Any]) -> LeaseRenewalReply:
    # A row of `running` may have a fifth item, tail latency or CPU in use, which is
    # ignored.
    running = tuple(
        RunningTask(row[0], row[1], row[2], row[3]) for row in fields["running"]
    )
    finished = tuple(
        EndedRun(row[0], row[1], row[2], row[3], row[4]) for row in fields["finished"]
    )
    return LeaseRenewalReply(
        fields.get("born", 1),
        fields["clock_ms"],
        running,
        finished,
        ends_complete=len(finished) < MAX_LISTED_ENDS,
    )
