"""The agent process: an agent core with its gRPC stream and its upstream."""

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
from ._serving import serve

FLUSH_LIMIT_S = 2.0


class AgentDaemon:
    """A running agent.

    Args:
        settings: The agent's settings.
        clock: The process's clock.

    Attributes:
        state: State of the core.
        leaving: The process was asked to stop.
        stopped: Set when the core or the time limit lets the process end.
    """

    def __init__(self, settings: AgentSettings, *, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.leaving = False
        self.stopped = asyncio.Event()
        rng = random.SystemRandom()
        self.state = AgentState.from_settings(settings, number=rng.getrandbits(62) + 1)
        self.runner = CoreRunner(AgentCore(self.state), self.clock, self._carry_out)
        self.transport = Transport(
            process=agent_process(settings.name),
            greeting=self._greeting,
            post=self.runner.post,
            tls=settings.tls,
            seed=rng.getrandbits(62),
        )
        self.upstream = UpstreamClient(
            settings.upstream_http,
            self.clock,
            connections=settings.connections,
            may_start=self._may_start,
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
        self._peers: dict[str, str] = {}

    def __repr__(self) -> str:
        return f"<AgentDaemon {self.state.incarnation}>"

    def _greeting(self) -> Message:
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
        """Find a home and serve."""
        self.runner.start()
        self.worker.start()
        self.http.start()
        self._update_peers()

    def _may_start(self, start: TaskStart) -> Reason:
        # The process may have been stopped since the core decided.
        now_ms = self.clock.now_ms()
        if now_ms > start.start_by_ms:
            return Reason.START_BY
        if not self.state.freshness.is_current(now_ms):
            return Reason.NOT_CURRENT
        return Reason.NONE

    # Effects

    def _carry_out(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            match effect:
                case fx.Send(to, message):
                    self.transport.send(to, message)
                case fx.CallUpstream(start):
                    self.upstream.call(start)
                case fx.AbortUpstream(start):
                    self.upstream.abort(start)
                case fx.SetPeers(addresses):
                    self._peers = addresses
                case fx.Emit():
                    self._record(effect)
                case fx.Stop():
                    self.stopped.set()
        self._update_peers()

    def _record(self, event: fx.Emit) -> None:
        self.events.write(event)
        self.metrics.event(event)

    def _update_peers(self) -> None:
        """Open streams to the peers, and to more entries while none is home."""
        peers = dict(self._peers)
        if self.state.home_process not in self.transport.open_links:
            if self.state.view is not None:
                for entry in self.state.view.entries:
                    peers[entry_process(entry.name)] = entry.address
            known = set(peers.values())
            for address in _addresses(self.settings.seeds.entries):
                if address not in known:
                    peers[f"seed/{address}"] = address
        self.transport.set_peers(peers)

    # Stop

    async def run(self) -> None:
        """Serve until the process may end.

        Raises:
            Exception: What a step of the core raised.
        """
        try:
            await serve(
                self.stopped,
                self.runner,
                send_gauges=lambda: self.metrics.agent_gauges(self.state),
                gauges_interval_ms=self.settings.metrics.interval_ms,
            )
        finally:
            await self._close()

    async def leave(self) -> None:
        """Stop gracefully: take no new task, finish those that run, and end."""
        if self.leaving:
            return
        self.leaving = True
        self.runner.post(fx.LeaveRequested())
        limit_s = self.settings.listen.stop_limit_ms / 1_000
        try:
            await asyncio.wait_for(self.stopped.wait(), limit_s)
        except TimeoutError:
            self._record(fx.Emit("daemon", "stop limit reached"))
            self.stopped.set()

    async def _close(self) -> None:
        await self.transport.close(FLUSH_LIMIT_S)
        self.runner.stop()
        await self.upstream.close()
        await self.worker.close()
        await self.http.stop(FLUSH_LIMIT_S)


def _addresses(text: str) -> list[str]:
    return [address.strip() for address in text.split(",") if address.strip()]
