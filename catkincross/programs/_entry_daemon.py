"""Entry daemon: runs an entry core with its HTTP, gRPC and log connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from ..entry_core._entry_core import EntryCore
from ..entry_core._entry_state import EntryState
from ..foundation._clock import Clock, SystemClock
from ..foundation._ids import Incarnation
from ..http_api._http_app import build_app
from ..observability._logs import EventLog
from ..observability._metrics import Metrics
from ..protocol import _effects as fx
from ..protocol._messages import NO_EVIDENCE, JobAnswer, Message, PeerHeartbeat
from ..settings._settings import EntrySettings
from ..transport._http_server import HttpServer
from ..transport._log_client import HttpLogClient, LogClient
from ..transport._log_feed import LogFeed
from ..transport._transport import Transport
from ._runner import CoreRunner
from ._serving import serve_until_stopped

# Time for unsent messages and running HTTP requests when the process ends.
CLOSE_TIMEOUT_S = 2.0


class EntryDaemon:
    """A running entry; implements `EntryGateway` for its HTTP applications.

    Args:
        settings: The entry's settings.
        clock: Clock of the process; the system clock by default.
        log_client: Client of the log; by default an HTTP client for the URL in the
            settings.

    Attributes:
        state: State of the decision core.
        leaving: Whether the process was asked to stop.
        stopped: Set when the process may end: by the core, or at the stop limit.
    """

    def __init__(
        self,
        settings: EntrySettings,
        *,
        clock: Clock | None = None,
        log_client: LogClient | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = random.SystemRandom()
        self.leaving = False
        self.stopped = asyncio.Event()
        self.state = EntryState.from_settings(
            settings, address=settings.listen.grpc_address, seed=self._random_seed()
        )
        self.runner = CoreRunner(EntryCore(self.state), self.clock, self._apply_effects)
        self.transport = Transport(
            process=self.state.process,
            make_hello=self._make_hello,
            post=self.runner.post,
            tls=settings.tls,
            seed=self._random_seed(),
        )
        self.log_feed = LogFeed(
            log_client or HttpLogClient(settings.log),
            self.clock,
            version=lambda: self.state.control.version,
            post=self.runner.post,
            wait_ms=settings.log.wait_ms,
            seed=self._random_seed(),
        )
        self.events = EventLog.from_settings(settings)
        self.metrics = Metrics.from_settings(settings.metrics, self.state.process)
        self.http = HttpServer(
            build_app(self, settings, metrics=self.metrics),
            settings.listen.http_address,
            tls=settings.tls if settings.http.tls else None,
        )
        self._effect_handlers = self._build_effect_handlers()
        self._reply_waiters: dict[int, asyncio.Future[Any]] = {}
        self._last_request_id = 0
        self._version_waiters: set[asyncio.Future[None]] = set()
        self._notified_version = 0

    def __repr__(self) -> str:
        return f"<EntryDaemon {self.state.name} at {self.state.address}>"

    def _random_seed(self) -> int:
        return self.rng.getrandbits(62)

    def _make_hello(self) -> Message:
        return PeerHeartbeat(
            sender=self.state.incarnation or Incarnation(self.state.name, 0),
            sent_ms=self.clock.now_ms(),
            echo_ms=NO_EVIDENCE,
            echo_delay_ms=0,
            version=0,
            log_reachable=False,
            evidence_age_ms=NO_EVIDENCE,
        )

    async def start(self) -> None:
        """Listen for streams; start the core, the log feed and the HTTP server."""
        self.state.address = await self.transport.serve(
            self.settings.listen.grpc_address
        )
        self.runner.start()
        self.log_feed.start()
        self.http.start()

    # Effects of the core

    def _apply_effects(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            self._effect_handlers[type(effect)](effect)
        if self.state.control.version != self._notified_version:
            self._notified_version = self.state.control.version
            for waiter in self._version_waiters:
                if not waiter.done():
                    waiter.set_result(None)

    def _build_effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        transport, log = self.transport, self.log_feed
        return {
            fx.Send: lambda effect: transport.send(effect.to, effect.message),
            fx.SetPeers: lambda effect: transport.set_peers(effect.addresses),
            fx.Append: lambda effect: log.append(effect.record),
            fx.WriteSnapshot: lambda effect: log.write_snapshot(
                effect.version, effect.body
            ),
            fx.ReadSnapshot: lambda effect: log.read_snapshot(),
            fx.Reply: lambda effect: self._resolve_reply(
                effect.request_id, effect.answer
            ),
            fx.ChangeReply: lambda effect: self._resolve_reply(
                effect.request_id, effect
            ),
            fx.Emit: self._record_event,
            fx.Stop: lambda effect: self.stopped.set(),
        }

    def _record_event(self, event: fx.Emit) -> None:
        self.events.write(event)
        self.metrics.event(event)

    def _resolve_reply(
        self, request_id: int, answer: JobAnswer | fx.ChangeReply
    ) -> None:
        waiter = self._reply_waiters.get(request_id)
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    # Gateway of the HTTP applications

    async def request(
        self, make_item: Callable[[int], Any], *, timeout_ms: int
    ) -> JobAnswer | fx.ChangeReply | None:
        """Post an inbox item and wait for its reply, as `EntryGateway` describes."""
        self._last_request_id += 1
        request_id = self._last_request_id
        waiter = asyncio.get_running_loop().create_future()
        self._reply_waiters[request_id] = waiter
        self.runner.post(make_item(request_id))
        try:
            return await asyncio.wait_for(waiter, timeout_ms / 1_000)
        except TimeoutError:
            return None
        finally:
            del self._reply_waiters[request_id]
            if waiter.cancelled():
                self.runner.post(fx.CallerGone(request_id))

    async def wait_for_version_change(self, version: int, *, timeout_ms: int) -> int:
        """Wait until the control version differs, as `EntryGateway` describes."""
        if self.state.control.version == version:
            waiter = asyncio.get_running_loop().create_future()
            self._version_waiters.add(waiter)
            try:
                await asyncio.wait_for(waiter, timeout_ms / 1_000)
            except TimeoutError:
                pass
            finally:
                self._version_waiters.discard(waiter)
        return self.state.control.version

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
                send_gauges=lambda: self.metrics.entry_gauges(self.state),
                gauges_interval_ms=self.settings.metrics.interval_ms,
            )
        finally:
            await self._close()

    async def leave(self) -> None:
        """Stop gracefully: announce the leave, finish running requests, and end."""
        if self.leaving:
            return
        self.leaving = True
        limit_s = self.settings.listen.stop_limit_ms / 1_000
        try:
            await asyncio.wait_for(self._shut_down(), limit_s)
        except TimeoutError:
            self._record_event(fx.Emit("daemon", "stop limit reached"))
        self.stopped.set()

    async def _shut_down(self) -> None:
        self.runner.post(fx.LeaveRequested())
        # The load balancer needs time to see that /readyz answers 503.
        await asyncio.sleep(self.settings.listen.unready_ms / 1_000)
        await self.http.stop(self.settings.listen.stop_limit_ms / 1_000)
        await self.stopped.wait()

    async def _close(self) -> None:
        await self.http.stop(CLOSE_TIMEOUT_S)
        await self.transport.close(CLOSE_TIMEOUT_S)
        self.runner.stop()
        await self.log_feed.close()
