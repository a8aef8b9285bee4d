"""Tests of the daemons, and of the translation of the platform's protocol.

They guard against processes that do not follow the published protocol.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import pytest

from catkincross.clock import SystemClock
from catkincross.daemons._agent import AgentDaemon
from catkincross.daemons._entry import EntryDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.daemons._metrics import Metrics
from catkincross.daemons._metrics_text import MetricsCollector
from catkincross.jobs import QueuePolicy
from catkincross.platform import (
    InvalidJob,
    NodeSettings,
    WorkerClient,
    load_node_settings,
    read_heartbeat,
    read_job,
)
from catkincross.transport._http_server import HttpServer
from catkincross.workers import LeaseRenewal
from standins.platform_http import StoreHttp, WorkerHttp
from standins.platform_worker import PlatformWorker

LIMIT_S = 20.0
JOB = "5c0e7a21d94b36f8"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "nony24.example",
            "path_prefix": "/lohu930/",
            "timeout_ms": 1500,
            "slo_ms": 60,
            "priority": 0,
            "service": "huvo11a",
            "max_attempts": 2,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "huvo11a", "rejects_overload": False, "standby": False}],
    "limits": {"max_body_bytes": 262_144},
}
HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "perth",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "seq": 4,
    "born": 1,
}
STEPS = [
    {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 50},
    {"count": 2, "cpu": 2_000, "mem_mb": 1_024, "estimate_ms": 50, "after": [0]},
]


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings_for(name: str, **addresses: str) -> NodeSettings:
    fields: dict[str, Any] = {
        "front": "",
        "ready": "",
        "control": "",
        "worker": "",
        "store": "",
    }
    return NodeSettings(
        name=name,
        ip="127.0.0.1",
        data_centre="perth",
        first_port=free_port(),
        shards=16,
        keep_ms=300_000,
        member_ttl_ms=1_000,
        lease_ms=1_000,
        stop_ms=50,
        resend_ms=1_300,
        config_ms=2_000,
        status_ms=120_000,
        grace_ms=6_000,
        remote_factor=1.5,
        **(fields | addresses),
    )


class Client:
    """Sends HTTP requests to one address."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self.session = session
        self.address = address

    async def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        headers = {"Host": "nony24.example", "X-Catkincross-Deadline-Ms": "5000"}
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        url = f"http://{self.address}{path}"
        async with self.session.request(
            method, url, headers=headers, data=data
        ) as response:
            return response.status, orjson.loads(await response.read() or b"null")

    async def wait_for_state(self, path: str, state: str) -> None:
        async with asyncio.timeout(LIMIT_S):
            while (await self.ask("GET", path))[1] != {"state": state}:
                await asyncio.sleep(0.02)


Scenario = Callable[[Client, Client, PlatformWorker], Awaitable[None]]


async def play(scenario: Scenario) -> None:
    """Run a scenario against two entries, an agent and the stand-ins on loopback."""
    store = StoreHttp()
    store.declared.append(("config", orjson.dumps(CONFIG)))
    store_server = HttpServer(store.app(), "127.0.0.1:0")
    worker = PlatformWorker(run_ms=40)
    worker_server = HttpServer(WorkerHttp(worker).app(), "127.0.0.1:0")
    clock = SystemClock()
    entries = []
    sink = os.open(os.devnull, os.O_WRONLY)
    for name in ("e1", "e2"):
        settings = settings_for(
            name,
            store=store_server.address,
            front=f"127.0.0.1:{free_port()}",
            ready=f"127.0.0.1:{free_port()}",
        )
        entries.append(EntryDaemon(settings, clock, DecisionLog(name, clock, sink)))
    agent_settings = settings_for(
        "u1",
        store=store_server.address,
        control=f"127.0.0.1:{free_port()}",
        worker=worker_server.address,
    )
    agent = AgentDaemon(agent_settings, clock, DecisionLog("u1", clock, sink))
    store_server.start()
    worker_server.start()
    for daemon in (*entries, agent):
        await daemon.start()
    async with aiohttp.ClientSession() as session:
        clients = [Client(session, entry.settings.front) for entry in entries]
        control = Client(session, agent_settings.control)
        async with asyncio.timeout(LIMIT_S):
            for entry in entries:
                while not entry.ready:
                    await asyncio.sleep(0.02)
            status, _ = await control.ask("PUT", "/instances/w-1", HEARTBEAT)
            assert status == 200
            await scenario(clients[0], clients[1], worker)
    for server in (store_server, worker_server):
        await server.stop(0.1)
    for entry in entries:
        await entry.client_server.stop(0.1)
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for daemon in (*entries, agent):
        await daemon.store.close()
    await agent.worker.close()


