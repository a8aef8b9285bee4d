"""HTTP endpoint for heartbeats of the worker on this host."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..http11 import BodyTooLarge, ClientDisconnected, HttpResponse, read_body
from ..workers import Registration
from ._worker import read_heartbeat

INSTANCES_PATH = "/instances/"
MAX_HEARTBEAT_BYTES = 4_194_304
JSON_HEADERS = {"content-type": "application/json"}


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
        try:
            status = await self._handle(scope, receive)
        except ClientDisconnected:
            return
        await HttpResponse(status, b"{}", JSON_HEADERS).send(send)

    async def _handle(self, scope: Any, receive: Any) -> int:
        path, method = scope["path"], scope["method"]
        if not path.startswith(INSTANCES_PATH):
            return 404
        worker = path.removeprefix(INSTANCES_PATH)
        if method == "DELETE":
            self.on_leave(worker)
            return 200
        if method != "PUT":
            return 405
        try:
            body = await read_body(receive, MAX_HEARTBEAT_BYTES)
        except BodyTooLarge:
            return 413
        registration = read_heartbeat(worker, body)
        if registration is None:
            self.on_invalid(worker)
            return 400
        self.on_heartbeat(registration)
        return 200
