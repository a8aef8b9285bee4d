"""Answers and guards that both HTTP APIs share."""

from __future__ import annotations

import asyncio
import hmac
import json
import math
from collections.abc import Awaitable, Callable, Coroutine
from enum import StrEnum
from functools import wraps
from typing import Any, TypeVar

from returns.result import Failure, Result, Success
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response

from ..foundation._validation import Problem
from ..protocol._messages import JobState, Truth

Value = TypeVar("Value")
Endpoint = Callable[[Request], Awaitable[Response]]

RETRY_AFTER_MS = 1_000
JSON_LINES = "application/x-ndjson"
CLIENT_CLOSED = 499


class HttpReason(StrEnum):
    """Reasons that arise in the HTTP layer, next to `Reason`."""

    BAD_INPUT = "bad_input"
    TOO_LARGE = "too_large"
    ANSWER_TOO_LARGE = "answer_too_large"
    TOO_MANY_REQUESTS = "too_many_requests"
    NO_ANSWER = "no_answer"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_CHANGE = "unknown_change"
    ABSENT = "absent"
    READ_ONLY = "read_only"
    TOO_OLD = "too_old"
    UNAUTHORIZED = "unauthorized"
    NO_ROUTE = "no_route"
    INTERNAL = "internal_error"


def refusal(
    status: int,
    reason: str,
    detail: str,
    *,
    state: str = JobState.FAILED,
    truth: str = Truth.NOT_RUN,
    field: str = "",
    retry_after_ms: int = 0,
    **more: Any,
) -> JSONResponse:
    """Return an answer other than success.

    Args:
        status: HTTP status code.
        reason: Why, as a fixed word.
        detail: One sentence for people.
        state: State of the job or the change.
        truth: What is known to be true of its execution.
        field: The field of the input that is wrong.
        retry_after_ms: Time after which another try makes sense, or 0.
        more: Further fields of the body.
    """
    body = {"state": state, "truth": truth, "reason": reason, "detail": detail}
    if field:
        body["field"] = field
    headers = {}
    if retry_after_ms:
        body["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = str(math.ceil(retry_after_ms / 1_000))
    return JSONResponse(body | more, status_code=status, headers=headers)


def bad_input(problem: Problem, **more: Any) -> JSONResponse:
    """Return the answer to an input with a problem."""
    detail = f"{problem.field or 'the body'}: {problem.text}"
    return refusal(
        400, HttpReason.BAD_INPUT, detail, field=problem.field or "body", **more
    )


async def read_body(request: Request, limit: int) -> bytes | None:
    """Return the body of a request, or None if it has more bytes than the limit."""
    length = request.headers.get("content-length", "")
    if length.isdigit() and int(length) > limit:
        return None
    chunks, size = [], 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def parse_json(body: bytes) -> Result[Any, Problem]:
    """Return the JSON value of a body."""
    try:
        return Success(json.loads(body))
    except (ValueError, RecursionError):
        return Failure(Problem((), "is not JSON"))


def whole_number(request: Request, name: str, default: int) -> Result[int, Problem]:
    """Return a query parameter that is a whole number, at least 0."""
    text = request.query_params.get(name)
    if text is None:
        return Success(default)
    if text.isascii() and text.isdigit() and len(text) <= 18:
        return Success(int(text))
    problem = f"{text[:40]!r} is not allowed; allowed is a whole number, at least 0"
    return Failure(Problem((name,), problem))


async def unless_disconnected(
    request: Request, waiting: Coroutine[Any, Any, Value]
) -> Value:
    """Wait for a value, and stop waiting when the caller's connection closes.

    Raises:
        ClientDisconnect: If the connection was closed first.
    """
    task = asyncio.ensure_future(waiting)
    closed = asyncio.ensure_future(_closed(request))
    try:
        await asyncio.wait((task, closed), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise ClientDisconnect
    finally:
        for future in (task, closed):
            future.cancel()


async def _closed(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass


def quiet_disconnect(endpoint: Endpoint) -> Endpoint:
    """Let an endpoint end without an error when its caller has gone."""

    @wraps(endpoint)
    async def guarded(request: Request) -> Response:
        try:
            return await endpoint(request)
        except ClientDisconnect:
            return Response(status_code=CLIENT_CLOSED)

    return guarded


def may_change(request: Request, token: str) -> bool:
    """Whether a request carries the bearer token that changes need."""
    if not token:
        return True
    scheme, _, given = request.headers.get("authorization", "").partition(" ")
    matches = hmac.compare_digest(given.strip().encode(), token.encode())
    return scheme.lower() == "bearer" and matches
