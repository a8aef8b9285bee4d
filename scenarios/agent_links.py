"""Links between agents and entries in the virtual-time model of the platform.

Each link is a TCP connection: messages arrive in the order in which they were sent, and
what arrives after a side has closed the link is lost. Two links of one agent may be
open at once, since each side notes the end of a link at its own time, and the messages
of one link may overtake those of another.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from .platform_effects import LINK_MS, Host
from .platform_model import AGENT_TIMEOUT_MS


@attrs.define(eq=False)
class Way:
    """One direction of a link.

    Attributes:
        sender: Process that sends.
        receiver: Process that receives.
        delay_ms: Delay of each message beyond the usual one.
        dead: Whether messages are lost from now on.
        queue: Messages on their way, with the time at which they arrive.
        arrives_ms: When the newest message arrives.
        waiting: Whether the delivery of the first message is scheduled.
    """

    sender: Host
    receiver: Host
    delay_ms: int = 0
    dead: bool = False
    queue: deque[tuple[int, Callable[[], None]]] = attrs.field(factory=deque)
    arrives_ms: int = 0
    waiting: bool = False


@attrs.define(eq=False)
class AgentLink:
    """A link that an agent has opened to an entry.

    Attributes:
        entry: Process of the entry.
        agent: Process of the agent.
        to_agent: Direction to the agent.
        to_entry: Direction to the entry.
    """

    entry: Host
    agent: Host
    to_agent: Way = attrs.field(init=False)
    to_entry: Way = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create both directions."""
        self.to_agent = Way(self.entry, self.agent)
        self.to_entry = Way(self.agent, self.entry)

    @property
    def key(self) -> tuple[str, str]:
        """Names of the entry and of the agent."""
        return self.entry.name, self.agent.name

    @property
    def ways(self) -> tuple[Way, Way]:
        """Both directions."""
        return self.to_agent, self.to_entry


