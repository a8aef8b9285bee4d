"""HTTP API of the callers: jobs and single requests."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import Any

import attrs
from returns.result import Failure, Success
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..foundation._ids import job_key
from ..foundation._validation import Problem
from ..protocol._effects import JobCancelRequested, JobLookedUp, JobSubmitted
from ..protocol._messages import JobAnswer, JobState, Reason, Truth
from ..settings._settings import EntrySettings
from ._gateway import EntryGateway
from ._http_answers import (
    JSON_LINES,
    RETRY_AFTER_MS,
    HttpReason,
    bad_input,
    parse_json,
    quiet_disconnect,
    read_body,
    refusal,
    unless_disconnected,
    whole_number,
)
from ._job_bodies import (
    BadSubmission,
    JobBody,
    RequestBody,
    answer_document,
    read_submission,
    result_document,
    shown_truth,
)

# Time beyond a job's deadline for its final answer to reach the arrival entry.
ANSWER_GRACE_MS = 2_000
LOOKUP_MS = 2_000
CANCEL_MS = 5_000
CHUNK_BYTES = 65_536

LIMIT_REASONS = {Reason.QUOTA}
DEADLINE_REASONS = {Reason.DEADLINE, Reason.DEADLINE_TOO_SHORT}


class JobApi:
    """Routes of jobs and requests.

    Args:
        gateway: The running entry.
        settings: The entry's settings.
    """

    def __init__(self, gateway: EntryGateway, settings: EntrySettings) -> None:
        self.gateway = gateway
        self.settings = settings
        self.waiting = 0

    def routes(self) -> list[Route]:
        """Return the routes for starlette."""
        job = "/v1/jobs/{team}/{key:path}"
        return [
            Route("/v1/jobs", quiet_disconnect(self.submit), methods=["POST"]),
            Route("/v1/requests", quiet_disconnect(self.request), methods=["POST"]),
            Route(job, quiet_disconnect(self.look_up), methods=["GET"]),
            Route(job, quiet_disconnect(self.cancel), methods=["DELETE"]),
        ]

    async def submit(self, request: Request) -> Response:
        """Submit a job and answer its end, or its state after `wait` milliseconds."""
        key = request.headers.get("idempotency-key", "")
        if not key:
            problem = Problem(("Idempotency-Key",), "is missing; the header is needed")
            return bad_input(problem)
        return await self._submit(request, JobBody, key)

    async def request(self, request: Request) -> Response:
        """Run one request and answer its result."""
        key = request.headers.get("idempotency-key", "")
        return await self._submit(request, RequestBody, key)

    async def _submit(self, request: Request, cls: type, key: str) -> Response:
        body = await read_body(request, self.settings.http.max_body_bytes)
        if body is None:
            limit = self.settings.http.max_body_bytes
            detail = f"the body has more than {limit} bytes"
            return _refused_submission(413, HttpReason.TOO_LARGE, detail, key)
        settings = self.settings.jobs
        parsed = parse_json(body).alt(BadSubmission)
        read = parsed.bind(
            lambda data: read_submission(cls, data, key=key, settings=settings)
        )
        match read, whole_number(request, "wait", settings.max_deadline_ms):
            case Success(job), Success(wait_ms):
                return await self._run(request, job, wait_ms)
            case Failure(bad), _:
                return _bad_submission(bad, key)
            case _, Failure(problem):
                return _bad_submission(BadSubmission(problem, never_valid=False), key)
        raise AssertionError("a result is a success or a failure")

    async def _run(self, request: Request, job: JobSubmitted, wait_ms: int) -> Response:
        if self.waiting >= self.settings.http.max_waiting:
            return self._too_many(job.key)
        timeout_ms = min(wait_ms, job.deadline_ms + ANSWER_GRACE_MS)
        answer = await self._request_core(
            request, lambda number: attrs.evolve(job, request_id=number), timeout_ms
        )
        if answer is not None:
            return self._answer(request, answer)
        if not job.key:
            detail = "no answer came in time; the request may have run"
            return _unknown(504, Reason.DEADLINE, detail)
        known = await self._state(request, job.key)
        if known is None or known.state in (JobState.ABSENT, JobState.UNKNOWN):
            status = 504 if timeout_ms > job.deadline_ms else 202
            detail = "the outcome is not known yet; ask again with the same key"
            return _unknown(status, HttpReason.NO_ANSWER, detail, key=job.key)
        return self._answer(request, known, unfinished=202)

    async def look_up(self, request: Request) -> Response:
        """Answer the state of a job, after waiting `wait` milliseconds for its end."""
        key = job_key(request.path_params["team"], request.path_params["key"])
        match whole_number(request, "wait", 0):
            case Failure(problem):
                return bad_input(problem, state=JobState.UNKNOWN, truth="")
            case Success(wait_ms):
                wait_ms = min(wait_ms, self.settings.jobs.max_deadline_ms)
        if self.waiting >= self.settings.http.max_waiting:
            return self._too_many(key)
        answer = None
        if wait_ms:
            answer = await self._request_core(
                request, lambda number: JobLookedUp(number, key, wait=True), wait_ms
            )
        answer = answer or await self._state(request, key)
        if answer is None:
            detail = "the owner of the key does not answer"
            return _unknown(503, HttpReason.NO_ANSWER, detail, key=key)
        return self._answer(request, answer)

    async def cancel(self, request: Request) -> Response:
        """Cancel a job and answer its end."""
        key = job_key(request.path_params["team"], request.path_params["key"])
        if self.waiting >= self.settings.http.max_waiting:
            return self._too_many(key)
        answer = await self._request_core(
            request, lambda number: JobCancelRequested(number, key), CANCEL_MS
        )
        answer = answer or await self._state(request, key)
        if answer is None:
            detail = "the owner of the key does not answer; cancel again"
            return _unknown(503, HttpReason.NO_ANSWER, detail, key=key)
        return self._answer(request, answer, unfinished=202)

    async def _state(self, request: Request, key: str) -> JobAnswer | None:
        return await self._request_core(
            request, lambda number: JobLookedUp(number, key), LOOKUP_MS
        )

    async def _request_core(
        self, request: Request, make_item: Any, timeout_ms: int
    ) -> JobAnswer | None:
        self.waiting += 1
        try:
            pending_reply = self.gateway.request(make_item, timeout_ms=timeout_ms)
            answer = await unless_disconnected(request, pending_reply)
        finally:
            self.waiting -= 1
        assert answer is None or isinstance(answer, JobAnswer)
        return answer

    def _too_many(self, key: str) -> Response:
        detail = "too many callers wait at this entry"
        return _refused_submission(429, HttpReason.TOO_MANY_REQUESTS, detail, key)

    def _answer(
        self, request: Request, answer: JobAnswer, *, unfinished: int = 200
    ) -> Response:
        status = status_of(answer, unfinished=unfinished)
        if answer.state is JobState.ABSENT:
            detail = "no job of this key is known; the key may have been forgotten"
            return _unknown(404, HttpReason.UNKNOWN_KEY, detail, state=JobState.ABSENT)
        if status >= 400:
            return refusal(
                status,
                answer.reason,
                f"the job is {answer.state}: {answer.reason}",
                retry_after_ms=_retry_after_ms(status, answer),
                **{
                    name: value
                    for name, value in answer_document(answer).items()
                    if name not in ("reason", "retry_after_ms")
                },
            )
        if JSON_LINES in request.headers.get("accept", ""):
            return StreamingResponse(
                answer_chunks(answer), status_code=status, media_type=JSON_LINES
            )
        return self._whole(answer, status)

    def _whole(self, answer: JobAnswer, status: int) -> Response:
        document = answer_document(answer)
        document["results"] = [result_document(result) for result in answer.results]
        response = JSONResponse(document, status_code=status)
        limit = self.settings.http.max_answer_bytes
        if len(response.body) <= limit:
            return response
        return refusal(
            413,
            HttpReason.ANSWER_TOO_LARGE,
            f"the answer has more than {limit} bytes; ask for {JSON_LINES} instead",
            state=answer.state,
            truth=shown_truth(answer),
            key=answer.key,
        )


def status_of(answer: JobAnswer, *, unfinished: int = 200) -> int:
    """Return the HTTP status code of a job's state or end.

    Args:
        answer: The state or end.
        unfinished: Code of a job that is queued or running.
    """
    if answer.state in (JobState.QUEUED, JobState.RUNNING):
        return unfinished
    if answer.state is JobState.COMPLETE:
        return 200
    if answer.state is JobState.ABSENT:
        return 404
    if answer.reason is Reason.KEY_CONFLICT:
        return 409
    if answer.reason in LIMIT_REASONS:
        return 429
    if answer.reason in DEADLINE_REASONS:
        return 504
    if answer.state is JobState.UNKNOWN:
        return 503
    # A cancelled job ended as its caller asked; other ends without a run are
    # refusals. A job that ran and failed has its final answer.
    refused = answer.truth is Truth.NOT_RUN and answer.reason is not Reason.CANCELLED
    return 503 if refused else 200


async def answer_chunks(answer: JobAnswer) -> AsyncIterator[bytes]:
    """Yield a job's state or end as JSON lines, several of them in a chunk.

    The first line is the answer, then comes one line for each result, and the last
    one is `{"end": true}`: without it the answer was cut short.
    """
    lines, size = [_line(answer_document(answer))], 0
    for result in answer.results:
        lines.append(_line(result_document(result)))
        size += len(lines[-1])
        if size >= CHUNK_BYTES:
            yield b"".join(lines)
            lines, size = [], 0
    lines.append(_line({"end": True, "results": len(answer.results)}))
    yield b"".join(lines)


def _line(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"


def _retry_after_ms(status: int, answer: JobAnswer) -> int:
    if status not in (429, 503):
        return 0
    return answer.retry_after_ms or RETRY_AFTER_MS


def _unknown(status: int, reason: str, detail: str, **more: Any) -> Response:
    more = {"state": JobState.UNKNOWN, "truth": Truth.MAY_HAVE_RUN} | more
    retry_after_ms = RETRY_AFTER_MS if status in (202, 503) else 0
    return refusal(status, reason, detail, retry_after_ms=retry_after_ms, **more)


def _refused_submission(status: int, reason: str, detail: str, key: str) -> Response:
    retry_after_ms = RETRY_AFTER_MS if status == 429 else 0
    if key:
        # An earlier submission of the same key may have run at another entry.
        return refusal(
            status,
            reason,
            detail,
            state=JobState.UNKNOWN,
            truth=Truth.MAY_HAVE_RUN,
            retry_after_ms=retry_after_ms,
        )
    return refusal(status, reason, detail, retry_after_ms=retry_after_ms)


def _bad_submission(bad: BadSubmission, key: str) -> Response:
    if key and not bad.never_valid:
        return bad_input(bad.problem, state=JobState.UNKNOWN, truth=Truth.MAY_HAVE_RUN)
    return bad_input(bad.problem)
