"""Agent daemon: runs an agent core with its gRPC streams and upstream client."""

from __future__ import annotations

import asyncio
import random

from ..agent_core._agent_core import AgentCore
from ..agent_core._agent_state import AgentState
from ..foundation._clock import Clock, SystemClock
from ..foundation._ids import agent_process, entry_process
from ..observability._logs import EventLog
from ..observability._metrics import Metrics
from ..protocol import _effects as fx
from ..protocol._messages import AgentHello, Message, Reason, TaskStart
from ..settings._settings import AgentSettings
from ..transport._http_server import HttpServer
from ..transport._transport import Transport
from ..transport._upstream_client import UpstreamClient
from ..transport._worker_client import WorkerClient
from ._agent_http import build_agent_app
from ._runner import CoreRunner
from ._serving import serve_until_stopped

# Time for unsent messages and running HTTP requests when the process ends.
CLOSE_TIMEOUT_S = 2.0


class AgentDaemon:
    """A running agent.

    Args:
        settings: The agent's settings.
        clock: Clock of the process; the system clock by default.

    Attributes:
        state: State of the decision core.
        leaving: Whether the process was asked to stop.
        stopped: Set when the process may end: by the core, or at the stop limit.
    """

    def __init__(self, settings: AgentSettings, *, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.leaving = False
        self.stopped = asyncio.Event()
        rng = random.SystemRandom()
        self.state = AgentState.from_settings(settings, number=rng.getrandbits(62) + 1)
        self.runner = CoreRunner(AgentCore(self.state), self.clock, self._apply_effects)
        self.transport = Transport(
            process=agent_process(settings.name),
            make_hello=self._make_hello,
            post=self.runner.post,
            tls=settings.tls,
            seed=rng.getrandbits(62),
        )
        self.upstream = UpstreamClient(
            settings.upstream_http,
            self.clock,
            connections=settings.connections,
            check_start=self._check_start,
            post=self.runner.post,
        )
        self.worker = WorkerClient(settings.worker, self.runner.post)
        self.http = HttpServer(
            build_agent_app(self.state, self.runner.post),
            settings.listen.http_address,
        )
        self.events = EventLog.from_settings(settings)
        self.metrics = Metrics.from_settings(
            settings.metrics, agent_process(settings.name)
        )
        self._peer_addresses: dict[str, str] = {}

    def __repr__(self) -> str:
        return f"<AgentDaemon {self.state.incarnation}>"

    def _make_hello(self) -> Message:
        state = self.state
        return AgentHello(
            agent=state.incarnation,
            upstream=self.settings.upstream,
            service=self.settings.service,
            region=self.settings.region,
            data_centre=self.settings.data_centre,
            rack=self.settings.rack,
            slots=state.slots,
            connections=state.connections,
            cores=self.settings.cores,
            memory_mb=self.settings.memory_mb,
            accelerators=self.settings.accelerators,
            grant_epoch=0,
            clock_ms=self.clock.now_ms(),
        )

    async def start(self) -> None:
        """Start the core, the worker client and the HTTP server; connect to entries."""
        self.runner.start()
        self.worker.start()
        self.http.start()
        self._update_peers()

    def _check_start(self, start: TaskStart) -> Reason:
        # The process may have been suspended since the core accepted the start.
        now_ms = self.clock.now_ms()
        if now_ms > start.start_by_ms:
            return Reason.START_BY
        if not self.state.freshness.is_current(now_ms):
            return Reason.NOT_CURRENT
        return Reason.NONE

    # Effects of the core

    def _apply_effects(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            match effect:
                case fx.Send(to, message):
                    self.transport.send(to, message)
                case fx.CallUpstream(start):
                    self.upstream.call(start)
                case fx.AbortUpstream(start):
                    self.upstream.abort(start)
                case fx.SetPeers(addresses):
                    self._peer_addresses = addresses
                case fx.Emit():
                    self._record_event(effect)
                case fx.Stop():
                    self.stopped.set()
        self._update_peers()

    def _record_event(self, event: fx.Emit) -> None:
        self.events.write(event)
        self.metrics.event(event)

    def _update_peers(self) -> None:
        """Keep streams open to the peers that the core has set.

        While no stream to the home is open, add all known entries and seeds.
        """
        peers = dict(self._peer_addresses)
        if self.state.home_process not in self.transport.open_links:
            if self.state.view is not None:
                for entry in self.state.view.entries:
                    peers[entry_process(entry.name)] = entry.address
            known = set(peers.values())
            for address in _split_addresses(self.settings.seeds.entries):
                if address not in known:
                    peers[f"seed/{address}"] = address
        self.transport.set_peers(peers)

    # Shutdown

    async def run(self) -> None:
        """Serve until `stopped` is set, then close all connections.

        Raises:
            Exception: Any exception that a step of the core raised.
        """
        try:
            await serve_until_stopped(
                self.stopped,
                self.runner,
                send_gauges=lambda: self.metrics.agent_gauges(self.state),
                gauges_interval_ms=self.settings.metrics.interval_ms,
            )
        finally:
            await self._close()

    async def leave(self) -> None:
        """Stop gracefully: refuse new tasks, finish the running ones, and end."""
        if self.leaving:
            return
        self.leaving = True
        self.runner.post(fx.LeaveRequested())
        limit_s = self.settings.listen.stop_limit_ms / 1_000
        try:
            await asyncio.wait_for(self.stopped.wait(), limit_s)
        except TimeoutError:
            self._record_event(fx.Emit("daemon", "stop limit reached"))
            self.stopped.set()

    async def _close(self) -> None:
        await self.transport.close(CLOSE_TIMEOUT_S)
        self.runner.stop()
        await self.upstream.close()
        await self.worker.close()
        await self.http.stop(CLOSE_TIMEOUT_S)


def _split_addresses(text: str) -> list[str]:
    return [address.strip() for address in text.split(",") if address.strip()]
