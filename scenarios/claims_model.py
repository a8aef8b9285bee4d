"""Model of volatile jobs with the daemons' own claims, requests and links.

Each entry runs the product's asyncio code on a loop of its own in virtual time, and
the links between entries carry encoded messages. Channels can be reset or fall silent
for good, and entries can handle each message late.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace
from typing import Any

import attrs

from catkincross.daemons import _owner_requests
from catkincross.daemons._core_requests import pass_request, send_reply
from catkincross.daemons._declarations import DeclarationFollower
from catkincross.daemons._entry_links import REQUEST_RELEASE_MS, EntryLinks
from catkincross.daemons._job_claimer import JobClaimer
from catkincross.daemons._lost_runs_proof import LostRunsProof
from catkincross.daemons._membership import ShardOwners
from catkincross.daemons._owner_requests import OwnerRequests
from catkincross.daemons._volatile_requests import VolatileRequests
from catkincross.dispatch import JobClaims, PeerVolatileJobs
from catkincross.foundation._background import report_errors, spawn_repeated
from catkincross.owner import BroadcastToEntries, Reply
from catkincross.peers import STORE_SOURCE, Answer, Ask, Greeting, Link

from .declared_model import PROBE_MS, DeclaredLog, follow_declarations
from .platform_effects import LINK_MS, Host
from .platform_model import SHARDS, Model
from .volatile_model import START_MS, VolatileModel
from .volatile_requests import Node, Request


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop of one process, which runs in the time of the model.

    Args:
        now_ms: Returns the time in milliseconds.

    Attributes:
        name: Name of the process.
    """

    def __init__(self, name: str, now_ms: Callable[[], int]) -> None:
        super().__init__()
        self.name = name
        self.now_ms = now_ms
        self._clock_resolution = 0.0005
        self._selector = SimpleNamespace(select=lambda _: [])

    def time(self) -> float:
        """Return the time in seconds."""
        return self.now_ms() / 1_000

    def _process_events(self, _: Any) -> None:
        """Do nothing: there are no sockets."""

    def run_due(self) -> None:
        """Run all callbacks that are due now."""
        if not self._ready and not (
            self._scheduled and self._scheduled[0]._when <= self.time()
        ):
            return
        asyncio._set_running_loop(self)
        try:
            self._run_once()
            while self._ready:
                self._run_once()
        finally:
            asyncio._set_running_loop(None)


@attrs.define(eq=False)
class ChannelEnd(asyncio.Transport):
    """Transport of one end of a connection between two entries.

    Attributes:
        model: The model.
        owner: The process at this end.
        link: Link at this end.
        other: The other end.
        silent: Whether nothing passes any more, also no reset.
        closed: Whether this end is closed.
    """

    model: ClaimsModel
    owner: Daemon
    link: Link
    other: ChannelEnd | None = None
    silent: bool = False
    closed: bool = False

    def get_extra_info(self, *_: Any) -> Any:
        """Return a socket without options."""
        return SimpleNamespace(setsockopt=lambda *_: None)

    def get_write_buffer_size(self) -> int:
        """Return that nothing waits."""
        return 0

    def write(self, data: bytes) -> None:
        """Send data to the other end."""
        other = self.other
        if not self.silent and not self.closed and other is not None:
            self._pass(lambda: other.deliver(data))

    def deliver(self, data: bytes) -> None:
        """Pass on data that has arrived."""
        if not self.closed:
            self.link.data_received(data)

    def close(self) -> None:
        """Close this end; the other one reads the end."""
        if not self.closed:
            self.closed = True
            if not self.silent and self.other is not None:
                self._pass(self.other.end)

    def end(self) -> None:
        """Note that the connection has ended."""
        self.closed = True
        self.link.connection_lost(None)

    def _pass(self, call: Callable[[], None]) -> None:
        assert self.other is not None
        receiver = self.other.owner
        self.model.send(
            self.owner.host.name,
            receiver.host.name,
            lambda: receiver.receive(self.model.now_ms, call),
        )


