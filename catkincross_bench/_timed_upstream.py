"""Stand-in of an upstream that also tells when each task ran."""

from __future__ import annotations

import time

import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins._serve import serve
from standins.upstream import Behaviour, Upstream


class TimedUpstream(Upstream):
    """Keeps begin and end of each task by the host's monotonic clock, in s."""

    def __init__(self, behaviour: Behaviour) -> None:
        super().__init__(behaviour)
        self.runs: list[tuple[float, float]] = []

    def app(self) -> Starlette:
        """Return the HTTP application."""
        app = super().app()
        app.router.routes.append(Route("/runs", self.report_runs, methods=["GET"]))
        return app

    async def run(self, request: Request) -> Response:
        """Run a task and note its time."""
        begin = time.monotonic()
        try:
            return await super().run(request)
        finally:
            self.runs.append((begin, time.monotonic()))

    async def report_runs(self, request: Request) -> Response:
        """Return begin and end of each task."""
        return JSONResponse({"runs": self.runs})


@click.command()
@click.option("--port", default=0, help="Port on loopback; 0 takes a free one.")
@click.option("--speed", default=1.0, help="Divides the run time of each task.")
def main(port: int, speed: float) -> None:
    """Run the upstream stand-in."""
    serve(TimedUpstream(Behaviour(speed=speed)).app(), port)


if __name__ == "__main__":
    main()
