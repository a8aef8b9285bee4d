"""HTTP API for client accounts and the platform's readiness probe."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any, Protocol

import orjson

from ..http11 import (
    BodyTooLarge,
    ClientDisconnected,
    HttpResponse,
    read_body,
    read_header,
    wait_for_disconnect,
)
from ..jobs import JobSpec
from ..operations import Declarations, Queue
from ..peers import Answer
from ._jobs import InvalidJob, read_job, read_route

DEADLINE_HEADER = b"x-catkincross-deadline-ms"
JSON_TYPE = "application/json"
DEFAULT_DEADLINE_MS = 1_500
# Path on which the platform's load balancer probes whether a host accepts new
# connections.
READY_PATH = "/readiness"
# Longest time for which a request waits for the declarations after a start, and the
# share of the client account's time limit that it may use up. After a loss of all
# power, a host with a link of 2 Mbit/s needs 1.5 s to read 1,200 queues.
MAX_DECLARATIONS_WAIT_MS = 2_000
MAX_DECLARATIONS_WAIT_SHARE = 0.5
REJECTION_STATUS = {"backlog": 429}
MS_PER_S = 1_000


class JobBackend(Protocol):
    """Interface of the entry daemon that carries out requests."""

    declarations: Declarations
    declarations_confirmed: bool
    ready: bool

    async def wait_for_declarations(self, timeout_ms: int) -> None:
        """Wait until declarations were read, unless the store gives no answer."""

    async def submit(
        self, spec: JobSpec, timeout_ms: int, *, waited_ms: int = 0
    ) -> Answer:
        """Submit a job and wait for the answer for at most `timeout_ms`.

        The request has used up `waited_ms` of that time.
        """

    async def job_state(self, job_id: str, timeout_ms: int) -> Answer:
        """Query a job's state and wait for the answer for at most `timeout_ms`."""

    async def cancel(self, job_id: str, timeout_ms: int) -> Answer:
        """Cancel a job and wait for the answer for at most `timeout_ms`."""

    def pending_jobs(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue with no task started yet."""

    def log_answer(
        self, verb: str, job_id: str, status: int, detail: str, *, took_ms: int
    ) -> None:
        """Log the answer to a request."""

    def log_unknown_queue(self, verb: str, host: str, path: str) -> None:
        """Log the rejection of a request whose queue is not declared."""


class JobApiApp:
    """ASGI application for requests of client accounts and the readiness probe.

    While the daemon is not ready, responses carry `Connection: close`, so that later
    requests use a new connection.

    Args:
        backend: Carries out the requests.
    """

    def __init__(self, backend: JobBackend) -> None:
        self.backend = backend

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        try:
            response = await self._handle(scope, receive)
        except ClientDisconnected:
            return
        if not self.backend.ready:
            response.headers["connection"] = "close"
        await response.send(send)

    async def _handle(self, scope: Any, receive: Any) -> HttpResponse:
        path = scope["path"]
        if path == READY_PATH:
            return HttpResponse(200 if self.backend.ready else 503)
        arrived_s = time.monotonic()
        if self.backend.declarations.version < 0:
            share_ms = int(_read_timeout_ms(scope) * MAX_DECLARATIONS_WAIT_SHARE)
            limit_ms = min(share_ms, MAX_DECLARATIONS_WAIT_MS)
            await self.backend.wait_for_declarations(limit_ms)
        declarations = self.backend.declarations
        if declarations.version < 0:
            return _rejection("no_configuration", MS_PER_S)
        host = read_header(scope, b"host").partition(":")[0]
        queue = declarations.queue_for(host, path)
        if queue is None:
            self.backend.log_unknown_queue(scope["method"], host, path)
            if not self.backend.declarations_confirmed:
                # The queue may have been added meanwhile.
                return _rejection("declarations_not_confirmed", MS_PER_S)
            return _json_response({"error": "no such queue"}, 404)
        job_id = read_route(path, queue.path_prefix)
        response = await self._handle_queue_request(
            scope, receive, queue, job_id, arrived_s
        )
        self.backend.log_answer(
            scope["method"],
            job_id,
            response.status,
            response.headers.get("x-reason", ""),
            took_ms=_elapsed_ms(arrived_s),
        )
        return response

    async def _handle_queue_request(
        self, scope: Any, receive: Any, queue: Queue, job_id: str, arrived_s: float
    ) -> HttpResponse:
        timeout_ms = _read_timeout_ms(scope)
        match scope["method"]:
            case "GET" if not job_id:
                count = self.backend.pending_jobs(queue.policy.queue)
                return _json_response({"pending": count})
            case "GET":
                answer = await self.backend.job_state(job_id, timeout_ms)
            case "DELETE":
                answer = await self.backend.cancel(job_id, timeout_ms)
            case "POST" if queue.needs_advice:
                # Workers of this queue refuse starts without a ticket of the
                # platform's adviser, so no task of the job would ever run.
                return _rejection("unsupported: advice", 0)
            case "POST":
                return await self._submit(receive, queue, job_id, timeout_ms, arrived_s)
            case _:
                return _json_response({"error": "method not allowed"}, 405)
        return _to_response(answer)

    async def _submit(
        self,
        receive: Any,
        queue: Queue,
        job_id: str,
        timeout_ms: int,
        arrived_s: float,
    ) -> HttpResponse:
        try:
            body = await read_body(receive, self.backend.declarations.max_body_bytes)
        except BodyTooLarge:
            return _json_response({"error": "body too large"}, 413)
        spec = read_job(job_id, body, queue.policy)
        if isinstance(spec, InvalidJob):
            if spec.unsupported:
                return _rejection(f"unsupported: {spec.problem}", 0)
            return _json_response({"error": spec.problem}, 400)
        submission = asyncio.ensure_future(
            self.backend.submit(spec, timeout_ms, waited_ms=_elapsed_ms(arrived_s))
        )
        disconnect = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {submission, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect.cancel()
            if not submission.done():
                submission.cancel()
        if submission.cancelled() or not submission.done():
            raise ClientDisconnected
        return _to_response(submission.result())


def _elapsed_ms(since_s: float) -> int:
    """Return the time since a reading of the monotonic clock, in milliseconds."""
    return int((time.monotonic() - since_s) * MS_PER_S)


def _read_timeout_ms(scope: Any) -> int:
    text = read_header(scope, DEADLINE_HEADER)
    # `isdigit` alone accepts characters such as "²", which `int` refuses.
    valid = text.isascii() and text.isdigit()
    return int(text) if valid else DEFAULT_DEADLINE_MS


def _to_response(answer: Answer) -> HttpResponse:
    match answer.outcome:
        case "accepted":
            return _json_response({})
        case "state":
            return _json_response({"state": answer.detail})
        case "cancelled":
            return _json_response({})
        case "gone":
            return _json_response({"error": "no such job"}, 410)
        case "rejected":
            return _rejection(answer.detail, answer.retry_after_ms)
        case _:
            return _json_response(
                {"error": "not known in time", "detail": answer.detail}, 504
            )


def _rejection(reason: str, retry_after_ms: int) -> HttpResponse:
    """Return a rejection, which guarantees that the job never runs.

    `retry_after_ms` is rounded up to whole seconds; 0 omits the header.
    """
    response = _json_response(
        {"error": reason, "not_run": True}, REJECTION_STATUS.get(reason, 503)
    )
    response.headers["x-reason"] = reason
    if retry_after_ms:
        response.headers["retry-after"] = str(math.ceil(retry_after_ms / MS_PER_S))
    return response


def _json_response(content: dict[str, Any], status: int = 200) -> HttpResponse:
    headers = {"content-type": JSON_TYPE}
    return HttpResponse(status, orjson.dumps(content), headers)
