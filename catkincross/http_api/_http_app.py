"""The HTTP application of an entry."""

from __future__ import annotations

import time

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ..observability._metrics import Metrics
from ..protocol._messages import JobState, Reason, Truth
from ..settings._settings import EntrySettings
from ._gateway import EntryGateway
from ._http_answers import RETRY_AFTER_MS, HttpReason, refusal
from ._job_api import JobApi
from ._resource_api import ResourceApi


def build_app(
    gateway: EntryGateway, settings: EntrySettings, *, metrics: Metrics | None = None
) -> Starlette:
    """Return the application with the APIs of callers and operators.

    Args:
        gateway: The running entry.
        settings: The entry's settings.
        metrics: Where requests are counted and timed, if anywhere.
    """

    async def ready(request: Request) -> Response:
        return _ready(gateway)

    routes = [
        Route("/healthz", _alive, methods=["GET"]),
        Route("/readyz", ready, methods=["GET"]),
        *JobApi(gateway, settings).routes(),
        *ResourceApi(gateway, settings).routes(),
    ]
    handlers = {HTTPException: _http_error, Exception: _internal_error}
    middleware = [Middleware(RequestMetrics, metrics=metrics)] if metrics else []
    return Starlette(routes=routes, exception_handlers=handlers, middleware=middleware)


class RequestMetrics:
    """Counts and times requests.

    Args:
        app: The application that answers them.
        metrics: Where the numbers go.
    """

    def __init__(self, app: ASGIApp, metrics: Metrics) -> None:
        self.app = app
        self.metrics = metrics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer a request and report its status and duration."""
        started_s, status = time.perf_counter(), 500

        async def counted(message: Message) -> None:
            nonlocal status
            status = message.get("status", status)
            await send(message)

        try:
            await self.app(scope, receive, counted)
        finally:
            # A path that is not known must not make a metric of its own.
            parts = scope.get("path", "").split("/")[:3]
            route = "other" if status in (404, 405) else "/".join(parts)
            duration_ms = (time.perf_counter() - started_s) * 1_000
            self.metrics.http(route, status, duration_ms)


async def _alive(request: Request) -> Response:
    return JSONResponse({"alive": True})


def _ready(gateway: EntryGateway) -> Response:
    state = gateway.state
    if state.may_dispatch() and not state.stopping:
        return JSONResponse({"ready": True, "version": state.control.version})
    joined = state.incarnation is not None and state.control.is_live(state.incarnation)
    reason = Reason.NOT_CURRENT if joined else Reason.NOT_READY
    reason = Reason.LEAVING if state.stopping else reason
    document = {"ready": False, "reason": reason, "version": state.control.version}
    return JSONResponse(document, status_code=503, headers={"Retry-After": "1"})


async def _http_error(request: Request, error: Exception) -> Response:
    assert isinstance(error, HTTPException)
    response = refusal(error.status_code, HttpReason.NO_ROUTE, error.detail)
    response.headers.update(error.headers or {})
    return response


async def _internal_error(request: Request, error: Exception) -> Response:
    return refusal(
        500,
        HttpReason.INTERNAL,
        "the entry failed to handle the request",
        state=JobState.UNKNOWN,
        truth=Truth.MAY_HAVE_RUN,
        retry_after_ms=RETRY_AFTER_MS,
    )
