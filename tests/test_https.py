"""Guards against a port that answers plain HTTP although TLS is configured."""

from __future__ import annotations

import asyncio
import ssl
from pathlib import Path

import aiohttp
import pytest
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from catkincross.transport._http_server import HttpServer

from .test_transport_tls import write_certificate


async def answer_ok(request: object) -> PlainTextResponse:
    return PlainTextResponse("ok")


def test_the_port_speaks_tls_only(tmp_path: Path) -> None:
    """A port with a certificate must serve HTTPS and refuse plain HTTP."""
    tls = write_certificate(tmp_path, "e1")

    async def check() -> None:
        app = Starlette(routes=[Route("/healthz", answer_ok)])
        server = HttpServer(app, "127.0.0.1:0", tls=tls)
        server.start()
        trusted = ssl.create_default_context(cafile=tls.ca)
        async with aiohttp.ClientSession() as client:
            url = f"https://{server.address}/healthz"
            async with client.get(url, ssl=trusted) as response:
                assert await response.text() == "ok"
            with pytest.raises(aiohttp.ClientError):
                await client.get(f"http://{server.address}/healthz")
        await server.stop(5)

    asyncio.run(check())