class AgentLinksMixin:
    """Opens and closes links as the daemons do, for `VolatileModel`.

    `agent_links` and `entry_links` hold the link that either side uses, by the names of
    entry and agent.
    """

    __slots__ = ()

    # Messages.

    def _pass(self, entry: str, agent: str, content: Any, *, to_agent: bool) -> None:
        """Send a message on the link that the sender uses; it is lost without one."""
        links = self.entry_links if to_agent else self.agent_links
        link = links.get((entry, agent))
        if link is None:
            return
        way = link.to_agent if to_agent else link.to_entry

        def arrive() -> None:
            if to_agent and self.agent_links.get(link.key) is link:
                link.agent.core.handle_entry_message(self.now_ms, entry, content)
                self.step(link.agent)
            elif not to_agent and self._entry_uses(link):
                link.entry.core.handle_agent_message(self.now_ms, agent, content)
                self.step(link.entry)

        self._transmit(way, arrive)

    def _entry_uses(self, link: AgentLink) -> bool:
        """Whether an entry takes messages from a link."""
        if self.entry_links.get(link.key) is not link:
            return False
        agent_info = link.entry.core.state.agents.get(link.agent.name)
        return agent_info is not None and agent_info.connected

    def _transmit(self, way: Way, call: Callable[[], None]) -> None:
        """Deliver something in order; `call` runs at the receiver."""
        if way.dead:
            return
        way.arrives_ms = max(way.arrives_ms, self.now_ms + LINK_MS + way.delay_ms)
        way.queue.append((way.arrives_ms, call))
        if not way.waiting:
            way.waiting = True
            self.at(way.arrives_ms - self.now_ms, lambda: self._deliver(way))

    def _deliver(self, way: Way) -> None:
        """Deliver what is due; wait for a cut to end, or for a frozen receiver."""
        while way.queue:
            due_ms, call = way.queue[0]
            ends = way.sender.name, way.receiver.name
            if ends in self.blocked:
                self.held[ends].append(lambda: self._deliver(way))
                return
            if not way.receiver.up:
                way.queue.clear()
                self._refuse(way)
                break
            wake_ms = max(due_ms, way.receiver.frozen_until_ms)
            if wake_ms > self.now_ms:
                self.at(wake_ms - self.now_ms, lambda: self._deliver(way))
                return
            way.queue.popleft()
            call()
        way.waiting = False

    def _refuse(self, way: Way) -> None:
        """Let the next process of the receiver reset a link of the earlier one."""
        hosts = self.owners if way.receiver.name in self.owners else self.workers
        if way.receiver.name not in hosts or not way.sender.up:
            return
        for link in list(self.agent_links.values()):
            if way is link.to_entry:
                self._note_end(link, at_agent=True)

    # Links.

    def connect(self, entry: str, agent: str) -> None:
        """Open a link if messages pass; the entry may accept it later."""
        worker = self.workers[agent]
        if not self.is_connected(entry, agent):
            worker.core.handle_connect_failed(self.now_ms, entry)
            return
        link = AgentLink(self.owners[entry], worker)
        self.agent_links[link.key] = link
        worker.core.handle_entry_connected(self.now_ms, entry)
        self._transmit(link.to_entry, lambda: self._greet(link))

    def _greet(self, link: AgentLink) -> None:
        """Let an entry take a link for its newest one to an agent."""
        previous = self.entry_links.get(link.key)
        if previous is not None:
            self._close(previous, by_agent=False)
        self.entry_links[link.key] = link
        link.entry.core.handle_agent_connected(
            self.now_ms, link.agent.name, self.now_ms
        )
        self.step(link.entry)

    def _close(self, link: AgentLink, *, by_agent: bool) -> None:
        """Close a link; the other side notes it after the messages before."""
        self._note_end(link, at_agent=by_agent)
        way = link.to_entry if by_agent else link.to_agent
        self._transmit(way, lambda: self._note_end(link, at_agent=not by_agent))

    def _note_end(self, link: AgentLink, *, at_agent: bool) -> None:
        """Let one side note that a link has ended, if it still uses the link."""
        links = self.agent_links if at_agent else self.entry_links
        if links.get(link.key) is not link:
            return
        del links[link.key]
        if at_agent:
            link.agent.core.handle_entry_lost(self.now_ms, link.entry.name)
        else:
            link.entry.core.handle_agent_lost(self.now_ms, link.agent.name)

    def _update_links(self, host: Host) -> None:
        changes = host.core.link_changes(self.now_ms)
        for entry, _ in changes.to_close:
            link = self.agent_links.get((entry, host.name))
            if link is not None:
                self._close(link, by_agent=True)
        for entry in changes.to_open:
            if entry in self.owners:
                self.connect(entry, host.name)
            else:
                host.core.handle_connect_failed(self.now_ms, entry)

    def _close_silent_links(self, host: Host) -> None:
        for link in list(self.entry_links.values()):
            if link.entry is not host:
                continue
            agent_info = host.core.state.agents[link.agent.name]
            heard_ms = max(agent_info.received_ms, agent_info.connected_ms)
            if agent_info.connected and self.now_ms - heard_ms > AGENT_TIMEOUT_MS:
                self._close(link, by_agent=False)

    def _end_links_of(self, ended: Host, *, silent: bool) -> None:
        """End the links of a process; the other sides note it unless it is silent."""
        links = {*self.agent_links.values(), *self.entry_links.values()}
        for link in sorted(links, key=lambda link: link.key):
            if ended not in (link.entry, link.agent):
                continue
            of_agent = ended is link.agent
            own_links = self.agent_links if of_agent else self.entry_links
            if own_links.get(link.key) is link:
                del own_links[link.key]
            if not silent:
                way = link.to_entry if of_agent else link.to_agent
                at_agent = not of_agent
                self._transmit(
                    way,
                    lambda link=link, at_agent=at_agent: self._note_end(
                        link, at_agent=at_agent
                    ),
                )

    # Faults.

    def reset_link(
        self, entry: str, agent: str, entry_ms: int | None, agent_ms: int | None
    ) -> None:
        """Reset the link that an agent uses; all messages on their way are lost.

        Args:
            entry: Name of the entry.
            agent: Name of the agent.
            entry_ms: When the entry notes it, in milliseconds from now; None if it does
                not, so that the link is silent for it.
            agent_ms: The same for the agent.
        """
        link = self.agent_links.get((entry, agent))
        if link is None:
            return
        for way in link.ways:
            way.dead = True
            way.queue.clear()
        for at_agent, host, note_ms in (
            (False, link.entry, entry_ms),
            (True, link.agent, agent_ms),
        ):
            if note_ms is not None:
                self.at(
                    note_ms,
                    lambda at_agent=at_agent, host=host: self.when_awake(
                        host, lambda: self._note_end(link, at_agent=at_agent)
                    ),
                )

    def delay_link(
        self, entry: str, agent: str, way: str, delay_ms: int, for_ms: int
    ) -> None:
        """Delay the messages on the link that an agent uses, in one or both ways."""
        link = self.agent_links.get((entry, agent))
        if link is None:
            return
        ways = [link.to_agent] if way != "from" else []
        ways += [link.to_entry] if way != "to" else []
        for changed in ways:
            changed.delay_ms = delay_ms

        def heal() -> None:
            for changed in ways:
                changed.delay_ms = 0

        self.at(for_ms, heal)

    def hold_link(self, entry: str, agent: str, way: str, for_ms: int) -> None:
        """Hold the messages on the link that an agent uses, in one or both ways.

        As after lost packets, what is sent meanwhile arrives together.
        """
        link = self.agent_links.get((entry, agent))
        if link is None:
            return
        if way != "from":
            self._hold(link.to_agent, for_ms)
        if way != "to":
            self._hold(link.to_entry, for_ms)

    def _hold(self, way: Way, for_ms: int) -> None:
        end_ms = self.now_ms + for_ms
        way.arrives_ms = max(way.arrives_ms, end_ms)
        way.queue = deque((max(due_ms, end_ms), call) for due_ms, call in way.queue)

    def replace_link(self, entry: str, agent: str, hold_ms: int) -> None:
        """Let an agent close its link and open another one.

        What either side has sent on the old link, its end included, is held, and may
        arrive after messages on the new one.
        """
        link = self.agent_links.get((entry, agent))
        if link is None:
            return
        for way in link.ways:
            self._hold(way, hold_ms)
        self._close(link, by_agent=True)
