"""The HTTP application of an entry."""

from __future__ import annotations

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ._gateway import EntryGateway
from ._http_answers import RETRY_AFTER_MS, HttpReason, refusal
from ._job_api import JobApi
from ._messages import JobState, Reason, Truth
from ._resource_api import ResourceApi
from ._settings import EntrySettings


def build_app(gateway: EntryGateway, settings: EntrySettings) -> Starlette:
    """Return the application with the APIs of callers and operators.

    Args:
        gateway: The running entry.
        settings: The entry's settings.
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
    return Starlette(routes=routes, exception_handlers=handlers)


async def _alive(request: Request) -> Response:
    return JSONResponse({"alive": True})


def _ready(gateway: EntryGateway) -> Response:
    state = gateway.state
    if state.may_dispatch() and not state.stopping:
        return JSONResponse({"ready": True, "version": state.control.version})
    joined = state.me is not None and state.control.is_live(state.me)
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
