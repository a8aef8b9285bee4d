"""Tests of start orders that an agent carries out after it has reported their end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import threading
from typing import Any

import attrs
import pytest

from catkincross.clock import ManualClock
from catkincross.daemons._agent import AgentDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.peers import (
    EndedRun,
    Ends,
    Lease,
    Link,
    NotStarted,
    Start,
    Stop,
)
from catkincross.workers import SendToEntry, StartOutcome, StartRun, StopRun, WorkerCore
from scenarios.platform_model import SETTLE_MS, job
from scenarios.volatile_model import VolatileModel
from scenarios.volatile_requests import Request
from tests.test_platform_daemons import settings_for
from tests.test_platform_unanswered import (
    TASK,
    make_ready,
    order_run,
    ready_core,
    reply,
)

# Longest wait for the reset of a connection, in seconds.
RESET_TIMEOUT_S = 5.0
# Time between two checks of the links, in seconds.
PAUSE_S = 0.02


class Worker:
    """Worker client that records start orders by the worker that they name."""

    def __init__(self) -> None:
        self.started: list[tuple[str, StartRun]] = []

    async def start(self, worker: str, order: StartRun) -> StartOutcome:
        """Record an order."""
        self.started.append((worker, order))
        return StartOutcome.STARTED

    async def stop(self, _worker: str, _order: StopRun) -> bool:
        """Accept an order."""
        return True

    async def close(self) -> None:
        """Do nothing."""


def messages(core: WorkerCore, now_ms: int) -> list[Any]:
    """Return the messages that a core sends in a step."""
    effects = core.step(now_ms)
    return [effect.message for effect in effects if isinstance(effect, SendToEntry)]


def test_a_start_order_is_not_sent_after_its_run_was_reported_as_lost() -> None:
    """The worker was replaced between the order's acceptance and its call.

    The order went to the next worker, while the entry started the task elsewhere.
    """

    async def run() -> tuple[list[Any], list[Any]]:
        clock = ManualClock()
        log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
        agent = AgentDaemon(settings_for("u1"), clock, log)
        await agent.store.close()
        await agent.worker.close()
        agent.worker = worker = Worker()
        core = make_ready(agent.core)
        agent._execute(order_run(core))
        registration = core.state.registration
        assert registration is not None
        replaced = attrs.evolve(registration, worker="w-next", worker_incarnation=9)
        core.handle_heartbeat(0, replaced)
        ends = [m for m in messages(core, 0) if isinstance(m, Ends)]
        for _ in range(5):
            await asyncio.sleep(0)
        return ends, worker.started

    ends, started = asyncio.run(run())
    assert {end.task for message in ends for end in message.ended} == {TASK}
    assert started == []


@pytest.mark.parametrize("first", [StartOutcome.REFUSED, StartOutcome.NO_ROOM])
def test_the_outcome_of_an_earlier_order_does_not_discard_the_next_run(
    first: StartOutcome,
) -> None:
    """Two entries number the runs of a job from 1, so both orders have the same key.

    The first run ended with its worker, and its refusal came after the second order.
    """
    core = ready_core()
    order_run(core)
    registration = core.state.registration
    assert registration is not None
    replaced = attrs.evolve(registration, worker="w-next", worker_incarnation=9)
    core.handle_heartbeat(0, replaced)
    renewal = core.next_renewal(1)
    answer = attrs.evolve(reply(clock_ms=0), worker_incarnation=9)
    core.handle_renewal_reply(1, 1, renewal, answer)
    core.handle_entry_connected(1, "e2")
    core.handle_entry_message(1, "e2", Lease(1, 2_000, [], 12, 800))
    core.handle_entry_message(1, "e2", Start(1, -1, 12, TASK, 1, "x", 1_000, 64, 0))
    core.step(1)
    assert core.state.runs[TASK, 1].entry == "e2"
    core.handle_start_outcome(2, TASK, 1, first)
    assert not [m for m in messages(core, 2) if isinstance(m, NotStarted)]
    assert (TASK, 1) in core.state.runs


def test_an_answer_to_an_earlier_order_does_not_confirm_the_next_run() -> None:
    """Answers overtake each other: the first run's end was listed before its answer.

    The second run counted as started, and as absent in the next list, while its order
    was still on its way to the worker.
    """
    core = ready_core()
    order_run(core)
    done = EndedRun(1, TASK, 1, "failed")
    core.handle_renewal_reply(5, 2, core.next_renewal(2), reply(5, finished=(done,)))
    core.handle_entry_connected(6, "e2")
    core.handle_entry_message(6, "e2", Lease(6, 2_000, [], 12, 800))
    core.handle_entry_message(6, "e2", Start(1, -1, 12, TASK, 1, "x", 1_000, 64, 0))
    core.step(6)
    core.handle_start_outcome(7, TASK, 1, StartOutcome.STARTED)
    core.handle_renewal_reply(10, 8, core.next_renewal(8), reply(9, finished=(done,)))
    ends = [m for m in messages(core, 10) if isinstance(m, Ends)]
    assert [end.how for message in ends for end in message.ended] == []
    assert (TASK, 1) in core.state.runs


def test_a_run_that_ends_before_its_entry_claims_it_does_not_hold_up_the_job() -> None:
    """The entry had adopted the run, and waited for its end until the deadline.

    A restarted agent reports a run that it has found, and the run ends before the
    entry's claim arrives. The agent does not know yet whom to tell of the end.
    """
    model = VolatileModel(entries=1, agents=1)
    model.run(SETTLE_MS)
    machine = model.machines["u0"]
    machine.run_ms = 5_000
    spec = job("5c0e7a21d94b36f8", count=1, volatile=True)
    answers: list[Any] = []
    request = Request("post", spec, model.now_ms + 20_000, answers.append)
    model.receive("e0", request)
    model.run(200)
    [active_run] = machine.running.values()
    model.kill("u0")
    model.run(200)
    model.start_agent("u0")
    core = model.workers["u0"].core
    while not core.state.shard_leases:
        model.run(1)
    model.block("e0", "u0", 100)
    active_run.ends_ms = model.now_ms
    machine.run_ms = 100
    model.run(4_000)
    assert [answer.outcome for answer in answers] == ["state"]


def test_a_stop_before_its_start_keeps_the_run_from_being_started() -> None:
    """The stop was answered as absent, and the entry took that for the run's end.

    On one link the orders arrive in the order in which they were sent. No rule of the
    agent depends on it if a stop that finds no run is remembered.
    """
    core = ready_core()
    core.handle_entry_message(0, "e1", Stop(-1, 9, TASK, 1))
    [ends] = [m for m in messages(core, 0) if isinstance(m, Ends)]
    assert [end.how for end in ends.ended] == ["absent"]
    core.handle_entry_message(1, "e1", Start(1, -1, 9, TASK, 1, "x", 1_000, 64, 0, ""))
    effects = core.step(1)
    assert not [effect for effect in effects if isinstance(effect, StartRun)]


def reset_first_connection(
    server: socket.socket, accepted: list[int], reset: threading.Event
) -> None:
    """Accept connections, and reset the first one at once."""
    with contextlib.suppress(OSError):
        while True:
            connection, _ = server.accept()
            accepted.append(connection.fileno())
            if not reset.is_set():
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                connection.close()
                reset.set()


def test_a_link_that_is_reset_while_it_is_opened_is_opened_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The agent kept the closed link for good, and never reached the entry again.

    The reset arrives while other callbacks of the event loop's iteration run.
    """
    connection_made = Link.connection_made
    reset = threading.Event()

    def make_connection(link: Link, transport: Any) -> None:
        connection_made(link, transport)
        reset.wait(RESET_TIMEOUT_S)

    monkeypatch.setattr(Link, "connection_made", make_connection)
    accepted: list[int] = []
    server = socket.create_server(("127.0.0.1", 0))
    arguments = server, accepted, reset
    threading.Thread(target=reset_first_connection, args=arguments, daemon=True).start()

    async def run() -> None:
        clock = ManualClock()
        log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
        agent = AgentDaemon(settings_for("u1"), clock, log)
        await agent.store.close()
        await agent.worker.close()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        agent.core.update_store_entries(0, {address: "perth"}, {})
        for _ in range(20):
            agent._update_links()
            await asyncio.sleep(PAUSE_S)
            clock.advance(500)
        if agent.core_loop._timer is not None:
            agent.core_loop._timer.cancel()
        for link in list(agent.links.values()):
            link.close()

    asyncio.run(run())
    server.close()
    assert reset.is_set()
    assert len(accepted) > 1
