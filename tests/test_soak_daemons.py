"""Daemons of a soak that end by themselves."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from scenarios.loopback_proxy import Proxy
from scenarios.soak_faults import Daemon
from scenarios.soak_ports import free_address


def daemon(name: str, folder: Path, exits: list[int]) -> Daemon:
    """Return an entry whose settings file does not exist."""
    store = Proxy("127.0.0.1:1")
    port = int(free_address().rpartition(":")[2])
    return Daemon(
        "entry",
        folder / f"{name}.toml",
        store,
        None,
        free_address(),
        port,
        lambda _, code: exits.append(code),
    )


def test_a_daemon_that_ends_by_itself_is_counted_and_started_again(
    tmp_path: Path,
) -> None:
    """A daemon that was gone for the rest of a soak went unnoticed."""
    exits: list[int] = []

    async def run() -> None:
        entry = daemon("e0", tmp_path, exits)
        await entry.start()
        async with asyncio.timeout(20):
            while len(exits) < 2:
                await asyncio.sleep(0.05)
        await entry.stop()

    asyncio.run(run())
    assert exits[0] != 0


def test_a_restart_of_a_daemon_that_leaves_for_good_ends(tmp_path: Path) -> None:
    """A soak waited for ever for the restart of a daemon that had been replaced."""

    async def run() -> None:
        entry = daemon("e0", tmp_path, [])
        await entry.start()
        first = entry.process
        assert first is not None
        restart = asyncio.create_task(entry.restart(signal.SIGKILL))
        await first.wait()
        # The next process is being created.
        await asyncio.sleep(0)
        await entry.stop()
        async with asyncio.timeout(5):
            await restart

    asyncio.run(run())