def test_a_durable_job_runs_and_every_entry_knows_it() -> None:
    """Every entry must answer for a job submitted at another, whoever owns it."""

    async def scenario(one: Client, two: Client, worker: PlatformWorker) -> None:
        for number in range(8):
            path = f"/lohu930/{number:016x}"
            assert (await one.ask("POST", path, {"spec": "x", "steps": STEPS}))[
                0
            ] == 200
            await two.wait_for_state(path, "completed")
        started = [row for row in worker.run_events if row[1] == "start"]
        assert len(started) == len({row[2] for row in started}) == 48
        assert (await one.ask("GET", "/lohu930/ffffffffffffffff"))[0] == 410
        assert await one.ask("GET", "/lohu930/") == (200, {"pending": 0})

    asyncio.run(play(scenario))


def test_steps_run_in_order() -> None:
    """A task must not start before all tasks of the steps it depends on are done."""

    async def scenario(one: Client, two: Client, worker: PlatformWorker) -> None:
        await one.ask("POST", f"/lohu930/{JOB}", {"spec": "x", "steps": STEPS})
        await one.wait_for_state(f"/lohu930/{JOB}", "completed")
        first_done = [row for row in worker.run_events if row[1] == "done"][:4]
        assert all(row[2].split(".")[2] == "0" for row in first_done)
        later = [row[0] for row in worker.run_events if row[2].split(".")[2] == "1"]
        assert min(later) >= max(row[0] for row in first_done)

    asyncio.run(play(scenario))


def test_a_cancel_stops_a_job() -> None:
    """A cancelled job must end, and every entry must report it as cancelled."""

    async def scenario(one: Client, two: Client, worker: PlatformWorker) -> None:
        worker.run_ms = 10_000
        path = f"/lohu930/{JOB}"
        await one.ask("POST", path, {"spec": "x", "steps": STEPS})
        await two.wait_for_state(path, "running")
        assert (await two.ask("DELETE", path))[0] == 200
        await one.wait_for_state(path, "cancelled")
        assert (await one.ask("DELETE", "/lohu930/0123456789abcdef"))[0] == 410

    asyncio.run(play(scenario))


def test_a_volatile_job_is_answered_with_its_end() -> None:
    """A volatile job is not stored, so its submission must be answered by its end."""

    async def scenario(one: Client, two: Client, worker: PlatformWorker) -> None:
        body = {"spec": "x", "steps": STEPS, "best_effort": True}
        found = await one.ask("POST", f"/lohu930/{JOB}", body)
        assert found == (200, {"state": "completed"})

    asyncio.run(play(scenario))


def test_a_queue_with_an_adviser_rejects_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Workers refuse its starts without a ticket, so its jobs would never end."""
    advice = {"decide_ms": 40, "each_ms": 1, "valid_ms": 5_000}
    advised = CONFIG["routes"][0] | {"path_prefix": "/advised/", "advice": advice}
    routes = [*CONFIG["routes"], advised]
    monkeypatch.setitem(CONFIG, "routes", routes)

    async def scenario(one: Client, two: Client, worker: PlatformWorker) -> None:
        body = {"spec": "x", "steps": STEPS}
        status, answer = await one.ask("POST", f"/advised/{JOB}", body)
        assert status == 503
        assert answer == {"error": "unsupported: advice", "not_run": True}
        assert (await one.ask("POST", f"/lohu930/{JOB}", body))[0] == 200

    asyncio.run(play(scenario))


def test_bad_requests_get_a_clear_answer() -> None:
    """An invalid request must get its own status, and later jobs must still run."""

    async def scenario(one: Client, two: Client, worker: PlatformWorker) -> None:
        path = f"/lohu930/{JOB}"
        assert (await one.ask("POST", path, b"{not json"))[0] == 400
        assert (await one.ask("POST", path, {"steps": "no"}))[0] == 400
        assert (await one.ask("POST", path, b"x" * 300_000))[0] == 413
        assert (await one.ask("POST", "/unknown/1", {}))[0] == 404
        assert (await one.ask("GET", "/readiness"))[0] == 200
        job = {"spec": "x", "steps": STEPS, "best_effort": True}
        assert (await one.ask("POST", path, job))[0] == 200

    asyncio.run(play(scenario))


POLICY = QueuePolicy("q", "s")


@pytest.mark.parametrize(
    ("steps", "field"),
    [
        ([{"count": 0}], "steps.0.count"),
        ([{"count": "4"}], "steps.0.count"),
        ([{"count": 1, "cpu": -1}], "steps.0.cpu"),
        ([{"count": 1, "after": [0]}], "steps.0.after"),
        ([{"count": 1, "requires": 4}], "steps.0.requires"),
        (["x"], "steps.0"),
        ([], "steps"),
    ],
)
def test_a_wrong_field_of_a_job_is_named(steps: list[Any], field: str) -> None:
    """The error of an invalid job must begin with the name of the wrong field."""
    found = read_job(JOB, orjson.dumps({"spec": "x", "steps": steps}), POLICY)
    assert isinstance(found, InvalidJob)
    assert found.problem.startswith(field)
    assert not found.unsupported


def test_a_job_with_an_unsupported_field_is_rejected() -> None:
    """A job with an unsupported field must be rejected, not run without it."""
    body = orjson.dumps({"spec": "x", "steps": [{"count": 2, "fills": True}]})
    found = read_job(JOB, body, POLICY)
    assert isinstance(found, InvalidJob)
    assert found.unsupported


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"seq": "4"}, {"capacity": None}, {"labels": [1]}],
)
def test_a_heartbeat_with_invalid_fields_is_rejected(change: dict[str, Any]) -> None:
    """Heartbeat fields of the wrong type must not reach the agent's core."""
    assert read_heartbeat("w", orjson.dumps(HEARTBEAT | change)) is None
    assert read_heartbeat("w", b"\xff") is None
    assert read_heartbeat("w", orjson.dumps(HEARTBEAT)) is not None


