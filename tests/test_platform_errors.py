"""Guards against processes that end on one malformed message or unexpected error."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import orjson
import pytest

from catkincross.clock import SystemClock
from catkincross.daemons._agent import AgentDaemon
from catkincross.daemons._core_loop import CoreLoop
from catkincross.daemons._entry import EntryDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.daemons._run import serve_metrics
from catkincross.foundation._background import (
    spawn,
    spawn_repeated,
    stop_on_failed_task,
)
from catkincross.foundation._daemon_main import run_daemon
from catkincross.peers import (
    AgentState,
    Ask,
    EndedRun,
    Ends,
    Greeting,
    Lease,
    Link,
    Report,
    ReportTo,
    RunningTask,
    Sizes,
    VolatileJobs,
    connect,
    serve_links,
)
from catkincross.platform import read_heartbeat
from catkincross.transport._http_server import HttpServer
from catkincross.workers import WorkerCore, WorkerLimits
from standins.platform_http import StoreHttp
from tests.test_platform_daemons import HEARTBEAT, free_port, settings_for

# Messages that can be decoded and that the receiver does not expect.
ODD_MESSAGES = [
    Lease(1, 1, [[1], [1, 2, 3]], 1, 1),
    AgentState(1),
    Report(-7, 1, [RunningTask("no.task", 1)], [EndedRun(1, "", 1, "?")], 1, 1),
    Ends([EndedRun(1, "a.b.c.d", 1, "done")], 1),
    Sizes([["a"], []]),
    VolatileJobs(["a"], ["b"]),
    Ask(1, "submit", "a", {"id": 5}),
    Ask(2, "unknown verb", "a"),
]


@pytest.mark.parametrize("role", ["agent", "entry", ""])
def test_an_entry_survives_odd_messages(role: str) -> None:
    """An odd message may cost the link, but not the process with all its jobs."""

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(stop_on_failed_task)
        store = StoreHttp()
        store_server = HttpServer(store.app(), "127.0.0.1:0")
        store_server.start()
        settings = settings_for(
            "e1",
            store=store_server.address,
            front=f"127.0.0.1:{free_port()}",
            ready=f"127.0.0.1:{free_port()}",
        )
        clock = SystemClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        entry = EntryDaemon(settings, clock, log)
        await entry.start()
        for message in ODD_MESSAGES:
            closed = asyncio.Event()
            link = await connect(
                entry.address,
                lambda closed=closed: Link(
                    lambda *_: None, lambda _: closed.set(), lambda *_: None
                ),
                1.0,
            )
            if role:
                link.send(Greeting(role, "u1", 1))
            link.send(message)
            await asyncio.sleep(0.05)
            link.close()
        steps = entry.core_loop.core.state.now_ms
        await asyncio.sleep(0.3)
        assert entry.core_loop.core.state.now_ms > steps
        await entry.client_server.stop(0.1)
        await store_server.stop(0.1)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await entry.store.close()

    asyncio.run(run())


def test_a_handler_that_fails_costs_only_its_link() -> None:
    """The other links of a process must stay open."""

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(stop_on_failed_task)
        address = f"127.0.0.1:{free_port()}"
        errors: list[str] = []

        def fail(_link: Link, message: Any) -> None:
            if message.name == "bad":
                raise RuntimeError("unexpected")

        def make_server_link() -> Link:
            return Link(fail, lambda _: None, lambda what, _: errors.append(what))

        def make_link() -> Link:
            return Link(lambda *_: None, lambda _: None, lambda *_: None)

        server = await serve_links(address, make_server_link)
        good, bad = [await connect(address, make_link, 1.0) for _ in range(2)]
        bad.send(Greeting("agent", "bad", 1))
        good.send(Greeting("agent", "good", 1))
        async with asyncio.timeout(10):
            while not bad.closed:
                await asyncio.sleep(0.01)
        assert errors == ["link: Greeting"]
        assert not good.closed
        good.close()
        server.close()

    asyncio.run(run())


class FailingCore:
    """A core whose steps fail or return effects that fail."""

    def __init__(self) -> None:
        self.steps: list[Any] = [RuntimeError("step"), [RuntimeError("effect"), 1], [2]]

    def step(self, now_ms: int) -> list[Any]:
        """Return or raise what is next."""
        item = self.steps.pop(0) if self.steps else []
        if isinstance(item, Exception):
            raise item
        return item

    def next_step_ms(self) -> int:
        """Ask for the next step at once."""
        return 0


def test_steps_go_on_after_an_error() -> None:
    """A lost effect or timer would leave requests without an answer for ever."""
    executed: list[int] = []
    errors: list[str] = []

    def execute(effect: Any) -> None:
        if isinstance(effect, Exception):
            raise effect
        executed.append(effect)

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(stop_on_failed_task)
        loop = CoreLoop(
            FailingCore(), SystemClock(), execute, lambda what, _: errors.append(what)
        )
        loop.schedule_step()
        async with asyncio.timeout(10):
            while executed != [1, 2]:
                await asyncio.sleep(0.01)

    asyncio.run(run())
    assert errors == ["step", "RuntimeError"]


def test_a_background_loop_starts_again_after_an_error() -> None:
    """Without its membership loop an entry would lose its shards and not return."""
    attempts: list[int] = []

    async def endless_loop() -> None:
        attempts.append(1)
        if len(attempts) < 3:
            raise RuntimeError("unexpected")

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(stop_on_failed_task)
        errors: list[str] = []
        await spawn_repeated(endless_loop, lambda what, _: errors.append(what))
        assert errors == ["endless_loop"] * 2

    asyncio.run(run())
    assert len(attempts) == 3


def test_an_agent_closes_several_silent_links_at_once() -> None:
    """The end of one link must not fail the closing of the others.

    The links were updated again within the closing of each, and 129 updates of a day
    ended with a KeyError.
    """

    async def run() -> list[str]:
        clock = SystemClock()
        log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
        agent = AgentDaemon(settings_for("u1"), clock, log)
        for name in ("e1", "e2", "e3"):
            link = Link(lambda *_: None, agent._on_close, log.note_error)
            link.peer = name
            agent.links[name] = link
            agent.core.handle_entry_connected(0, name)
        agent._update_links()
        await asyncio.sleep(0)
        await agent.store.close()
        await agent.worker.close()
        return [*agent.links, *agent.core.state.entries]

    assert asyncio.run(run()) == []


@pytest.mark.parametrize(
    "address", ["nowhere", "127.0.0.1:70000", "127.0.0.1:-1", "\0:80", "a" * 70 + ":80"]
)
def test_an_agent_survives_a_malformed_address_of_an_entry(address: str) -> None:
    """The task that opens the link failed, which ended the process and its runs."""

    async def run() -> tuple[dict[str, int], set[str], int]:
        clock = SystemClock()
        log = DecisionLog("u1", clock, os.open(os.devnull, os.O_WRONLY))
        agent = AgentDaemon(settings_for("u1"), clock, log)
        failed: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: failed.append(context)
        )
        link = Link(lambda *_: None, agent._on_close, log.note_error)
        link.peer = "e1"
        agent.core.handle_entry_connected(clock.now_ms(), "e1")
        agent._on_message(link, ReportTo(address))
        async with asyncio.timeout(10):
            while agent.connecting and not failed:
                await asyncio.sleep(0.01)
        await agent.store.close()
        await agent.worker.close()
        return log.event_counts, agent.connecting, len(failed)

    events, connecting, failed = asyncio.run(run())
    assert (failed, connecting) == (0, set())
    assert events["entry not reached"] == 1


class FailingDaemon:
    """A daemon of which a callback and a background task fail."""

    def __init__(self) -> None:
        self.stopped = asyncio.Event()

    async def start(self) -> None:
        """Do nothing."""

    async def run(self) -> None:
        """Go on after both errors until the daemon is told to leave."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self.fail)
        spawn(self.fail_later())
        await asyncio.sleep(0.05)
        await self.leave()
        await self.stopped.wait()

    async def leave(self) -> None:
        """End."""
        self.stopped.set()

    def fail(self) -> None:
        """Fail as a callback."""
        raise RuntimeError("callback")

    async def fail_later(self) -> None:
        """Fail as a background task."""
        raise RuntimeError("task")


