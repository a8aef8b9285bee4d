"""Choice of an agent's home among the entries of its view."""

from __future__ import annotations

import attrs

from ..foundation._ids import entry_process
from ..foundation._rendezvous import rank_by_hash
from ..protocol._effects import SetPeers

# A stream that is lost for less than this time does not move the agent's slots.
STREAM_LOSS_GRACE_MS = 1_000
# A preferred entry must have kept its stream for this time before the agent returns
# to it.
MIN_STREAM_AGE_MS = 2_000
# A home that has answered no heartbeat for this time counts as unreachable.
SILENCE_TIMEOUT_MS = 2_500


@attrs.define
class EntryLinks:
    """State of the agent's streams to entries.

    Attributes:
        opened_ms: When each open stream was opened, by process.
        lost_ms: When each wanted stream was lost, by process.
        refused: Processes whose address refuses connections.
        last_answer_ms: When each process last answered a heartbeat or became the home.
        wanted: Addresses of the processes to which streams are kept open, by process.
        home: Process of the home, which answers every heartbeat; other entries answer
            only the first message of a stream.
    """

    opened_ms: dict[str, int] = attrs.field(factory=dict)
    lost_ms: dict[str, int] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    last_answer_ms: dict[str, int] = attrs.field(factory=dict)
    wanted: dict[str, str] = attrs.field(factory=dict)
    home: str = ""

    def opened(self, process: str, now_ms: int) -> None:
        """Record that a stream is open."""
        self.opened_ms[process] = now_ms
        self.lost_ms.pop(process, None)
        self.refused.discard(process)

    def closed(self, process: str, now_ms: int, *, refused: bool) -> None:
        """Record that a stream is lost or cannot be opened."""
        self.opened_ms.pop(process, None)
        self.lost_ms.setdefault(process, now_ms)
        if refused:
            self.refused.add(process)

    def set_home(self, process: str, now_ms: int) -> None:
        """Record which process is the home from now on."""
        if self.is_silent(self.home, now_ms):
            # Only a new answer makes the previous home eligible again.
            self.last_answer_ms.pop(self.home, None)
        self.home = process
        self.last_answer_ms[process] = now_ms

    def is_silent(self, process: str, now_ms: int) -> bool:
        """Whether an open stream has brought no answer within the time-out."""
        opened_ms = self.opened_ms.get(process)
        if opened_ms is None:
            return False
        last_answer_ms = self.last_answer_ms.get(process, 0)
        if process != self.home and last_answer_ms >= opened_ms:
            return False
        return now_ms - max(opened_ms, last_answer_ms) > SILENCE_TIMEOUT_MS

    def is_down(self, process: str, now_ms: int) -> bool:
        """Whether the agent must look for another entry instead of this one."""
        if process in self.opened_ms:
            return self.is_silent(process, now_ms)
        lost_ms = self.lost_ms.get(process)
        if lost_ms is None:
            return False
        return process in self.refused or now_ms - lost_ms >= STREAM_LOSS_GRACE_MS

    def is_steady(self, process: str, now_ms: int) -> bool:
        """Whether a stream has answered and is old enough for a return to its entry."""
        opened_ms = self.opened_ms.get(process)
        if opened_ms is None or self.last_answer_ms.get(process, 0) < opened_ms:
            return False
        return now_ms - opened_ms >= MIN_STREAM_AGE_MS


def ranked_entries(
    agent: str, data_centre: str, entries: list[tuple[str, str]]
) -> list[str]:
    """Return the names of entries in the order in which an agent prefers them.

    Args:
        agent: Name of the agent.
        data_centre: Data centre of the agent; entries there come first.
        entries: Name and data centre of each entry.
    """
    local = [name for name, centre in entries if centre == data_centre]
    remote = [name for name, centre in entries if centre != data_centre]
    key = agent.encode()
    return rank_by_hash(key, local) + rank_by_hash(key, remote)


def select_home(
    links: EntryLinks, ranked: list[str], current: str, now_ms: int
) -> tuple[str, list[str]]:
    """Return the home and the entries to which streams are wanted.

    Args:
        links: State of the agent's streams.
        ranked: Names of the entries, the preferred one first.
        current: Name of the current home, or an empty string if there is none.
        now_ms: The agent's clock.

    Returns:
        Name of the home, which stays the current one if there is no better one; and the
        ranked names up to the first that is not down, with the current home unless it
        is down.
    """
    wanted = []
    for name in ranked:
        wanted.append(name)
        if not links.is_down(entry_process(name), now_ms):
            break
    usable = [
        name
        for name in wanted
        if entry_process(name) in links.opened_ms
        and not links.is_silent(entry_process(name), now_ms)
    ]
    current_usable = current in ranked and not links.is_down(
        entry_process(current), now_ms
    )
    if not current_usable:
        return (usable[0] if usable else current), wanted
    if current not in wanted:
        wanted.append(current)
    better = [
        name
        for name in usable
        if ranked.index(name) < ranked.index(current)
        and links.is_steady(entry_process(name), now_ms)
    ]
    return (better[0] if better else current), wanted


def set_peers(links: EntryLinks, addresses: dict[str, str]) -> SetPeers | None:
    """Return the effect that sets the wanted streams, or None if they are unchanged."""
    if addresses == links.wanted:
        return None
    links.wanted = addresses
    for process in list(links.lost_ms):
        if process not in addresses:
            del links.lost_ms[process]
            links.refused.discard(process)
    return SetPeers(addresses)
