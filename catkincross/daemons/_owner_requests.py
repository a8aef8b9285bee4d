"""Forwards requests to the owner of a job, which may be another entry."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from ..clock import Clock
from ..dispatch import PeerLoad
from ..jobs import shard_of
from ..peers import (
    Answer,
    Ask,
    Backlog,
    DeclarationsHeld,
    Greeting,
    Link,
    Members,
    connect,
)
from ._membership import ShardOwners, member_address

CONNECT_TIMEOUT_S = 0.5
# Time for which a new process waits for the entries that another one knows, in seconds.
LEARN_TIMEOUT_S = 0.05
# Delay before a request is retried, in seconds; a change of owners ends it early.
RETRY_DELAY_S = 0.03
# Part of a request's time limit reserved for the answer's way back, in milliseconds.
ANSWER_RESERVE_MS = 150
# A request without an answer for this long is sent again, in seconds.
ANSWER_TIMEOUT_S = 1.0
# Links on which nothing was received for this long are closed, in milliseconds;
# backlogs arrive every 500 ms.
LINK_TIMEOUT_MS = 1_600
# Interval at which this entry sends its backlog and checks its links, in seconds.
BACKLOG_INTERVAL_S = 0.5
# Delay after which backlogs that have arrived take effect, in seconds.
BACKLOG_UPDATE_DELAY_S = 0.02
MS_PER_S = 1_000
# Answer to the requests in flight on a link that closes.
LINK_CLOSED = Answer(0, "unknown", "link to the owner closed")


@attrs.define(eq=False)
class PeerLink:
    """A link that this entry has opened to another one.

    Attributes:
        address: Address of the other entry, `IP:port`.
        link: The link.
        last_heard_ms: When the last message from the other entry arrived; before the
            first message, when the link was opened.
        last_number: Number of the last request sent on the link.
        in_flight: Futures of requests without an answer, by number.
        backlog: Newest backlog of the other entry; None before the first.
        forwarded: Number of jobs forwarded to it since that backlog.
        backlogs_sent_ms: When each backlog was sent that it has not answered, oldest
            first.
    """

    address: str
    link: Link
    last_heard_ms: int
    last_number: int = 0
    in_flight: dict[int, asyncio.Future[Answer]] = attrs.field(factory=dict)
    backlog: Backlog | None = None
    forwarded: int = 0
    backlogs_sent_ms: deque[int] = attrs.field(factory=deque)


class OwnerRequests:
    """Sends requests to the owners of jobs.

    Args:
        owners: Owners of the shards.
        clock: Clock of the process.
        greeting: First message on each link.
        member: Member name of this entry in the group of owners.
        shards: Number of shards.
        ask_local: Passes a request to the core of this entry.
        on_error: Called with a description and the exception of an unexpected error.

    Attributes:
        links: Links to other entries, by address.
        links_opened: Number of links opened so far.
        connecting: Tasks that open a link, by address.
        on_connected: Called with each link when it is open; None for no callback.
        on_backlogs: Called with the backlogs of all connected entries when one has
            changed; None for no callback.
        on_backlog: Called with the address of an entry, its backlog, and when it was
            asked for it, on the clock of the process; None for no callback.
        on_declarations: Called with the address of an entry and the declarations that
            it has sent; None for no callback.
        on_closed: Called with the address of an entry whose link in use has closed;
            None for no callback.
    """

    def __init__(
        self,
        owners: ShardOwners,
        clock: Clock,
        greeting: Greeting,
        member: str,
        shards: int,
        ask_local: Callable[[Ask], asyncio.Future[Answer]],
        on_error: Callable[[str, Exception], None],
    ) -> None:
        self.owners = owners
        self.clock = clock
        self.greeting = greeting
        self.member = member
        self.shards = shards
        self.ask_local = ask_local
        self.on_error = on_error
        self.links: dict[str, PeerLink] = {}
        self.links_opened = 0
        self.on_connected: Callable[[Link], None] | None = None
        self.on_backlogs: Callable[[list[Backlog]], None] | None = None
        self.on_backlog: Callable[[str, Backlog, int], None] | None = None
        self.on_declarations: Callable[[str, DeclarationsHeld], None] | None = None
        self.on_closed: Callable[[str], None] | None = None
        self._update_scheduled = False
        self.connecting: dict[str, asyncio.Task[PeerLink | None]] = {}

    async def ask(
        self, verb: str, job_id: str, body: dict[str, Any] | None, timeout_ms: int
    ) -> Answer:
        """Forward a request to the job's owner, and retry until the time limit.

        Args:
            verb: `submit`, `state` or `cancel`.
            job_id: ID of the job.
            body: The encoded job for `submit`, otherwise None.
            timeout_ms: How long the client account waits, in milliseconds.

        Returns:
            The owner's answer. Without one in time, `rejected` for a submission that no
            owner can have accepted, otherwise `unknown`. A rejection is answered as
            `unknown` if an owner may have accepted an earlier attempt.
        """
        deadline_ms = self.clock.now_ms() + timeout_ms - ANSWER_RESERVE_MS
        may_be_accepted = False
        detail = "no owner"
        while True:
            remaining_s = (deadline_ms - self.clock.now_ms()) / MS_PER_S
            if remaining_s <= 0:
                break
            ask = Ask(0, verb, job_id, body)
            answer = await self._ask_owner(ask, min(remaining_s, ANSWER_TIMEOUT_S))
            if answer is not None and answer.outcome not in ("moved", "unknown"):
                if answer.outcome == "rejected" and may_be_accepted:
                    break
                return answer
            if answer is not None:
                detail = answer.detail
            if answer is not None and answer.outcome == "unknown":
                may_be_accepted = True
            remaining_s = (deadline_ms - self.clock.now_ms()) / MS_PER_S
            if remaining_s > 0:
                await self.owners.wait_for_change(min(RETRY_DELAY_S, remaining_s))
        if verb == "submit" and not may_be_accepted:
            return Answer(0, "rejected", "no_owner", MS_PER_S)
        return Answer(0, "unknown", detail)

    async def ask_entry(self, address: str, ask: Ask) -> Answer | None:
        """Send a request to an entry; None without a link or an answer in time.

        The entry is told if the task that waits for the answer is cancelled.
        """
        peer = await self._connected_peer(address)
        if peer is None:
            return None
        future = self._send(peer, ask)
        number = peer.last_number
        timeout_s = ask.timeout_ms / MS_PER_S
        try:
            done, _ = await asyncio.wait({future}, timeout=timeout_s)
        except asyncio.CancelledError:
            peer.link.send(Ask(number, "abandon", ask.job_id))
            raise
        return future.result() if done else None

    def known_addresses(self) -> list[str]:
        """Return the addresses of the other known entries."""
        own_address = member_address(self.member)
        return [name for name in self.owners.addresses() if name != own_address]

    async def learn_entries(self) -> None:
        """Wait until another entry has told which entries it knows, for a short time.

        The store lists only those that own a shard.
        """
        known = self.known_addresses()
        if not known or self.owners.has_peer_views:
            return
        await self.connect_all(known)
        await self.owners.wait_for_change(LEARN_TIMEOUT_S)

    async def connect_all(self, addresses: list[str]) -> None:
        """Open the missing links to entries; those that fail stay closed."""
        missing = [
            self._connected_peer(address)
            for address in addresses
            if address not in self.links or self.links[address].link.closed
        ]
        if missing:
            await asyncio.gather(*missing)

    def send_request(self, address: str, ask: Ask) -> asyncio.Future[Answer] | None:
        """Send a request on an open link; None if there is none."""
        peer = self.links.get(address)
        if peer is None or peer.link.closed:
            return None
        return self._send(peer, ask)

    def notify(self, address: str, message: Any) -> None:
        """Send a message that needs no answer; it is dropped without a link."""
        peer = self.links.get(address)
        if peer is not None:
            peer.link.send(message)

    def heard_ms(self, address: str) -> int | None:
        """Return when an entry was last heard on its open link; None without one."""
        peer = self.links.get(address)
        return None if peer is None or peer.link.closed else peer.last_heard_ms

    def record_forwarding(self, address: str) -> None:
        """Count a job that is forwarded to an entry."""
        peer = self.links.get(address)
        if peer is not None:
            peer.forwarded += 1

    def peer_loads(self, service: str) -> list[PeerLoad]:
        """Return the load of the connected entries that take jobs of a service."""
        data_centres = self.owners.directory.known()
        return [
            PeerLoad(
                peer.address,
                data_centres.get(peer.address, ""),
                peer.backlog.wait_ms[service],
                peer.forwarded,
            )
            for peer in self.links.values()
            if not peer.link.closed
            and peer.backlog is not None
            and service in peer.backlog.wait_ms
        ]

    def _send(self, peer: PeerLink, ask: Ask) -> asyncio.Future[Answer]:
        peer.last_number += 1
        future = asyncio.get_running_loop().create_future()
        peer.in_flight[peer.last_number] = future
        peer.link.send(attrs.evolve(ask, request_number=peer.last_number))
        return future

    def broadcast(self, message: Any) -> None:
        """Send a message on all links to other entries."""
        for peer in self.links.values():
            peer.link.send(message)

    async def _ask_owner(self, ask: Ask, timeout_s: float) -> Answer | None:
        """Send a request to the owner once.

        Returns:
            The answer, `unknown` if none came in time, or None if it was not sent.
        """
        member = self.owners.by_shard.get(shard_of(ask.job_id, self.shards), "")
        if member == self.member:
            future = self.ask_local(ask)
        else:
            address = member_address(member)
            peer = await self._connected_peer(address) if address else None
            if peer is None:
                return None
            future = self._send(peer, ask)
        done, _ = await asyncio.wait({future}, timeout=timeout_s)
        if done:
            return future.result()
        return Answer(0, "unknown", "no answer of the owner")

    async def _connected_peer(self, address: str) -> PeerLink | None:
        existing = self.links.get(address)
        if existing is not None and not existing.link.closed:
            return existing
        task = self.connecting.get(address)
        if task is None:
            task = asyncio.create_task(self._connect(address))
            self.connecting[address] = task
            task.add_done_callback(lambda _: self.connecting.pop(address, None))
        return await asyncio.shield(task)

    async def _connect(self, address: str) -> PeerLink | None:
        def make_link() -> Link:
            return Link(self._on_message, self._on_close, self.on_error)

        try:
            link = await connect(address, make_link, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            return None
        peer = PeerLink(address, link, self.clock.now_ms())
        link.peer = peer
        self.links[address] = peer
        self.links_opened += 1
        link.send(attrs.evolve(self.greeting, link_number=self.links_opened))
        if self.on_connected is not None:
            self.on_connected(link)
        return peer

    def _on_message(self, link: Link, message: Any) -> None:
        peer: PeerLink = link.peer
        peer.last_heard_ms = self.clock.now_ms()
        if isinstance(message, Answer):
            future = peer.in_flight.pop(message.request_number, None)
            if future is not None and not future.done():
                future.set_result(message)
        elif isinstance(message, Backlog):
            peer.backlog = message
            peer.forwarded = 0
            self._backlogs_changed()
            if peer.backlogs_sent_ms and self.on_backlog is not None:
                sent_ms = peer.backlogs_sent_ms.popleft()
                self.on_backlog(peer.address, message, sent_ms)
        elif isinstance(message, DeclarationsHeld):
            if self.on_declarations is not None:
                self.on_declarations(peer.address, message)
        elif isinstance(message, Members):
            self.owners.apply(peer.address, message)

    def _backlogs_changed(self) -> None:
        """Pass on the backlogs once for all that arrive within a short time.

        All entries answer at about the same time, and each update takes time in
        proportion to their number.
        """
        if not self._update_scheduled:
            self._update_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(BACKLOG_UPDATE_DELAY_S, self._update_backlogs)

    def _update_backlogs(self) -> None:
        self._update_scheduled = False
        if self.on_backlogs is not None:
            self.on_backlogs(self._backlogs())

    def _on_close(self, link: Link) -> None:
        peer: PeerLink | None = link.peer
        if peer is None:
            return
        if self.links.get(peer.address) is peer:
            self.owners.forget(peer.address)
            if self.on_closed is not None:
                self.on_closed(peer.address)
        for future in peer.in_flight.values():
            if not future.done():
                future.set_result(LINK_CLOSED)
        peer.in_flight.clear()

    def _backlogs(self) -> list[Backlog]:
        """Return the newest backlog of each entry with an open link."""
        open_links = (peer for peer in self.links.values() if not peer.link.closed)
        return [peer.backlog for peer in open_links if peer.backlog is not None]

    async def maintain_links(self, backlog: Callable[[], Backlog]) -> None:
        """Keep a link open to each other known entry, until cancelled.

        Links are closed if they are silent, or if the other entry is not known any more
        and no request is in flight.

        Args:
            backlog: Returns this entry's backlog, which is sent at each interval.
        """
        while True:
            now_ms = self.clock.now_ms()
            known_addresses = set(self.known_addresses())
            for address, peer in list(self.links.items()):
                if now_ms - peer.last_heard_ms > LINK_TIMEOUT_MS:
                    peer.link.close()
                if (
                    peer.link.closed
                    or address not in known_addresses
                    and not peer.in_flight
                ):
                    peer.link.close()
                    self.links.pop(address, None)
            for address in known_addresses:
                if address not in self.links:
                    asyncio.create_task(self._connected_peer(address))
            for peer in self.links.values():
                peer.backlogs_sent_ms.append(now_ms)
                peer.link.send(backlog())
            await asyncio.sleep(BACKLOG_INTERVAL_S)

    def pending_jobs(self, queue: str) -> int:
        """Return the jobs of a queue at other entries of which no task has started."""
        return sum(
            peer_backlog.waiting_jobs.get(queue, 0) for peer_backlog in self._backlogs()
        )
