"""Guards against upstream announcements that set wrong slots or connections.

With more connections than its client has, an agent would accept starts of tasks that
then wait for a connection.
"""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest

from catkincross.agent_core._agent_state import AgentState
from catkincross.effects import UpstreamAnnounced
from catkincross.programs._agent_http import build_agent_app
from catkincross.settings import AgentSettings
from catkincross.transport._http_server import HttpServer


def put_announcement(body: Any) -> tuple[int, list[Any]]:
    settings = AgentSettings(
        name="u1", region="r1", data_centre="d1", upstream="u1", service="s"
    )
    posted: list[Any] = []

    async def run() -> int:
        state = AgentState.from_settings(settings, number=1)
        server = HttpServer(build_agent_app(state, posted.append), "127.0.0.1:0")
        server.start()
        url = f"http://{server.address}/v1/upstream"
        async with aiohttp.ClientSession() as session:
            async with session.put(url, json=body) as response:
                status = response.status
        await server.stop(1.0)
        return status

    return asyncio.run(run()), posted


def test_more_connections_than_the_settings_allow_are_not_used() -> None:
    status, posted = put_announcement({"slots": 200, "connections": 200})
    assert (status, posted) == (200, [UpstreamAnnounced(200, 64)])


@pytest.mark.parametrize(
    "body", [{"slots": 8}, {"slots": -1, "connections": 1}, [1], {"slots": "x"}]
)
def test_an_invalid_announcement_is_rejected(body: Any) -> None:
    """It must be answered with 400 and must not reach the core."""
    status, posted = put_announcement(body)
    assert (status, posted) == (400, [])
