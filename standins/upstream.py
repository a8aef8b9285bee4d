"""Stand-in for an upstream that runs tasks by sleeping, with faults to inject."""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
import cattrs
import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from catkincross.transport._upstream_client import INDEX_HEADER, KEY_HEADER

from ._serve import serve


@attrs.define
class Behaviour:
    """How the upstream runs tasks, set by `PUT /control`.

    Attributes:
        speed: Divisor of the run time in a payload.
        fail_all: Whether every task is answered with status 500.
        late_ms: Delay added to the run time of each task, in milliseconds.
        cross: Whether each answer carries the index of another task.
    """

    speed: float = 1.0
    fail_all: bool = False
    late_ms: int = 0
    cross: bool = False


class Upstream:
    """State and HTTP routes of the upstream.

    Attributes:
        behaviour: How tasks run.
        starts: Number of starts by key and index of the task.
        running: Number of tasks that run now.
        most_running: Highest number of tasks that ran at the same time.
        stopped: Number of tasks that ended because their connection was closed.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.starts: Counter[tuple[str, str]] = Counter()
        self.running = 0
        self.most_running = 0
        self.stopped = 0

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/tasks", self.run, methods=["POST"]),
                Route("/starts", self.report_starts, methods=["GET"]),
                Route("/control", self.set_behaviour, methods=["PUT"]),
            ]
        )

    async def run(self, request: Request) -> Response:
        """Run a task without a load limit; a closed connection stops it."""
        payload = await request.body()
        key, index = request.headers[KEY_HEADER], request.headers[INDEX_HEADER]
        self.starts[key, index] += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if not await self._sleep_until_done(request, payload):
                self.stopped += 1
                return Response(status_code=499)
        finally:
            self.running -= 1
        if self.behaviour.fail_all:
            return Response(status_code=500)
        if self.behaviour.cross:
            index = str(int(index) + 1)
        return Response(payload, headers={KEY_HEADER: key, INDEX_HEADER: index})

    async def _sleep_until_done(self, request: Request, payload: bytes) -> bool:
        run_ms = _run_ms(payload) / self.behaviour.speed + self.behaviour.late_ms
        disconnect = asyncio.create_task(_wait_for_disconnect(request))
        try:
            done, _ = await asyncio.wait({disconnect}, timeout=run_ms / 1_000)
        finally:
            disconnect.cancel()
        return not done

    async def report_starts(self, request: Request) -> Response:
        """Return the number of starts of each task, and counts of running tasks."""
        rows = [
            {"key": key, "index": int(index), "count": count}
            for (key, index), count in self.starts.items()
        ]
        return JSONResponse(
            {
                "starts": rows,
                "running": self.running,
                "most_running": self.most_running,
                "stopped": self.stopped,
            }
        )

    async def set_behaviour(self, request: Request) -> Response:
        """Replace the behaviour; fields missing from the body get their defaults."""
        self.behaviour = cattrs.structure(await request.json(), Behaviour)
        return JSONResponse(attrs.asdict(self.behaviour))


async def _wait_for_disconnect(request: Request) -> None:
    while (await request.receive())["type"] != "http.disconnect":
        pass


def _run_ms(payload: bytes) -> float:
    """Return the run time in a payload such as `run_ms=50 text`; 0 without one."""
    first = payload.split(b" ", 1)[0]
    name, _, value = first.partition(b"=")
    return float(value) if name == b"run_ms" else 0.0


@click.command()
@click.option("--port", default=0, help="Port on loopback; 0 takes a free port.")
@click.option("--speed", default=1.0, help="Divisor of the run time of each task.")
def main(port: int, speed: float) -> None:
    """Run the stand-in for an upstream."""
    serve(Upstream(Behaviour(speed=speed)).app(), port)


if __name__ == "__main__":
    main()
