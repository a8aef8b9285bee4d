"""Processes of a soak, and the faults that it plays on them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs

from .loopback_proxy import Gateway, Mode, Proxy, Way
from .soak_process import DIRECT_VARIABLE, GATEWAY_VARIABLE

# Time after which an agent takes a silent worker for lost, in seconds.
WORKER_LOSS_S = 5.0
# Time after which a process that has ended by itself is started again, in seconds.
RESTART_DELAY_S = 0.3
# Time from SIGTERM to SIGKILL, in seconds.
GRACE_S = 6.0
# Period in which a process with little processor time runs once, in seconds.
PERIOD_S = 0.1
# Shares of the time in which such a process runs, and one that cannot do its work.
RUNNING_SHARES = (0.3, 0.6)
STARVING_SHARES = (0.06, 0.2)
# Shortest and longest time for which a process that is stalled stands still, in
# seconds. Other processes do not take it for lost.
STALL_S = (0.15, 0.9)
# Shortest and longest time for which the store turns a process away, in seconds.
TURNED_AWAY_S = (3.0, 11.0)
# Ranges of the delays on slow links, in seconds.
LINK_DELAYS_S = ((0.001, 0.02), (0.01, 0.1), (0.05, 0.4))


@attrs.define(eq=False)
class Daemon:
    """One process of the system, which is started again whenever it ends.

    Attributes:
        role: `entry` or `agent`.
        settings: Its settings file.
        store: Proxy between it and the store.
        worker: Proxy between it and its worker; None for an entry.
        gateway: Gateway of the connections that it opens to other processes; None for
            none.
        front: Proxy between client accounts and an entry; None for none.
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
    gateway: Gateway | None = None
    front: Proxy | None = None
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
        command = [f"catkincross.daemons.{self.role}"]
        env = {
            "CATKINCROSS_NODE_FILE": str(self.settings),
            "CATKINCROSS_SETTINGS": str(self.settings.with_suffix(".ini")),
        }
        if self.gateway is not None:
            command = ["scenarios.soak_process", self.role]
            direct = [proxy.address for proxy in (self.store, self.worker) if proxy]
            env[GATEWAY_VARIABLE] = self.gateway.address
            env[DIRECT_VARIABLE] = ",".join(direct)
        with self.settings.with_suffix(".log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *command,
                env=env,
                # The kernel sends SIGHUP to stopped members of an orphaned group.
                start_new_session=True,
                cwd=Path(__file__).resolve().parent.parent,
                stdout=log,
            )

    @property
    def proxies(self) -> list[Proxy]:
        """Proxies of all connections of the process."""
        proxies = (self.store, self.worker, self.gateway, self.front)
        return [proxy for proxy in proxies if proxy is not None]

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            # It may have ended by an earlier signal.
            self.process.send_signal(number)

    async def restart(self, number: signal.Signals) -> None:
        """End the process by a signal, and wait until it has been started again.

        A process that leaves for good meanwhile is not waited for.
        """
        assert self.process is not None and self._running is not None
        self._ending = True
        self.send(number)
        await self.process.wait()
        await asyncio.sleep(0)
        started = asyncio.create_task(self._started.wait())
        await asyncio.wait(
            {started, self._running}, return_when=asyncio.FIRST_COMPLETED
        )
        started.cancel()

    async def stop(self, number: signal.Signals = signal.SIGKILL) -> None:
        """End the process by a signal, and end its proxies."""
        if self._running is not None:
            self._running.cancel()
            await asyncio.wait({self._running})
        if self.process is not None:
            self.send(number)
            try:
                await asyncio.wait_for(self.process.wait(), GRACE_S)
            except TimeoutError:
                self.send(signal.SIGKILL)
                await self.process.wait()
        for proxy in self.proxies:
            await proxy.stop()


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
async def turn_away(daemon: Daemon, length_s: float) -> None:
    """Let the store refuse, ignore or turn away a process; it serves all others."""
    mode = random.choice((Mode.CUT, Mode.SILENT, Mode.BUSY))
    await _proxy_fault(daemon.store, mode, random.uniform(*TURNED_AWAY_S))


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


@fault
async def stall(daemon: Daemon, length_s: float) -> None:
    """Let the process stand still for a time too short to be taken for lost."""
    await freeze(daemon, random.uniform(*STALL_S))


@fault
async def throttle(daemon: Daemon, length_s: float) -> None:
    """Give the process little processor time, in short turns."""
    await _run_in_turns(daemon, length_s, random.uniform(*RUNNING_SHARES))


@fault
async def starve(daemon: Daemon, length_s: float) -> None:
    """Give the process so little processor time that its work waits."""
    await _run_in_turns(daemon, length_s, random.uniform(*STARVING_SHARES))


async def _run_in_turns(daemon: Daemon, length_s: float, share: float) -> None:
    running_s = PERIOD_S * share
    await asyncio.sleep(random.uniform(0, PERIOD_S))
    loop = asyncio.get_running_loop()
    end_s = loop.time() + length_s
    while loop.time() < end_s:
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(PERIOD_S - running_s)
        daemon.send(signal.SIGCONT)
        await asyncio.sleep(running_s)


@fault
async def reset_channels(daemon: Daemon, length_s: float) -> None:
    """Reset all open connections of the process; new ones work."""
    for proxy in daemon.proxies:
        proxy.reset()


@fault
async def reset_clients(daemon: Daemon, length_s: float) -> None:
    """Reset the open connections of client accounts to an entry."""
    if daemon.front is not None:
        daemon.front.reset()


@fault
async def silence_channels(daemon: Daemon, length_s: float) -> None:
    """Let all open connections of the process be silent for good; new ones work."""
    for proxy in daemon.proxies:
        proxy.silence()


@fault
async def silence_links(daemon: Daemon, length_s: float) -> None:
    """Let the open links that the process has opened be silent for good."""
    if daemon.gateway is not None:
        daemon.gateway.silence()


@fault
async def slow_links(daemon: Daemon, length_s: float) -> None:
    """Delay the links that the process has opened."""
    if daemon.gateway is not None:
        await _slow(daemon.gateway, length_s)


@fault
async def slow_worker(daemon: Daemon, length_s: float) -> None:
    """Delay the connections between an agent and its worker."""
    if daemon.worker is not None:
        await _slow(daemon.worker, length_s)


async def _slow(proxy: Proxy, length_s: float) -> None:
    proxy.delay_s = random.choice(LINK_DELAYS_S)
    await asyncio.sleep(length_s)
    proxy.delay_s = (0.0, 0.0)


@fault
async def hold_links(daemon: Daemon, length_s: float) -> None:
    """Hold back what passes on some links of the process, one way or both."""
    gateway = daemon.gateway
    if gateway is None or not gateway.channels:
        return
    targets = sorted({channel.target for channel in gateway.channels})
    chosen = random.sample(targets, random.randint(1, len(targets)))
    ways = random.choice(([Way.TO_TARGET], [Way.FROM_TARGET], list(Way)))
    held = {(target, way) for target in chosen for way in ways}
    gateway.hold(held)
    await asyncio.sleep(length_s)
    gateway.release(held)


async def _proxy_fault(proxy: Proxy, mode: Mode, length_s: float) -> None:
    proxy.set_mode(mode)
    await asyncio.sleep(length_s)
    # Connections that were silent stay so: only a time limit of the caller shows it.
    proxy.set_mode(Mode.CUT)
    proxy.set_mode(Mode.PASS)