class Daemon(Node):
    """The parts of an entry's daemon that handle volatile jobs.

    Attributes:
        loop: Its event loop.
        lag_ms: Time after which it handles each message.
        inbox: Messages that it has not handled, with the time at which it does.
        ends: Its ends of connections to other entries.
        follower: Its declarations.
    """

    loop: VirtualLoop
    lag_ms: int
    inbox: deque[tuple[int, Callable[[], Any]]]
    ends: list[ChannelEnd]
    follower: DeclarationFollower

    def call(self, function: Callable[..., Any], *args: Any) -> None:
        """Run something on the loop of the process."""
        if self.host.up:
            self.loop.call_soon(function, *args)

    def receive(self, now_ms: int, function: Callable[[], Any]) -> None:
        """Handle a message after those that have arrived before it."""
        due_ms = now_ms + self.lag_ms
        if self.inbox:
            due_ms = max(due_ms, self.inbox[-1][0])
        self.inbox.append((due_ms, function))

    def run_due(self, now_ms: int) -> None:
        """Run all that is due now."""
        while self.inbox and self.inbox[0][0] <= now_ms:
            self.loop.call_soon(self.inbox.popleft()[1])
        self.loop.run_due()

    def end(self) -> None:
        """End all tasks, of which nothing reaches another process."""
        for end in self.ends:
            end.closed = True
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_due()


def build_daemon(model: ClaimsModel, host: Host, started_ms: int) -> Daemon:
    """Return the daemon of an entry, with its background tasks."""
    name, core = host.name, host.core
    clock = SimpleNamespace(now_ms=lambda: model.now_ms)
    log = SimpleNamespace(
        note=lambda event, **fields: model.notes.append(
            (model.now_ms, name, event, fields)
        ),
        note_error=lambda what, error: model.errors.append((name, what, error)),
    )
    greeting = Greeting("entry", name, model.now_ms, name, "perth")
    expiry_ms = core.state.limits.volatile_expiry_ms
    peer_jobs = PeerVolatileJobs(
        expiry_ms, REQUEST_RELEASE_MS, (name, greeting.incarnation)
    )
    claims = JobClaims(peer_jobs, name, started_ms)
    daemon = Daemon(host, greeting, peer_jobs, claims)
    daemon.loop = VirtualLoop(name, lambda: model.now_ms)
    daemon.loop.set_exception_handler(
        report_errors(lambda what, error: model.errors.append((name, what, error)))
    )
    daemon.lag_ms = 0
    daemon.ends, daemon.inbox = [], deque()
    owners = ShardOwners(SimpleNamespace())
    member = f"{name}|{name}|{greeting.incarnation}|perth"
    peer_jobs.named = owners.named_entries
    requests = OwnerRequests(
        owners, clock, greeting, member, SHARDS, lambda _: None, log.note_error
    )

    def schedule_step() -> None:
        model.at(0, lambda: model.step(host))

    def ask_core(request: Any, ask: Ask) -> None:
        pass_request(core, volatile, claimer, request, ask, now_ms=model.now_ms)
        schedule_step()

    links = EntryLinks(
        core, schedule_step, clock, log, greeting, owners, peer_jobs, ask_core
    )
    owners.on_change = lambda: daemon.call(links.announce_entries)
    proof = LostRunsProof(core, requests, clock, log)
    claimer = JobClaimer(claims, requests, core, clock, log, proof)
    core_loop = SimpleNamespace(schedule_step=schedule_step)
    volatile = VolatileRequests(
        core, core_loop, peer_jobs, requests, clock, log, claimer
    )
    requests.on_connected = volatile.announce_all
    follower = follow_declarations(model, daemon, links, requests, clock, log)
    daemon.follower = follower
    daemon.links, daemon.owners, daemon.volatile = links, owners, volatile

    def start() -> None:
        spawn_repeated(lambda: requests.maintain_links(links.backlog), log.note_error)
        spawn_repeated(follower.follow, log.note_error)
        spawn_repeated(links.close_silent_links, log.note_error)
        spawn_repeated(volatile.announce_jobs, log.note_error)

    daemon.call(start)
    return daemon


