"""Tests of sockets that listen before a daemon has imported its libraries."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from typing import Any

import pytest

from catkincross import dispatch, jobs, platform
from catkincross.daemons import agent, entry
from catkincross.foundation._listening import open_available_sockets
from catkincross.transport._http_server import HttpServer
from scenarios.platform_soak import free_address

# Libraries whose import takes 0.03 to 0.4 s of a core, that is, up to 3 s on a host
# with 0.12 of a core.
HEAVY = (
    "aiohttp",
    "cattrs",
    "eliot",
    "grpc",
    "numpy",
    "prometheus_client",
    "returns",
    "starlette",
)
# Needed to serve, but not to listen.
SERVING = ("click", "msgspec", "uvicorn")


def test_a_daemon_listens_before_it_imports_its_libraries() -> None:
    """After a restart, 249 connections were refused and were retried 1.3 s later."""
    code = (
        "import sys, catkincross.daemons.entry, catkincross.daemons.agent;"
        f"print([name for name in {HEAVY + SERVING!r} if name in sys.modules])"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "[]"


def test_a_daemon_serves_without_heavy_libraries() -> None:
    """After a loss of all power, imports kept narrow hosts from serving for 5.6 s."""
    code = (
        "import sys, catkincross.daemons._entry, catkincross.daemons._agent,"
        " catkincross.daemons._run, catkincross.daemons._metrics;"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    run = subprocess.run(
        [sys.executable, "-S", "-c", code],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert run.stdout.strip() == "[]"


def test_an_agent_does_not_import_the_decisions_of_an_entry() -> None:
    """Their import took a seventh of the time in which a worker starts no task."""
    modules = (
        "catkincross.owner",
        "catkincross.dispatch._placement",
        "catkincross.jobs._job",
    )
    code = (
        "import sys, catkincross.daemons._agent, catkincross.daemons._run;"
        f"print([name for name in {modules!r} if name in sys.modules])"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "[]"


def test_every_public_name_has_a_module() -> None:
    """A name that is missing in the table fails only when it is first used."""
    for package in (dispatch, jobs, platform):
        assert sorted(package.MODULES) == sorted(package.__all__)
        for name in package.__all__:
            assert getattr(package, name) is not None


def test_a_request_that_came_early_is_answered() -> None:
    """A connection in the accept queue must not be lost when the server starts."""
    address = free_address()
    sockets = open_available_sockets([address])
    host, _, port = address.rpartition(":")
    client = socket.create_connection((host, int(port)))
    client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")

    async def app(scope: Any, receive: Any, send: Any) -> None:
        await send({"type": "http.response.start", "status": 204, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async def run() -> bytes:
        server = HttpServer(app, address, listening_socket=sockets[address])
        server.start()
        answer = await asyncio.to_thread(client.recv, 1_024)
        await server.stop(0.1)
        return answer

    assert asyncio.run(run()).startswith(b"HTTP/1.1 204")
    client.close()


def test_an_address_that_is_in_use_is_left_to_the_server() -> None:
    """The server reports an address in use by name; opening early must not hide it."""
    address = free_address()
    first = open_available_sockets([address])
    assert open_available_sockets([address]) == {}
    first[address].close()


@pytest.mark.parametrize("daemon", [entry, agent])
def test_a_reload_during_the_start_does_not_end_a_daemon(
    daemon: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A SIGHUP that came before its handler was installed ended the process."""
    handlers = []

    def open_sockets(_: str) -> None:
        handlers.append(signal.getsignal(signal.SIGHUP))
        raise SystemExit

    monkeypatch.setattr(daemon, "open_listening_sockets", open_sockets)
    previous = signal.getsignal(signal.SIGHUP)
    try:
        with pytest.raises(SystemExit):
            daemon.main()
    finally:
        signal.signal(signal.SIGHUP, previous)
    assert handlers == [signal.SIG_IGN]
