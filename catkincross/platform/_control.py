"""HTTP endpoint for heartbeats of the worker on this host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response

from ..workers import Registration
from ._worker import read_heartbeat

INSTANCES_PATH = "/instances/"
MAX_HEARTBEAT_BYTES = 4_194_304


class HeartbeatApp:
    """ASGI application that receives a worker's heartbeats.

    `PUT /instances/ID` carries a heartbeat, `DELETE /instances/ID` announces that the
    worker leaves.

    Args:
        on_heartbeat: Called with each valid heartbeat.
        on_leave: Called with the identity of a worker that leaves.
        on_invalid: Called with the identity of the worker, as the path gives it, for
            each invalid heartbeat.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Registration], None],
        on_leave: Callable[[str], None],
        on_invalid: Callable[[str], None],
    ) -> None:
        self.on_heartbeat = on_heartbeat
        self.on_leave = on_leave
        self.on_invalid = on_invalid

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        request = Request(scope, receive)
        try:
            status = await self._handle(request)
        except ClientDisconnect:
            return
        response = Response(b"{}", status, media_type="application/json")
        await response(scope, receive, send)

    async def _handle(self, request: Request) -> int:
        path = request.url.path
        if not path.startswith(INSTANCES_PATH):
            return 404
        worker = path.removeprefix(INSTANCES_PATH)
        if request.method == "DELETE":
            self.on_leave(worker)
            return 200
        if request.method != "PUT":
            return 405
        body = await request.body()
        if len(body) > MAX_HEARTBEAT_BYTES:
            return 413
        registration = read_heartbeat(worker, body)
        if registration is None:
            self.on_invalid(worker)
            return 400
        self.on_heartbeat(registration)
        return 200
