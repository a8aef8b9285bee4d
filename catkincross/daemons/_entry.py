"""The entry daemon, which serves client accounts and owns shards."""

from __future__ import annotations

import asyncio
import socket
import time
from functools import partial
from typing import Any

import attrs

from ..clock import Clock
from ..dispatch import JobClaims, PeerVolatileJobs
from ..foundation._background import spawn, spawn_repeated
from ..http11 import ErrorReportingApp
from ..jobs import JobSpec, to_fields
from ..owner import (
    Append,
    BroadcastToEntries,
    ClaimShard,
    Note,
    OwnerCore,
    Reply,
    SendToAgent,
)
from ..peers import Answer, Ask, Backlog, Greeting
from ..platform import (
    DeclarationFeed,
    GroupAssignment,
    JobApiApp,
    NodeSettings,
    StoreClient,
)
from ..transport._http_server import HttpServer
from ._core_loop import CoreLoop
from ._core_requests import pass_request, send_reply
from ._declarations import DeclarationFollower
from ._entry_links import REQUEST_RELEASE_MS, EntryLinks
from ._job_claimer import JobClaimer
from ._log import DecisionLog
from ._lost_runs_proof import LostRunsProof
from ._membership import ShardOwners, maintain_membership, member_name
from ._own_settings import OwnSettings
from ._owner_requests import OwnerRequests
from ._store_effects import append_records, claim_shard
from ._volatile_requests import VolatileRequests

# Time for which the entry goes on serving after SIGTERM, in seconds: the load balancer
# removes a host after two failed probes, one second apart.
DRAIN_S = 2.4
# Time limit for the handover of the shards at shutdown, in seconds.
HANDOVER_TIMEOUT_S = 1.0
# Time reserved between the end of the process and SIGKILL, in milliseconds.
EXIT_RESERVE_MS = 1_000
# Interval at which the wall clock is compared with the clock of the process, in
# seconds.
WALL_CLOCK_INTERVAL_S = 0.4
MS_PER_S = 1_000