@attrs.define(eq=False)
class ClaimsModel(VolatileModel):
    """The model; see `VolatileModel`.

    Attributes:
        errors: Unexpected errors by entry, with what failed.
        tasks: Requests of client accounts in progress, by key.
        declared: The operators' declarations.
    """

    declared: DeclaredLog = attrs.field(factory=DeclaredLog)
    errors: list[tuple[str, str, Exception]] = attrs.field(factory=list)
    tasks: dict[str, asyncio.Task[Answer]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Declare the first version, and start all processes."""
        self.declared.declare_next(self.now_ms)
        super().__attrs_post_init__()
        self.at(PROBE_MS, self._probe)

    # Time.

    def _probe(self) -> None:
        for daemon in self.nodes.values():
            if self.awake(daemon.host):
                self.declared.probe(daemon, self.now_ms)
        self.at(PROBE_MS, self._probe)

    def run(self, for_ms: int) -> None:
        """Let time pass, and the entries' loops run in each millisecond."""
        end_ms = self.now_ms + for_ms
        with _connections(self):
            while self.now_ms < end_ms:
                super().run(1)
                for daemon in list(self.nodes.values()):
                    if self.awake(daemon.host):
                        daemon.run_due(self.now_ms)

    # Processes.

    def start_entry(self, name: str) -> None:
        """Start an entry; it knows the other ones from the store."""
        Model.start_entry(self, name)
        host = self.owners[name]
        expiry_ms = host.core.state.limits.volatile_expiry_ms
        started_ms = self.now_ms if self.now_ms > START_MS else -expiry_ms
        self.nodes[name] = build_daemon(self, host, started_ms)
        self.announce_entries()

    def announce_entries(self) -> None:
        """Let all agents and entries know the entries that run."""
        super().announce_entries()
        entries = dict.fromkeys(self.owners, "perth")
        for daemon in self.nodes.values():
            daemon.call(daemon.owners.replace, STORE_SOURCE, entries)

    def kill(self, name: str, *, silent: bool = False) -> None:
        """Kill a process, or turn off its host, so that its links do not end."""
        daemon = self.nodes.get(name)
        super().kill(name, silent=silent)
        for end in daemon.ends if daemon else ():
            if silent:
                end.silent = True
                if end.other is not None:
                    end.other.silent = True
            else:
                end.close()
        if daemon is not None:
            daemon.end()

    def close(self) -> None:
        """End all tasks of the entries."""
        for daemon in self.nodes.values():
            daemon.end()

    def _lost(self, node: Node, lost: Node) -> None:
        """Do nothing: connections end by themselves."""

    def _maintain_links(self) -> None:
        """Do nothing: the daemons do it."""

    def _announce(self) -> None:
        """Do nothing: the daemons do it."""

    # Channels.

    async def open_channel(
        self, address: str, make_link: Callable[[], Link], timeout_s: float
    ) -> Link:
        """Open a connection from the process whose loop runs to another entry."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        client = self.nodes[loop.name]
        await asyncio.sleep(2 * LINK_MS / 1_000)
        server = self.nodes.get(address)
        if server is None:
            raise OSError("refused")
        if not self.is_connected(loop.name, address):
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        server_link = Link(
            server.links._on_message, server.links._on_close, lambda *_: None
        )
        one = ChannelEnd(self, client, make_link())
        other = ChannelEnd(self, server, server_link, one)
        one.other = other
        for end in (one, other):
            end.owner.ends = [e for e in end.owner.ends if not e.closed] + [end]
        one.link.connection_made(one)
        server.receive(self.now_ms, lambda: server_link.connection_made(other))
        return one.link

    def reset_channels(self, entry: str, *, silent: bool, agents: bool) -> None:
        """End all connections of an entry, or let them fall silent for good."""
        daemon = self.nodes.get(entry)
        for end in daemon.ends if daemon else ():
            other = end.other
            if silent:
                end.silent = other.silent = True
            else:
                end.owner.call(end.end)
                other.owner.call(other.end)
        if agents and daemon is not None:
            for agent in self.workers:
                self.reset_link(entry, agent, None, None)

    # Requests.

    def receive(self, name: str, request: Request) -> None:
        """Let an entry receive a request for a volatile job."""
        daemon = self.nodes[name]

        def start() -> None:
            timeout_ms = max(request.deadline_ms - self.now_ms, 0)
            task = daemon.loop.create_task(
                daemon.volatile.submit(request.spec, timeout_ms)
            )
            self.tasks[request.key] = task
            task.add_done_callback(finish)

        def finish(task: asyncio.Task[Answer]) -> None:
            self.tasks.pop(request.key, None)
            if not task.cancelled() and task.exception() is not None:
                self.errors.append((name, request.key, task.exception()))
            elif not task.cancelled():
                request.on_answer(task.result())

        daemon.receive(self.now_ms, start)

    def leave(self, name: str, request: Request) -> None:
        """Let an entry note that a client account has left."""
        daemon = self.nodes.get(name)

        def cancel() -> None:
            task = self.tasks.get(request.key)
            if task is not None:
                task.cancel()

        if daemon is not None:
            daemon.receive(self.now_ms, cancel)

    def _carry_out(self, host: Host, effect: Any) -> None:
        daemon = self.nodes.get(host.name)
        match effect:
            case Reply() if daemon is not None:
                daemon.call(send_reply, effect.request, effect.answer)
            case BroadcastToEntries(message) if daemon is not None:
                daemon.call(daemon.volatile.owner_requests.broadcast, message)
            case _:
                super()._carry_out(host, effect)


@contextmanager
def _connections(model: ClaimsModel) -> Iterator[None]:
    """Let the entries open the model's connections instead of sockets."""
    original = _owner_requests.connect
    _owner_requests.connect = model.open_channel
    try:
        yield
    finally:
        _owner_requests.connect = original
