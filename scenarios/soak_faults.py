"""Processes of a soak, and the faults that it plays on them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs

from .loopback_proxy import Mode, Proxy

# Time after which an agent takes a silent worker for lost, in seconds.
WORKER_LOSS_S = 5.0
# Time after which a process that has ended by itself is started again, in seconds.
RESTART_DELAY_S = 0.3


@attrs.define(eq=False)
class Daemon:
    """One process of the system, which is started again whenever it ends.

    Attributes:
        role: `entry` or `agent`.
        settings: Its settings file.
        store: Proxy between it and the store.
        worker: Proxy between it and its worker; None for an entry.
        address: Address for client accounts, or for the worker's heartbeats.
        on_exit: Called with the daemon and its exit code when it ends by itself.
        process: The process.
    """

    role: str
    settings: Path
    store: Proxy
    worker: Proxy | None
    address: str
    metrics_port: int
    on_exit: Callable[[Daemon, int], None]
    process: asyncio.subprocess.Process | None = None
    _ending: bool = False
    _running: asyncio.Task[None] | None = None
    _started: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.settings.stem

    async def start(self) -> None:
        """Start the process, and start it again when it ends."""
        own = self.settings.with_suffix(".ini")
        own.write_text(f"[platform]\nmetrics_port = {self.metrics_port}\n")
        self._running = asyncio.create_task(self._keep_running())
        await self._started.wait()

    async def _keep_running(self) -> None:
        while True:
            process = self.process = await self._create_process()
            self._ending = False
            self._started.set()
            code = await process.wait()
            self._started.clear()
            if not self._ending:
                self.on_exit(self, code)
                await asyncio.sleep(RESTART_DELAY_S)

    async def _create_process(self) -> asyncio.subprocess.Process:
        with self.settings.with_suffix(".log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                f"catkincross.daemons.{self.role}",
                env={
                    "CATKINCROSS_NODE_FILE": str(self.settings),
                    "CATKINCROSS_SETTINGS": str(self.settings.with_suffix(".ini")),
                },
                cwd=Path(__file__).resolve().parent.parent,
                stdout=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            # It may have ended by an earlier signal.
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal, and wait until it has been started again."""
        assert self.process is not None
        self._ending = True
        self.send(number)
        await self.process.wait()
        await asyncio.sleep(0)
        await self._started.wait()

    async def stop(self) -> None:
        """End the process and its proxies."""
        if self._running is not None:
            self._running.cancel()
            await asyncio.wait({self._running})
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self.store.stop()
        if self.worker is not None:
            await self.worker.stop()


FAULTS: dict[str, Callable[[Daemon, float], Awaitable[None]]] = {}


def fault(function: Callable[[Daemon, float], Awaitable[None]]) -> Any:
    """Register a fault under its function's name."""
    FAULTS[function.__name__] = function
    return function


@fault
async def kill(daemon: Daemon, length_s: float) -> None:
    """Kill the process and start it again."""
    await daemon.restart(signal.SIGKILL)


@fault
async def terminate(daemon: Daemon, length_s: float) -> None:
    """Stop the process gracefully and start it again."""
    await daemon.restart(signal.SIGTERM)


@fault
async def freeze(daemon: Daemon, length_s: float) -> None:
    """Let the process stand still."""
    daemon.send(signal.SIGSTOP)
    await asyncio.sleep(length_s)
    daemon.send(signal.SIGCONT)


@fault
async def reload(daemon: Daemon, length_s: float) -> None:
    """Let the process read its settings again."""
    daemon.send(signal.SIGHUP)


@fault
async def cut_store(daemon: Daemon, length_s: float) -> None:
    """Reset the connections between the process and the store."""
    await _proxy_fault(daemon.store, Mode.CUT, length_s)


@fault
async def silence_store(daemon: Daemon, length_s: float) -> None:
    """Let the store's answers to the process get lost."""
    await _proxy_fault(daemon.store, Mode.SILENT, length_s)


@fault
async def cut_worker(daemon: Daemon, length_s: float) -> None:
    """Reset the connections between an agent and its worker."""
    if daemon.worker is not None:
        await _proxy_fault(daemon.worker, Mode.CUT, length_s)


@fault
async def silence_worker(daemon: Daemon, length_s: float) -> None:
    """Let the worker's answers get lost."""
    if daemon.worker is not None:
        await _proxy_fault(daemon.worker, Mode.SILENT, length_s)


@fault
async def lose_worker(daemon: Daemon, length_s: float) -> None:
    """Let a worker give no answers for so long that its agent takes it for lost."""
    if daemon.worker is not None:
        await _proxy_fault(daemon.worker, Mode.SILENT, WORKER_LOSS_S + length_s)


async def _proxy_fault(proxy: Proxy, mode: Mode, length_s: float) -> None:
    proxy.set_mode(mode)
    await asyncio.sleep(length_s)
    # Connections that were silent stay so: only a time limit of the caller shows it.
    proxy.set_mode(Mode.CUT)
    proxy.set_mode(Mode.PASS)
