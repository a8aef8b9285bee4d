"""HTTP API for client accounts and the platform's readiness probe."""

from __future__ import annotations

import asyncio
import math
import time
from typing import Any, Protocol

import orjson
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from ..jobs import JobSpec
from ..operations import Declarations, Queue
from ..peers import Answer
from ._jobs import InvalidJob, read_job, read_route

DEADLINE_HEADER = "x-catkincross-deadline-ms"
DEFAULT_DEADLINE_MS = 1_500
# Path on which the platform's load balancer probes whether a host accepts new
# connections.
READY_PATH = "/readiness"
REJECTION_STATUS = {"backlog": 429}
MS_PER_S = 1_000


class JobBackend(Protocol):
    """Interface of the entry daemon that carries out requests."""

    declarations: Declarations
    ready: bool

    async def submit(self, spec: JobSpec, timeout_ms: int) -> Answer:
        """Submit a job and wait for the answer for at most `timeout_ms`."""

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
        request = Request(scope, receive)
        try:
            response = await self._handle(request)
        except ClientDisconnect:
            return
        if not self.backend.ready:
            response.headers["connection"] = "close"
        await response(scope, receive, send)

    async def _handle(self, request: Request) -> Response:
        path = request.url.path
        if path == READY_PATH:
            return Response(status_code=200 if self.backend.ready else 503)
        declarations = self.backend.declarations
        if declarations.version < 0:
            return _rejection("no_configuration", MS_PER_S)
        host = request.headers.get("host", "").partition(":")[0]
        queue = declarations.queue_for(host, path)
        if queue is None:
            return _json_response({"error": "no such queue"}, 404)
        job_id = read_route(path, queue.path_prefix)
        started_s = time.monotonic()
        response = await self._handle_queue_request(request, queue, job_id)
        self.backend.log_answer(
            request.method,
            job_id,
            response.status_code,
            response.headers.get("x-reason", ""),
            took_ms=int((time.monotonic() - started_s) * MS_PER_S),
        )
        return response

    async def _handle_queue_request(
        self, request: Request, queue: Queue, job_id: str
    ) -> Response:
        timeout_ms = _read_timeout_ms(request)
        match request.method:
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
                return await self._submit(request, queue, job_id, timeout_ms)
            case _:
                return _json_response({"error": "method not allowed"}, 405)
        return _to_response(answer)

    async def _submit(
        self, request: Request, queue: Queue, job_id: str, timeout_ms: int
    ) -> Response:
        body = await request.body()
        if len(body) > self.backend.declarations.max_body_bytes:
            return _json_response({"error": "body too large"}, 413)
        spec = read_job(job_id, body, queue.policy)
        if isinstance(spec, InvalidJob):
            if spec.unsupported:
                return _rejection(f"unsupported: {spec.problem}", 0)
            return _json_response({"error": spec.problem}, 400)
        submission = asyncio.ensure_future(self.backend.submit(spec, timeout_ms))
        disconnect = asyncio.ensure_future(_wait_for_disconnect(request))
        try:
            await asyncio.wait(
                {submission, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect.cancel()
            if not submission.done():
                submission.cancel()
        if submission.cancelled() or not submission.done():
            raise ClientDisconnect
        return _to_response(submission.result())


async def _wait_for_disconnect(request: Request) -> None:
    """Return when the client account has closed its connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def _read_timeout_ms(request: Request) -> int:
    text = request.headers.get(DEADLINE_HEADER, "")
    return int(text) if text.isdigit() else DEFAULT_DEADLINE_MS


def _to_response(answer: Answer) -> Response:
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


def _rejection(reason: str, retry_after_ms: int) -> Response:
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


def _json_response(content: dict[str, Any], status: int = 200) -> Response:
    return Response(orjson.dumps(content), status, media_type="application/json")
