"""Tests of two links between one agent and one entry at the same time."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

import pytest

from catkincross.clock import ManualClock
from catkincross.daemons import _agent
from catkincross.daemons._agent import AgentDaemon
from catkincross.daemons._entry import EntryDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.peers import Link
from scenarios.volatile_fuzz import link_plan_of, play_plan
from tests.test_platform_daemons import free_port, settings_for
from tests.test_platform_lost_requesters import EndlessTransport

# Time after which an agent has closed a link without a lease and opened another one.
REOPEN_MS = 2_500
ENTRY = "127.0.0.1:9"
SEEDS = range(16)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_after_faults_of_single_links(seed: int) -> None:
    """Links are reset, delayed and replaced while messages are on their way."""
    plan = link_plan_of(seed)
    assert play_plan(plan) == [], "\n".join(map(str, plan.actions))


async def _open_links(monkeypatch: pytest.MonkeyPatch, count: int) -> list[bytes]:
    """Let an agent open links one after the other; return what it sends on each."""
    transports: list[EndlessTransport] = []

    async def connect(_: str, make_link: Callable[[], Link], _timeout_s: float) -> Link:
        link = make_link()
        transports.append(EndlessTransport())
        link.connection_made(transports[-1])
        return link

    monkeypatch.setattr(_agent, "connect", connect)
    clock = ManualClock()
    log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
    agent = AgentDaemon(settings_for("u1"), clock, log)
    await agent.store.close()
    await agent.worker.close()
    agent.core.update_store_entries(0, {ENTRY: "perth"}, {})
    while len(transports) < count:
        agent._update_links()
        for _ in range(5):
            await asyncio.sleep(0)
        clock.advance(REOPEN_MS)
    if agent.core_loop._timer is not None:
        agent.core_loop._timer.cancel()
    return [b"".join(transport.written) for transport in transports]


def test_a_link_whose_greeting_comes_late_does_not_replace_a_newer_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The agent had closed the older link, and its greeting was sent again by TCP.

    The entry closed the link in use, and sent start orders on the one that had ended.
    """

    async def run() -> tuple[bool, bool]:
        sent = await _open_links(monkeypatch, 2)
        clock = ManualClock(10_000)
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        settings = settings_for("e1", store=f"127.0.0.1:{free_port()}")
        entry = EntryDaemon(settings, clock, log)
        links: list[Any] = []
        for data in reversed(sent):
            on_message = entry.entry_links._on_message
            on_close = entry.entry_links._on_close
            link = Link(on_message, on_close, entry.log.note_error)
            link.connection_made(EndlessTransport())
            link.data_received(data)
            links.append(link)
        newer, _ = links
        in_use = entry.entry_links.agents["u1"] is newer
        await entry.store.close()
        return in_use, newer.closed

    assert asyncio.run(run()) == (True, False)
