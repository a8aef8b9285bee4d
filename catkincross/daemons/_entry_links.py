"""Links that agents and other entries have opened to an entry."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..clock import Clock
from ..dispatch import PeerVolatileJobs
from ..owner import OwnerCore
from ..peers import (
    STORE_SOURCE,
    Ask,
    Backlog,
    DeclarationsHeld,
    DeclarationsWanted,
    Greeting,
    Link,
    LostVolatileJobs,
    Members,
    ReportTo,
    SeekAgents,
    VolatileJobs,
    announcement,
    serve_links,
)
from ._log import DecisionLog
from ._membership import LINKS_SOURCE, ShardOwners

# Links of agents and entries on which nothing was received for this long are closed, in
# milliseconds. Agents send a state every 700 ms at least, entries a backlog every 500.
LINK_TIMEOUT_MS = 1_600
# Interval at which links are checked for that, in milliseconds.
LINK_CHECK_MS = 400
# Time after the close of an entry's link for which its requests are kept, in
# milliseconds. If only the connection was reset, the entry sends them again.
REQUEST_GRACE_MS = 400
# A longer time between two checks means that the process or its host was paused, in
# milliseconds.
PAUSE_MS = 1_000
# Longest time after an entry has last sent something on its link until its requests for
# volatile jobs are dropped here, in milliseconds, with a reserve for late steps.
REQUEST_RELEASE_MS = LINK_TIMEOUT_MS + LINK_CHECK_MS + REQUEST_GRACE_MS + 100
MS_PER_S = 1_000


class EntryLinks:
    """Passes messages between an owner's core, its agents and other entries.

    Args:
        core: Core of this entry.
        schedule_step: Called after each event of the core.
        clock: Clock of the process.
        log: Log of the process.
        greeting: First message on each link to an agent.
        owners: Owners of the shards, and the known entries.
        peer_jobs: Volatile jobs that other entries have.
        ask_core: Passes a request of another entry to the core.

    Attributes:
        agents: Link of each connected agent, by name.
        entries: Greeting of each other entry, by its link.
        checked_ms: Time of the newest check for silent links, on the same clock.
        resumed_ms: When the process went on after its last pause, on the same clock.
        heard_ms: Time of the last message on the link of each entry, on the clock of
            the process.
        replaced: Open links of entries that have opened another one since. The entry
            has closed them, so that what still arrives on them is out of date.
        announced: Data centre by address of the entries last announced to the agents.
        announced_to_entries: The same for other entries.
        backlog: Returns the answer to the backlog of another entry.
        answer_question: Returns the answer to an entry that asks for declarations; None
            for no answer.
    """

    def __init__(
        self,
        core: OwnerCore,
        schedule_step: Callable[[], None],
        clock: Clock,
        log: DecisionLog,
        greeting: Greeting,
        owners: ShardOwners,
        peer_jobs: PeerVolatileJobs,
        ask_core: Callable[[Any, Ask], None],
    ) -> None:
        self.core = core
        self.schedule_step = schedule_step
        self.clock = clock
        self.log = log
        self.greeting = greeting
        self.owners = owners
        self.peer_jobs = peer_jobs
        self.ask_core = ask_core
        self.agents: dict[str, Link] = {}
        self.entries: dict[Link, Greeting] = {}
        self.heard_ms: dict[Link, int] = {}
        self.replaced: set[Link] = set()
        self.checked_ms = clock.now_ms()
        self.resumed_ms = self.checked_ms - PAUSE_MS
        self.announced: dict[str, str] = {}
        self.announced_to_entries: dict[str, str] = {}
        self.backlog: Callable[[], Backlog] = lambda: core.backlog()
        self.answer_question: (
            Callable[[DeclarationsWanted], DeclarationsHeld] | None
        ) = None

    async def serve(self, address: str) -> None:
        """Accept links.

        Args:
            address: Address to listen on, `IP:port`.

        Raises:
            OSError: If the address cannot be used.
        """
        await serve_links(
            address, lambda: Link(self._on_message, self._on_close, self.log.note_error)
        )

    def send_to_agent(self, agent: str, message: Any) -> None:
        """Send a message to an agent; it is dropped if the agent is not connected."""
        link = self.agents.get(agent)
        if link is not None:
            link.send(message)

    def _on_message(self, link: Link, message: Any) -> None:
        if link in self.replaced:
            return
        if link in self.heard_ms:
            self.heard_ms[link] = self.clock.now_ms()
        if isinstance(message, Greeting):
            self._on_greeting(link, message)
        elif isinstance(message, Ask):
            if message.verb == "submit" and message.timeout_ms and link.peer:
                name = link.peer.name
                self.log.note("job asked for", job=message.job_id, entry=name)
            self.ask_core((link, message.request_number), message)
        elif (
            not self._handle_entry_message(link, message)
            and link.peer is not None
            and self.agents.get(link.peer.name) is link
        ):
            self.core.handle_agent_message(self.clock.now_ms(), link.peer.name, message)
            self.schedule_step()

    def _handle_entry_message(self, link: Link, message: Any) -> bool:
        """Handle a message of another entry; return whether it is one."""
        match message:
            case Backlog():
                link.send(self.backlog())
            case DeclarationsWanted():
                if self.answer_question is not None:
                    link.send(self.answer_question(message))
            case VolatileJobs():
                self.peer_jobs.update(link.peer, message, self.clock.now_ms())
            case LostVolatileJobs():
                self.peer_jobs.add_lost_jobs(message, self.clock.now_ms())
            case SeekAgents(agents):
                for name in agents:
                    self.send_to_agent(name, ReportTo(link.peer.address))
            case _:
                return False
        return True

    def _on_greeting(self, link: Link, greeting: Greeting) -> None:
        link.peer = greeting
        if greeting.role == "entry":
            earlier = {
                other: known
                for other, known in self.entries.items()
                if known.name == greeting.name
            }
            if any(_is_older(greeting, known) for known in earlier.values()):
                # The entry has closed this link before it opened the one in use.
                self.log.note("old link of an entry", entry=greeting.name)
                link.close()
                return
            self.replaced.update(
                other
                for other, known in earlier.items()
                if known.incarnation == greeting.incarnation
            )
            self.entries[link] = greeting
            self.heard_ms[link] = self.clock.now_ms()
            self.peer_jobs.end_earlier_processes(greeting, self.clock.now_ms())
            self.peer_jobs.add_entry(greeting)
            link.send(Members(self._unlisted_entries(), [], complete=True))
            self._update_linked_entries()
        elif greeting.role == "agent":
            self._add_agent(link, greeting)

    def _add_agent(self, link: Link, greeting: Greeting) -> None:
        now_ms = self.clock.now_ms()
        previous = self.agents.get(greeting.name)
        if previous is not None and _is_older(greeting, previous.peer):
            # The agent has closed this link before it opened the one in use.
            self.log.note("old link of an agent", agent=greeting.name)
            link.close()
            return
        if previous is not None:
            del self.agents[greeting.name]
            previous.close()
            self.core.handle_agent_lost(now_ms, greeting.name)
        self.agents[greeting.name] = link
        self.core.handle_agent_connected(now_ms, greeting.name, greeting.incarnation)
        link.send(self.greeting)
        link.send(Members(self.announced, [], complete=True))
        self.schedule_step()

    def _on_close(self, link: Link) -> None:
        self.replaced.discard(link)
        greeting = self.entries.pop(link, None)
        if greeting is not None:
            self.heard_ms.pop(link, None)
            if self._paused_lately():
                # The entry may have begun its jobs itself during the pause.
                self._abandon_requests(link)
            else:
                asyncio.get_running_loop().call_later(
                    REQUEST_GRACE_MS / MS_PER_S, self._abandon_requests, link
                )
            if not self._is_linked(greeting):
                self.peer_jobs.mark_entry_lost(greeting, now_ms=self.clock.now_ms())
            self._update_linked_entries()
        elif link.peer is not None and self.agents.get(link.peer.name) is link:
            del self.agents[link.peer.name]
            self.core.handle_agent_lost(self.clock.now_ms(), link.peer.name)
            self.schedule_step()

    def _paused_lately(self) -> bool:
        now_ms = self.clock.now_ms()
        return now_ms - self.checked_ms > PAUSE_MS or (
            now_ms - self.resumed_ms < PAUSE_MS
        )

    def _abandon_requests(self, link: Link) -> None:
        """Drop the requests for volatile jobs that came on a closed link.

        The entry that asked runs such a job itself once this one must have given it up.
        """
        requests = self.core.volatile_requests(
            lambda request: isinstance(request, tuple) and request[0] is link
        )
        for request, job_id in requests:
            self.log.note("requesting entry lost", job=job_id, entry=link.peer.name)
            self.core.abandon(self.clock.now_ms(), request, job_id)
        if requests:
            self.schedule_step()

    def _is_linked(self, greeting: Greeting) -> bool:
        """Whether the same process of another entry has a further link open."""
        return any(
            (other.name, other.incarnation) == (greeting.name, greeting.incarnation)
            for other in self.entries.values()
        )

    def _update_linked_entries(self) -> None:
        """Record the entries that have a link to this one as known."""
        linked = {other.address: other.data_centre for other in self.entries.values()}
        self.owners.replace(LINKS_SOURCE, linked)

    def _unlisted_entries(self) -> dict[str, str]:
        """Return the linked entries that own no shard, so that the store lists none."""
        views = self.owners.directory.views
        listed = views.get(STORE_SOURCE, {})
        linked = views.get(LINKS_SOURCE, {})
        return {
            address: data_centre
            for address, data_centre in linked.items()
            if address not in listed
        }

    def announce_entries(self) -> None:
        """Announce changes of the known entries to agents and to other entries.

        Only what this entry knows from the store or its own links is announced. What
        others announced is left out, since two entries could otherwise keep a third
        one known that has left.
        """
        listed = self.owners.directory.views.get(STORE_SOURCE, {})
        unlisted = self._unlisted_entries()
        own = {self.greeting.address: self.greeting.data_centre}
        known = listed | unlisted | own
        if known != self.announced:
            change = announcement(self.announced, known)
            self.announced = known
            for link in self.agents.values():
                link.send(change)
        if unlisted != self.announced_to_entries:
            change = announcement(self.announced_to_entries, unlisted)
            self.announced_to_entries = unlisted
            for link in self.entries:
                link.send(change)

    async def close_silent_links(self) -> None:
        """Close the links of silent agents and entries, until cancelled."""
        while True:
            await asyncio.sleep(LINK_CHECK_MS / MS_PER_S)
            now_ms = self.clock.now_ms()
            if now_ms - self.checked_ms > PAUSE_MS:
                self.resumed_ms = now_ms
            self.checked_ms = now_ms
            for entry_link, heard_ms in list(self.heard_ms.items()):
                if now_ms - heard_ms > LINK_TIMEOUT_MS:
                    name = entry_link.peer.name
                    self.log.note("peer silent", entry=name, age_ms=now_ms - heard_ms)
                    entry_link.close()
                    self._abandon_requests(entry_link)
            for name, link in list(self.agents.items()):
                agent_info = self.core.state.agents[name]
                heard_ms = max(agent_info.received_ms, agent_info.connected_ms)
                if now_ms - heard_ms > LINK_TIMEOUT_MS:
                    self.log.note("agent silent", agent=name, age_ms=now_ms - heard_ms)
                    link.close()


def _is_older(greeting: Greeting, other: Greeting) -> bool:
    """Whether the same process has opened a link before another one."""
    same_process = greeting.incarnation == other.incarnation
    return same_process and greeting.link_number < other.link_number
