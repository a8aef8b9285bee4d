"""In-memory stand-in for the log service, with faults that a test can inject."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import cattrs
import click
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from catkincross.transport._embedded_log import EmbeddedLog
from catkincross.transport._log_client import Accepted, Gap, Records

from ._serve import serve


@attrs.define
class Faults:
    """Faults to inject, set by `PUT /control`.

    Attributes:
        down: Whether all appends and reads are answered with status 503.
        delay_ms: Delay of each append and read, in milliseconds.
        lose_answers: Number of next appends that take effect but are answered with
            status 500.
        lose_requests: Number of next appends that are answered with status 500 and
            have no effect.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    lose_requests: int = 0


class LogService:
    """State and HTTP routes of the log service.

    Attributes:
        log: The streams and their records.
        faults: Faults to inject.
    """

    def __init__(self) -> None:
        self.log = EmbeddedLog()
        self.faults = Faults()

    def app(self) -> Starlette:
        """Return the ASGI application."""
        records = "/streams/{name}/records"
        return Starlette(
            routes=[
                Route(records, self.append, methods=["POST"]),
                Route(records, self.read, methods=["GET"]),
                Route("/control", self.set_faults, methods=["PUT"]),
                Route("/streams/{name}/expire", self.expire, methods=["POST"]),
            ]
        )

    async def append(self, request: Request) -> Response:
        """Append the request's body as a record; return its offset."""
        body = await request.body()
        await asyncio.sleep(self.faults.delay_ms / 1_000)
        if self.faults.down:
            return JSONResponse({}, 503)
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            return JSONResponse({}, 500)
        outcome = await self.log.append(request.path_params["name"], body)
        assert isinstance(outcome, Accepted)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return JSONResponse({}, 500)
        return JSONResponse({"offset": outcome.offset})

    async def read(self, request: Request) -> Response:
        """Return records from an offset on; wait up to `wait_ms` if there are none."""
        query = request.query_params
        await asyncio.sleep(self.faults.delay_ms / 1_000)
        if self.faults.down:
            return JSONResponse({}, 503)
        outcome = await self.log.read(
            request.path_params["name"],
            int(query["from"]),
            limit=int(query["limit"]),
            wait_ms=int(query["wait_ms"]),
        )
        # A read that was already waiting when the outage began must fail as well.
        if self.faults.down:
            return JSONResponse({}, 503)
        if isinstance(outcome, Gap):
            return JSONResponse({"first": outcome.first}, 410)
        assert isinstance(outcome, Records)
        return JSONResponse(_records_body(outcome))

    async def set_faults(self, request: Request) -> Response:
        """Replace all faults; those missing from the body are cleared."""
        self.faults = cattrs.structure(await request.json(), Faults)
        return JSONResponse(attrs.asdict(self.faults))

    async def expire(self, request: Request) -> Response:
        """Remove the records before the offset `before` from a stream."""
        body = await request.json()
        stream = self.log.stream(request.path_params["name"])
        stream.expire(int(body["before"]))
        return JSONResponse({"first": stream.first, "tail": stream.tail})


def _records_body(outcome: Records) -> dict[str, Any]:
    return {
        "records": [
            {"offset": record.offset, "body": record.body.decode()}
            for record in outcome.records
        ],
        "tail": outcome.tail,
        "first": outcome.first,
    }


@click.command()
@click.option("--port", default=0, help="Port on loopback; 0 takes a free port.")
def main(port: int) -> None:
    """Run the stand-in for the log service."""
    serve(LogService().app(), port)


if __name__ == "__main__":
    main()
