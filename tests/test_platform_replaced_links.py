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
from scenarios.platform_model import SETTLE_MS, job
from scenarios.volatile_fuzz import link_plan_of, play_plan
from scenarios.volatile_model import VolatileModel
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


def test_a_report_of_an_earlier_link_does_not_start_the_tasks_of_its_agent_again() -> (
    None
):
    """The report came with the late greeting of a link that the agent had closed.

    It was written before the tasks were sent, on a newer link, and the entry started
    all tasks of the agent elsewhere while their runs went on.
    """
    model = VolatileModel(entries=1, agents=3)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 3_000
    link = "e0", "u0"
    model.replace_link(*link, 1)
    while link not in model.agent_links:
        model.run(1)
    model.hold_link(*link, "from", 900)
    # The agent reports the shards of which it has leases, once it has read the lists.
    model.workers["u0"].core.handle_worker_left(model.now_ms, "w-u0")
    model.run(60)
    model.send_heartbeat("u0")
    model.run(40)
    model.replace_link(*link, 800)
    model.run(650)
    spec = job("b" * 16, count=8)
    model.submit("post", spec, "e0")
    model.run(100)
    assert model.machines["u0"].running
    model.run(4_000)
    assert model.overlapping() == []
    assert model.count("done") == 8


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