class EntryDaemon:
    """Connects an owner's core to client accounts, agents, entries and the store.

    Args:
        settings: Settings from the platform.
        clock: Clock of the process.
        log: Log of the process.
        own_settings: Settings from the daemons' INI file; None for the defaults.
        sockets: Sockets that listen already, by address; None for none.
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
        self.address = f"{settings.ip}:{settings.first_port}"
        self.member = member_name(
            settings.name, self.address, self.incarnation, settings.data_centre
        )
        limits = own_settings.owner_limits(settings)
        self.core = OwnerCore(settings.name, limits, self.incarnation)
        self.store = StoreClient(settings.store)
        self.store.on_invalid = log.note_invalid_answer
        self.store.on_failure = log.note_failed_call
        self.owners = ShardOwners(self.store)
        self.owners.on_change = self._on_entries_changed
        self._update_wall_clock()
        self.greeting = Greeting(
            "entry",
            settings.name,
            self.incarnation,
            self.address,
            settings.data_centre,
        )
        self.owner_requests = OwnerRequests(
            self.owners,
            clock,
            self.greeting,
            self.member,
            settings.shards,
            self._ask_local,
            log.note_error,
        )
        self.owner_requests.on_backlogs = self.core.update_peer_backlogs
        self.feed = DeclarationFeed(self.store, settings.config_ms, clock, self.address)
        self.follower = DeclarationFollower(
            self.feed, self.owner_requests, clock, log, self._on_declarations_changed
        )
        self.peer_jobs = PeerVolatileJobs(
            limits.volatile_expiry_ms,
            REQUEST_RELEASE_MS,
            (settings.name, self.incarnation),
        )
        self.peer_jobs.named = self.owners.named_entries
        self.leaving = False
        self.store_reachable = True
        self.open_requests = 0
        self.stopped = asyncio.Event()
        self.core_loop = CoreLoop(self.core, clock, self._execute, log.note_error)
        self.entry_links = EntryLinks(
            self.core,
            self.core_loop.schedule_step,
            clock,
            log,
            self.greeting,
            self.owners,
            self.peer_jobs,
            self._ask_core,
        )
        self.entry_links.backlog = self._backlog
        self.entry_links.answer_question = self.follower.answer_question
        claims = JobClaims(self.peer_jobs, self.address, clock.now_ms())
        proof = LostRunsProof(self.core, self.owner_requests, clock, log)
        self.claimer = JobClaimer(
            claims, self.owner_requests, self.core, clock, log, proof
        )
        self.volatile_requests = VolatileRequests(
            self.core,
            self.core_loop,
            self.peer_jobs,
            self.owner_requests,
            clock,
            log,
            self.claimer,
        )
        self.owner_requests.on_connected = self.volatile_requests.announce_all
        self._join_task: asyncio.Task[None] | None = None

    @property
    def declarations(self) -> Any:
        """The operators' declarations in force."""
        return self.feed.declarations

    @property
    def declarations_confirmed(self) -> bool:
        """Whether each change of the declarations that has to be in force is."""
        return self.follower.confirmed

    async def wait_for_declarations(self, timeout_ms: int) -> None:
        """Wait until declarations were read, unless the store gives no answer.

        Args:
            timeout_ms: Longest wait, in milliseconds.
        """
        if self.store_reachable:
            await self.follower.wait_for_first(timeout_ms)

    @property
    def ready(self) -> bool:
        """Whether the entry wants new connections, as the readiness probe reports."""
        initialized = self.declarations.version >= 0 and bool(self.owners.by_shard)
        return initialized and not self.leaving

    async def start(self) -> None:
        """Open the ports and start the background tasks."""
        self.log.note(
            "start", member=self.member, data_centre=self.settings.data_centre
        )
        await self.entry_links.serve(self.address)
        self._join_task = spawn_repeated(self._maintain_membership, self.log.note_error)
        app = JobApiApp(self)
        self.client_server = self._create_server(app, self.settings.front)
        self.probe_server = self._create_server(app, self.settings.ready)
        self.client_server.start()
        self.probe_server.start()
        for run in (
            self.owners.poll,
            self.follower.follow,
            partial(self.owner_requests.maintain_links, self._backlog),
            self.entry_links.close_silent_links,
            self._follow_wall_clock,
            self.volatile_requests.announce_jobs,
        ):
            spawn_repeated(run, self.log.note_error)
        self.core_loop.schedule_step()

    async def _maintain_membership(self) -> None:
        await maintain_membership(
            self.store,
            self.clock,
            self.member,
            self.settings.member_ttl_ms,
            self._on_joined,
            self._on_join_failed,
        )

    def _backlog(self) -> Backlog:
        return self.follower.stamp(self.core.backlog())

    def _create_server(self, app: JobApiApp, address: str) -> HttpServer:
        return HttpServer(
            ErrorReportingApp(app, self.log.note_request_error),
            address,
            listening_socket=self.sockets.get(address),
        )

    async def run(self) -> None:
        """Wait until the daemon has shut down."""
        await self.stopped.wait()

    async def leave(self) -> None:
        """Shut down gracefully: hand over the shards, then finish open requests."""
        if self.leaving:
            return
        self.log.note(
            "stop",
            open_requests=self.open_requests + self.volatile_requests.open_requests,
        )
        self.leaving = self.core.leaving = True
        start_ms = self.clock.now_ms()
        if self._join_task is not None:
            self._join_task.cancel()
        while self.core.state.shards:
            self.core.release_idle_shards(self.clock.now_ms())
            self.core_loop.schedule_step()
            await asyncio.sleep(0.01)
            if self.clock.now_ms() - start_ms > HANDOVER_TIMEOUT_S * MS_PER_S:
                break
        await self.store.leave(self.member)
        await self.owners.refresh()
        elapsed_s = (self.clock.now_ms() - start_ms) / MS_PER_S
        await asyncio.sleep(max(0.0, DRAIN_S - elapsed_s))
        serving_ms = self.settings.grace_ms - EXIT_RESERVE_MS
        await self.client_server.stop(max(serving_ms / MS_PER_S - DRAIN_S, 0.5))
        await self.volatile_requests.finish_forwarded(start_ms + serving_ms)
        await self.store.close()
        self.log.note("stopped")
        self.stopped.set()

    def reload(self, settings: NodeSettings, own_settings: OwnSettings) -> None:
        """Replace the settings in force, except listen addresses and shard count."""
        limits = own_settings.owner_limits(settings)
        self.settings = settings
        self.core.update_limits(attrs.evolve(limits, shards=self.owner_requests.shards))
        self.peer_jobs.run_expiry_ms = limits.volatile_expiry_ms
        self.store.set_address(settings.store)
        self.feed.set_apply_limit(settings.config_ms)

    # Requests of client accounts.

    async def submit(
        self, spec: JobSpec, timeout_ms: int, *, waited_ms: int = 0
    ) -> Answer:
        """Submit a job; a volatile one is answered at its end."""
        if spec.volatile:
            return await self.volatile_requests.submit(
                spec, timeout_ms, waited_ms=waited_ms
            )
        body = to_fields(spec)
        return await self._request("submit", spec.id, body, timeout_ms - waited_ms)

    async def job_state(self, job_id: str, timeout_ms: int) -> Answer:
        """Return the state of a job, as its owner knows it."""
        return await self._request("state", job_id, None, timeout_ms)

    async def cancel(self, job_id: str, timeout_ms: int) -> Answer:
        """Cancel a job."""
        return await self._request("cancel", job_id, None, timeout_ms)

    async def _request(
        self, verb: str, job_id: str, body: dict[str, Any] | None, timeout_ms: int
    ) -> Answer:
        self.open_requests += 1
        try:
            return await self.owner_requests.ask(verb, job_id, body, timeout_ms)
        finally:
            self.open_requests -= 1

    def pending_jobs(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue with no task started yet."""
        own_count = self.core.backlog().waiting_jobs.get(queue, 0)
        return own_count + self.owner_requests.pending_jobs(queue)

    def log_answer(
        self, verb: str, job_id: str, status: int, detail: str, *, took_ms: int
    ) -> None:
        """Log the answer to a request, except successful reads."""
        if verb == "GET" and status == 200:
            return
        version = self.declarations.version
        self.log.note(
            "answered",
            verb=verb,
            job=job_id,
            status=status,
            detail=detail,
            version=version,
            took_ms=took_ms,
        )

    def log_unknown_queue(self, verb: str, host: str, path: str) -> None:
        """Log the rejection of a request whose queue is not declared."""
        self.follower.note_unknown_queue(verb, host, path)

    def _ask_local(self, ask: Ask) -> asyncio.Future[Answer]:
        future = asyncio.get_running_loop().create_future()
        self._ask_core(future, ask)
        return future

    def _ask_core(self, request: Any, ask: Ask) -> None:
        pass_request(
            self.core,
            self.volatile_requests,
            self.claimer,
            request,
            ask,
            now_ms=self.clock.now_ms(),
        )
        self.core_loop.schedule_step()

    def _on_entries_changed(self) -> None:
        self.log.note("owners", owners=sorted(set(self.owners.by_shard.values())))
        self.entry_links.announce_entries()

    # The store.

    def _update_wall_clock(self) -> None:
        wall_ms = time.time_ns() // 1_000_000
        self.core.update_wall_clock(self.clock.now_ms(), wall_ms)

    async def _follow_wall_clock(self) -> None:
        while True:
            await asyncio.sleep(WALL_CLOCK_INTERVAL_S)
            self._update_wall_clock()

    def _on_joined(self, sent_ms: int, assignment: GroupAssignment) -> None:
        if not self.store_reachable:
            self.store_reachable = True
            self.follower.handle_store_back()
            self.log.note("store answers again")
        if self.leaving:
            return
        now_ms = self.clock.now_ms()
        self.core.update_shard_assignment(
            now_ms, sent_ms, assignment.shards, assignment.generation
        )
        self.core_loop.schedule_step()

    def _on_join_failed(self) -> None:
        if self.store_reachable:
            self.store_reachable = False
            self.follower.handle_store_lost()
            self.log.note("store gives no answer")

    def _on_declarations_changed(self) -> None:
        self.core.update_declarations(self.clock.now_ms(), self.feed.declarations)
        self.core_loop.schedule_step()

    # Effects of the core.

    def _execute(self, effect: Any) -> None:
        match effect:
            case SendToAgent(agent, message):
                self.entry_links.send_to_agent(agent, message)
            case BroadcastToEntries(message):
                self.owner_requests.broadcast(message)
            case Reply(request, answer):
                send_reply(request, answer)
            case Append():
                spawn(
                    self._run_then_step(
                        append_records(
                            self.core, self.store, self.clock, self.log, effect
                        )
                    )
                )
            case ClaimShard():
                coro = claim_shard(self.core, self.store, self.clock, self.log, effect)
                spawn(self._run_then_step(coro))
            case Note(event, fields):
                self.log.note(event, **fields)

    async def _run_then_step(self, coro: Any) -> None:
        await coro
        self.core_loop.schedule_step()