def test_an_unexpected_error_does_not_end_a_daemon() -> None:
    """One failed callback or task ended the process with all jobs that it held."""
    errors: list[str] = []

    async def run() -> None:
        await run_daemon(
            FailingDaemon(), on_error=lambda _, error: errors.append(str(error))
        )

    asyncio.run(run())
    assert sorted(errors) == ["callback", "task"]


def test_a_port_in_use_does_not_end_a_daemon() -> None:
    """A metrics port that another process used ended the daemon 2 s after its start."""

    async def run() -> dict[str, int]:
        log = DecisionLog("e", SystemClock(), os.open(os.devnull, os.O_WRONLY))
        with socket.create_server(("127.0.0.1", 0)) as server:
            address = f"127.0.0.1:{server.getsockname()[1]}"
            await serve_metrics(log, address, delay_s=0)
        return log.event_counts

    assert asyncio.run(run()) == {"metrics not served": 1}


@pytest.mark.parametrize(
    "change",
    [
        {"labels": "a"},
        {"seq": True},
        {"born": "1"},
        {"capacity": {"cpu": -1, "mem_mb": 1}},
        {"state": "leaving"},
    ],
)
def test_a_malformed_heartbeat_names_no_worker(change: dict[str, Any]) -> None:
    """It may come from another writer, and the agent would size its worker by it."""
    assert read_heartbeat("w", orjson.dumps(HEARTBEAT)) is not None
    assert read_heartbeat("w", orjson.dumps(HEARTBEAT | change)) is None


@pytest.mark.parametrize("worker", ["other", "w"])
def test_a_heartbeat_without_an_incarnation_does_not_replace_a_worker(
    worker: str,
) -> None:
    """It may be one of another writer; the runs of the worker counted as lost."""
    core = WorkerCore(WorkerLimits(), 1)
    body = orjson.dumps(HEARTBEAT | {"born": 5})
    assert core.handle_heartbeat(0, read_heartbeat("w", body))
    fields = {name: value for name, value in HEARTBEAT.items() if name != "born"}
    body = orjson.dumps(fields | {"seq": 99})
    assert not core.handle_heartbeat(1, read_heartbeat(worker, body))
    assert core.state.worker == "w"
