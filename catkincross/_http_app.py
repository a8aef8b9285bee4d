"""First HTTP application of an entry: health and submission of jobs."""

from __future__ import annotations

import hashlib
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from ._effects import JobSubmitted
from ._gateway import EntryGateway
from ._ids import job_key
from ._messages import JobAnswer, TaskSpec
from ._settings import EntrySettings

STATUS_BY_STATE = {"complete": 200, "failed": 502, "unknown": 503}


def build_app(gateway: EntryGateway, settings: EntrySettings) -> Starlette:
    """Return the HTTP application of an entry.

    Args:
        gateway: The running entry.
        settings: The entry's settings.
    """

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok")

    async def readyz(request: Request) -> Response:
        state = gateway.state
        ready = state.may_dispatch() and not state.stopping
        return PlainTextResponse(
            "ready" if ready else "not ready", 200 if ready else 503
        )

    async def submit(request: Request) -> Response:
        content = await request.body()
        body = await request.json()
        deadline_ms = int(body.get("deadline_ms", settings.jobs.max_deadline_ms))

        def make_item(request_id: int) -> JobSubmitted:
            return _submission(request_id, body, content, deadline_ms)

        answer = await gateway.ask(make_item, timeout_ms=deadline_ms + 2_000)
        if not isinstance(answer, JobAnswer):
            return JSONResponse({"state": "unknown"}, 504)
        return JSONResponse(
            _answer_body(answer), STATUS_BY_STATE.get(answer.state, 200)
        )

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/v1/jobs", submit, methods=["POST"]),
        ]
    )


def _submission(
    request_id: int, body: dict[str, Any], content: bytes, deadline_ms: int
) -> JobSubmitted:
    tasks = [
        TaskSpec(payload=task["payload"].encode(), run_ms=int(task.get("run_ms", 0)))
        for task in body["tasks"]
    ]
    key = job_key(body["team"], body["key"]) if body.get("key") else ""
    return JobSubmitted(
        request_id=request_id,
        key=key,
        digest=hashlib.sha256(content).digest(),
        team=body["team"],
        service=body["service"],
        tasks=tasks,
        deadline_ms=deadline_ms,
    )


def _answer_body(answer: JobAnswer) -> dict[str, Any]:
    return {
        "key": answer.key,
        "state": str(answer.state),
        "truth": str(answer.truth),
        "reason": str(answer.reason),
        "tasks": answer.tasks,
        "results": [result.payload.decode() for result in answer.results],
    }