def test_incomplete_settings_are_reported(tmp_path: Path) -> None:
    """The error for incomplete settings must say that a field is missing."""
    path = tmp_path / "node.toml"
    path.write_text('node_id = "x"\n[bounds]\n[platform]\n')
    with pytest.raises(ValueError, match="field missing"):
        load_node_settings(str(path))


def test_the_log_never_blocks_and_counts_what_it_drops() -> None:
    """A full pipe that nobody reads must not block the process."""
    reading, writing = os.pipe()
    log = DecisionLog("x", SystemClock(), writing)
    metrics = Metrics(log)
    for number in range(700):
        log.note("run ended", run_ms=number, text="x" * 500)
    os.close(reading)
    assert log.total_dropped > 0
    assert log.event_counts["run ended"] == 700
    counts = {m.name: m for m in MetricsCollector(metrics).collect()}
    assert counts["catkincross_dropped_lines"].samples[0].value == log.total_dropped


def test_names_of_the_platform_stay_in_its_folder() -> None:
    """Code outside the folder must not depend on the platform's field names."""
    names = ("fencing_token", "ack_cursor", "best_effort", "run_id", "minion", "tenant")
    root = Path(__file__).resolve().parent.parent / "catkincross"
    found = [
        f"{path.name}: {name}"
        for path in root.rglob("*.py")
        if "platform" not in path.parent.name
        for name in names
        if name in path.read_text(encoding="utf-8")
    ]
    assert found == []


@pytest.mark.parametrize("body", [b"", b"[]", b'{"clock_ms": 1}', b'{"running": [1]}'])
def test_an_unreadable_renewal_reply_counts_as_no_answer(body: bytes) -> None:
    """An unreadable answer ended the agent, and its restart met the same answer."""

    async def run() -> Any:
        async def app(scope: Any, receive: Any, send: Any) -> None:
            start = {"type": "http.response.start", "status": 200, "headers": []}
            await send(start)
            await send({"type": "http.response.body", "body": body})

        server = HttpServer(app, "127.0.0.1:0")
        server.start()
        client = WorkerClient(server.address)
        try:
            return await client.renew_lease(LeaseRenewal("w-1", 1, 0, None, 0))
        finally:
            await client.close()
            await server.stop(0.1)

    assert asyncio.run(run()) is None


def test_log_lines_are_buffered_and_written_together() -> None:
    """A system call per log line took a large part of an entry's time."""
    reading, writing = os.pipe()
    log = DecisionLog("x", SystemClock(), writing)

    async def run() -> None:
        for number in range(3):
            log.note("run sent", run=number)
        assert log._buffer
        async with asyncio.timeout(LIMIT_S):
            while log._buffer:
                await asyncio.sleep(0.005)

    asyncio.run(run())
    lines = [orjson.loads(line) for line in os.read(reading, 65_536).splitlines()]
    assert [line["run"] for line in lines] == [0, 1, 2]
    assert {line["message_type"] for line in lines} == {"x: run sent"}
    assert all("timestamp" in line and "clock_ms" in line for line in lines)
    os.close(reading)
    os.close(writing)
