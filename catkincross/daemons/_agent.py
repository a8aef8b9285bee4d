"""The agent daemon, which controls the worker on its host."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import Any

import attrs

from ..clock import Clock
from ..foundation._background import spawn, spawn_repeated
from ..http11 import ErrorReportingApp
from ..peers import Greeting, Link, Members, ReportTo, connect
from ..platform import (
    HeartbeatApp,
    NodeSettings,
    RenewalFenced,
    StoreClient,
    WorkerClient,
)
from ..transport._http_server import HttpServer
from ..workers import (
    Note,
    Registration,
    SendToEntry,
    StartOutcome,
    StartRun,
    StopRun,
    WorkerCore,
)
from ._core_loop import CoreLoop
from ._log import DecisionLog
from ._membership import ShardOwners
from ._own_settings import OwnSettings

CONNECT_TIMEOUT_S = 0.5
# Interval at which the links are checked, and, while no link is open, at which the
# owners are read from the store, in seconds.
DISCOVERY_INTERVAL_S = 0.2
# Interval at which the owners are read from the store while a link is open, in seconds;
# entries announce changes to their agents sooner.
OWNERS_INTERVAL_S = 5.0
# Delay between the answer to a lease renewal and the next renewal, in seconds.
RENEWAL_PAUSE_S = 0.015
# Delay before the next lease renewal if the worker did not answer, in seconds.
RENEWAL_RETRY_S = 0.05
# Time reserved between the end of the process and SIGKILL, in seconds.
EXIT_RESERVE_S = 1.0
# Largest number of renewals that follow a start order without an answer. If none of
# them is answered either, the regular renewals go on.
SETTLE_ATTEMPTS = 4
# Interval of the check for running tasks at shutdown, in seconds.
DRAIN_POLL_S = 0.05
MS_PER_S = 1_000


class AgentDaemon:
    """Runs the agent's core and connects it to its worker, the entries and the store.

    Args:
        settings: Settings from the platform.
        clock: Clock of the process.
        log: Log of the process.
        own_settings: Settings from the daemons' INI file; None for the defaults.
        sockets: Sockets that listen already, by address; None for none.

    Attributes:
        incarnation: Start of the process, in milliseconds since 1970.
        core: The decision logic.
        links: Open links to entries, by address.
        connecting: Addresses to which a link is being opened.
        links_opened: Number of links opened so far.
        leaving: Whether the agent is shutting down.
        worker_reachable: Whether the worker answered the last lease renewal.
        stopped: Event that is set when the process may end.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        log: DecisionLog,
        own_settings: OwnSettings | None = None,
        sockets: dict[str, socket.socket] | None = None,
    ) -> None:
        self.sockets = sockets or {}
        own_settings = own_settings or OwnSettings()
        self.settings = settings
        self.clock = clock
        self.log = log
        self.incarnation = time.time_ns() // 1_000_000
        self.core = WorkerCore(
            own_settings.worker_limits(settings),
            self.incarnation,
            host=settings.name,
            data_centre=settings.data_centre,
        )
        self.store = StoreClient(settings.store)
        self.store.on_invalid = log.note_invalid_answer
        self.owners = ShardOwners(self.store)
        self.worker = WorkerClient(settings.worker)
        self.links: dict[str, Link] = {}
        self.connecting: set[str] = set()
        self.links_opened = 0
        self.leaving = False
        self.worker_reachable = True
        self.stopped = asyncio.Event()
        self.core_loop = CoreLoop(self.core, clock, self._execute, log.note_error)

    async def start(self) -> None:
        """Serve heartbeats and start the background tasks."""
        self.log.note("start", worker_address=self.settings.worker)
        app = HeartbeatApp(
            self._on_heartbeat, self._on_worker_left, self._on_invalid_heartbeat
        )
        address = self.settings.control
        self.control = HttpServer(
            ErrorReportingApp(app, self.log.note_request_error),
            address,
            listening_socket=self.sockets.get(address),
        )
        self.control.start()
        for run in (
            self._maintain_links,
            self._poll_owners,
            self._renew_lease_repeatedly,
        ):
            spawn_repeated(run, self.log.note_error)
        self.core_loop.schedule_step()

    async def run(self) -> None:
        """Wait until the daemon has shut down."""
        await self.stopped.wait()

    async def leave(self) -> None:
        """Shut down gracefully.

        Takes no new runs, waits within the grace period until all runs have ended and
        their ends are durable, then closes the connections.
        """
        if self.leaving:
            return
        self.log.note("stop", runs=len(self.core.state.runs))
        self.leaving = True
        self.core.leave(self.clock.now_ms())
        self.core_loop.schedule_step()
        limit_ms = self.settings.grace_ms - EXIT_RESERVE_S * MS_PER_S
        deadline_ms = self.clock.now_ms() + limit_ms
        while self.core.busy and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)
        await self.control.stop(DRAIN_POLL_S)
        await self.store.close()
        await self.worker.close()
        self.log.note("stopped", runs=len(self.core.state.runs))
        self.stopped.set()

    def reload(self, settings: NodeSettings, own_settings: OwnSettings) -> None:
        """Replace the settings in force.

        The number of shards and the addresses on which this process listens stay.
        """
        limits = own_settings.worker_limits(settings)
        shards = self.core.state.limits.shards
        self.settings = settings
        self.core.update_limits(attrs.evolve(limits, shards=shards))
        self.store.set_address(settings.store)
        self.worker.set_address(settings.worker)

    # The worker.

    def _on_heartbeat(self, registration: Registration) -> None:
        if self.core.handle_heartbeat(self.clock.now_ms(), registration):
            self.core_loop.schedule_step()

    def _on_worker_left(self, worker: str) -> None:
        self.core.handle_worker_left(self.clock.now_ms(), worker)
        self.core_loop.schedule_step()

    def _on_invalid_heartbeat(self, worker: str) -> None:
        self.log.note("heartbeat not read", worker=worker)

    async def _renew_lease_repeatedly(self) -> None:
        while True:
            try:
                answered = await self._renew_lease()
            except RenewalFenced:
                continue
            # With unacknowledged ends, the worker answers the next renewal without
            # waiting, so the pause limits the rate.
            await asyncio.sleep(RENEWAL_PAUSE_S if answered else RENEWAL_RETRY_S)

    async def _renew_lease(self) -> bool:
        """Renew the worker's lease once; return whether the worker answered.

        Raises:
            RenewalFenced: If the fencing token was too low; it has been raised.
        """
        sent_ms = self.clock.now_ms()
        renewal = self.core.next_renewal(sent_ms)
        try:
            reply = await self.worker.renew_lease(renewal)
        except RenewalFenced:
            self.core.handle_renewal_fenced(self.clock.now_ms(), renewal)
            raise
        self._set_worker_reachable(reply is not None)
        if reply is None:
            return False
        self.core.handle_renewal_reply(self.clock.now_ms(), sent_ms, renewal, reply)
        self.core_loop.schedule_step()
        return True

    def _set_worker_reachable(self, reachable: bool) -> None:
        """Record whether the worker answers, and log each change."""
        if reachable == self.worker_reachable:
            return
        self.worker_reachable = reachable
        event = "worker answers again" if reachable else "worker gives no answer"
        self.log.note(event, worker=self.core.state.worker)

    async def _start_run(self, order: StartRun) -> None:
        if not self.core.is_wanted(order):
            # The entry has been told of the run's end since the order was made.
            return
        try:
            outcome = await self.worker.start(order.worker, order)
        except Exception as error:
            self.log.note_error("start order", error)
            outcome = StartOutcome.UNANSWERED
        self.core.handle_start_outcome(self.clock.now_ms(), order, outcome)
        self.core_loop.schedule_step()
        if outcome is StartOutcome.UNANSWERED:
            await self._settle_order()

    async def _settle_order(self) -> None:
        """Renew the lease until the worker answers, after an order without an answer.

        The renewal in progress may wait for an end for 250 ms. This one is answered at
        once, and decides whether the run can still start.
        """
        for _ in range(SETTLE_ATTEMPTS):
            with contextlib.suppress(RenewalFenced):
                if await self._renew_lease():
                    return

    async def _stop_run(self, order: StopRun) -> None:
        try:
            await self.worker.stop(order.worker, order)
        except Exception as error:
            # The core repeats the order until the run has ended.
            self.log.note_error("stop order", error)

    # The entries.

    async def _poll_owners(self) -> None:
        while True:
            refreshed = await self.owners.refresh()
            self.core.update_store_entries(
                self.clock.now_ms(),
                self.owners.entries(),
                self.owners.addresses_by_shard(),
            )
            self._update_links()
            linked = bool(self.links) and refreshed
            await asyncio.sleep(OWNERS_INTERVAL_S if linked else DISCOVERY_INTERVAL_S)

    async def _maintain_links(self) -> None:
        while True:
            self._update_links()
            await asyncio.sleep(DISCOVERY_INTERVAL_S)

    def _update_links(self) -> None:
        """Open and close links to entries as the core decides."""
        changes = self.core.link_changes(self.clock.now_ms())
        for address, reason in changes.to_close:
            self.log.note("entry link closed", entry=address, reason=reason)
            self.links[address].close()
        for address in changes.to_open:
            if address not in self.connecting:
                self.connecting.add(address)
                spawn(self._connect(address))

    async def _connect(self, address: str) -> None:
        def make_link() -> Link:
            return Link(self._on_message, self._on_close, self.log.note_error)

        try:
            link = await connect(address, make_link, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            self.log.note("entry not reached", entry=address, error=repr(error))
            self.connecting.discard(address)
            self.core.handle_connect_failed(self.clock.now_ms(), address)
            return
        self.connecting.discard(address)
        link.peer = address
        self.links[address] = link
        self.links_opened += 1
        name, number = self.settings.name, self.links_opened
        link.send(Greeting("agent", name, self.incarnation, link_number=number))
        self.core.handle_entry_connected(self.clock.now_ms(), address)
        self.log.note("entry connected", entry=address)
        self.core_loop.schedule_step()

    def _on_message(self, link: Link, message: Any) -> None:
        self.core.handle_entry_message(self.clock.now_ms(), link.peer, message)
        if isinstance(message, Members | ReportTo):
            self._update_links()
        self.core_loop.schedule_step()

    def _on_close(self, link: Link) -> None:
        if self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.core.handle_entry_lost(self.clock.now_ms(), link.peer)
            self.log.note("entry lost", entry=link.peer)
            # Several links may be closed in one update, which must not begin another.
            asyncio.get_running_loop().call_soon(self._update_links)

    # Effects of the core.

    def _execute(self, effect: Any) -> None:
        match effect:
            case SendToEntry(entry, message):
                link = self.links.get(entry)
                if link is not None:
                    link.send(message)
            case StartRun():
                spawn(self._start_run(effect))
            case StopRun():
                spawn(self._stop_run(effect))
            case Note(event, fields):
                self.log.note(event, **fields)
