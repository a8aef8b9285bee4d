"""Stand-in for a worker's HTTP interface: leases, delayed usage, task actions."""

from __future__ import annotations

import time
from collections import deque

import attrs
import cattrs
import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ._serve import serve

ACTIONS = ("checkpoint", "throttle", "stop")


@attrs.frozen
class Usage:
    """Resource usage of the worker at one time.

    Attributes:
        memory_used_mb: Memory in use, in MB.
        cpu_permille: Processor use in per mille.
    """

    memory_used_mb: int = 0
    cpu_permille: int = 0


@attrs.define
class Lease:
    """A lease under which its holder's tasks run.

    Attributes:
        name: Name of the holder.
        expires_s: Expiry time on the worker's monotonic clock, in seconds.
    """

    name: str
    expires_s: float


class Worker:
    """State and HTTP routes of the worker.

    Args:
        lag_ms: Age of the reported usage, in milliseconds.

    Attributes:
        history: Usage by the time at which it was set, oldest first.
        leases: Leases by the name of the holder.
        actions: Requested actions as (task, action), in the order of arrival.
    """

    def __init__(self, lag_ms: int) -> None:
        self.lag_s = lag_ms / 1_000
        self.history: deque[tuple[float, Usage]] = deque([(0.0, Usage())])
        self.leases: dict[str, Lease] = {}
        self.actions: list[tuple[str, str]] = []

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/usage", self.report_usage, methods=["GET"]),
                Route("/usage", self.set_usage, methods=["PUT"]),
                Route("/leases", self.report_leases, methods=["GET"]),
                Route("/leases/{name}", self.renew_lease, methods=["PUT"]),
                Route(
                    "/tasks/{task:path}/{action}", self.record_action, methods=["POST"]
                ),
                Route("/actions", self.report_actions, methods=["GET"]),
            ]
        )

    async def report_usage(self, request: Request) -> Response:
        """Return the usage as it was `lag_ms` ago."""
        reported_s = time.monotonic() - self.lag_s
        while len(self.history) > 1 and self.history[1][0] <= reported_s:
            self.history.popleft()
        return JSONResponse(attrs.asdict(self.history[0][1]))

    async def set_usage(self, request: Request) -> Response:
        """Set the usage; reports show it after `lag_ms`."""
        usage = cattrs.structure(await request.json(), Usage)
        self.history.append((time.monotonic(), usage))
        return JSONResponse(attrs.asdict(usage))

    async def report_leases(self, request: Request) -> Response:
        """Return the leases with their remaining time, 0 for an expired lease."""
        now_s = time.monotonic()
        rows = [
            {
                "name": lease.name,
                "remaining_ms": max(0, int((lease.expires_s - now_s) * 1_000)),
            }
            for lease in self.leases.values()
        ]
        return JSONResponse({"leases": rows})

    async def renew_lease(self, request: Request) -> Response:
        """Grant or renew a lease; an expired lease is not renewed."""
        name = request.path_params["name"]
        ttl_s = int((await request.json())["ttl_ms"]) / 1_000
        now_s = time.monotonic()
        lease = self.leases.get(name)
        if lease is not None and lease.expires_s <= now_s:
            return JSONResponse({"reason": "expired"}, 409)
        self.leases[name] = Lease(name, now_s + ttl_s)
        return JSONResponse({"remaining_ms": int(ttl_s * 1_000)})

    async def record_action(self, request: Request) -> Response:
        """Record a request to checkpoint, throttle or stop a task."""
        action = request.path_params["action"]
        if action not in ACTIONS:
            return JSONResponse({"reason": "unknown action"}, 404)
        self.actions.append((request.path_params["task"], action))
        return JSONResponse({})

    async def report_actions(self, request: Request) -> Response:
        """Return all requested actions."""
        rows = [{"task": task, "action": action} for task, action in self.actions]
        return JSONResponse({"actions": rows})


@click.command()
@click.option("--port", default=0, help="Port on loopback; 0 takes a free port.")
@click.option("--lag-ms", default=2_000, help="Age of the reported usage.")
def main(port: int, lag_ms: int) -> None:
    """Run the stand-in for a worker."""
    serve(Worker(lag_ms).app(), port)


if __name__ == "__main__":
    main()
