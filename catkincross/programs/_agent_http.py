"""HTTP application of an agent, for the upstream on the same host and for probes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import cattrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from ..agent_core._agent_state import AgentState
from ..protocol._effects import UpstreamAnnounced


def build_agent_app(state: AgentState, post: Callable[[Any], None]) -> Starlette:
    """Return the ASGI application with the routes for probes and announcements.

    Args:
        state: The agent's state; the application reads it and never changes it.
        post: Puts an item into the inbox of the core.
    """

    async def healthz(request: Request) -> Response:
        return PlainTextResponse("ok")

    async def readyz(request: Request) -> Response:
        registered = state.view is not None and state.view.registered
        ready = registered and state.freshness.is_current(state.now_ms)
        return PlainTextResponse(
            "ready" if ready else "not ready", 200 if ready else 503
        )

    async def announce(request: Request) -> Response:
        try:
            event = cattrs.structure(await request.json(), UpstreamAnnounced)
        except Exception as error:
            return JSONResponse({"reason": cattrs.transform_error(error)}, 400)
        if event.slots < 0 or event.connections < 0:
            return JSONResponse(
                {"reason": "slots and connections must be at least 0"}, 400
            )
        # With more connections than the client has, a task would wait at the agent
        # for a connection after its start was accepted.
        connections = min(event.connections, state.settings.connections)
        post(attrs.evolve(event, connections=connections))
        return JSONResponse({"running": len(state.running)})

    return Starlette(
        routes=[
            Route("/healthz", healthz),
            Route("/readyz", readyz),
            Route("/v1/upstream", announce, methods=["PUT"]),
        ]
    )
