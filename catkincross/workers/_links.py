"""Decision to which entries an agent keeps links.

Load pattern: hundreds of agents and tens of entries. With a link from every agent to
every entry, messages and open connections grow with the product of both numbers. An
agent therefore has links only to the entries to which it offers capacity, to those
whose runs it has, and for a while to those that have to know which runs it has. The
number of links grows with the agents.
"""

from __future__ import annotations

import attrs

from ..dispatch import offered_entries
from ..jobs import VOLATILE_SHARD
from ._entry_info import EntryInfo
from ._state import WorkerState

# A link on which no lease was received for this long is closed, in milliseconds.
# Leases arrive at least every 700 ms.
LINK_TIMEOUT_MS = 1_600
# A link that is not wanted any more is closed after this time, in milliseconds. It
# bounds the rate of new links while the wanted entries change.
UNWANTED_LINK_MS = 3_000
# Pause before a link is opened again after a failed attempt or a silence, in
# milliseconds.
RECONNECT_MS = 500
# How long a link to an entry that has asked for a report is wanted, in milliseconds;
# the entry asks again while it waits for the report.
REPORT_LINK_MS = 2_000


@attrs.frozen
class LinkChanges:
    """Links to open and to close.

    Attributes:
        to_open: Addresses of entries.
        to_close: Addresses of entries, with the reason.
    """

    to_open: list[str]
    to_close: list[tuple[str, str]]


def update_offered(state: WorkerState) -> None:
    """Recompute which entries may send tasks.

    Entries that gave no lease on their newest link are left out until they give one,
    since tasks of the other entries would wait for capacity meanwhile.
    """
    known = {
        address: data_centre
        for address, data_centre in state.directory.known().items()
        if address not in state.suspects
    }
    offered = offered_entries(
        state.host, state.data_centre, known, state.limits.offered_entries
    )
    if offered != state.offered:
        state.offered = offered
        state.mark_states_outdated()
        state.note("offered to entries", entries=sorted(offered))


def suspect_entry(
    state: WorkerState, address: str, *, pause_ms: int = RECONNECT_MS
) -> None:
    """Offer nothing to an entry until it gives a lease, and pause before a retry."""
    state.suspects[address] = state.now_ms + pause_ms
    update_offered(state)


def reconnect_pause_ms(state: WorkerState, entry_info: EntryInfo) -> int:
    """Return the pause before a closed link is opened again, in milliseconds.

    While the entry's lease on its volatile jobs is valid, their runs can be kept by a
    new lease in time, so a connection that was reset is replaced at once. Without a
    lease the entry may be down or overloaded.
    """
    return 0 if state.now_ms < entry_info.volatile_until_ms else RECONNECT_MS


def clear_suspicion(state: WorkerState, address: str) -> None:
    """Offer capacity to an entry again that has given a lease."""
    if state.suspects.pop(address, None) is not None:
        update_offered(state)


def wanted_entries(state: WorkerState) -> set[str]:
    """Return the addresses of the entries to which a link is wanted now.

    Suspected entries stay wanted if capacity would be offered to them.
    """
    wanted = set(state.offered)
    if state.suspects:
        wanted |= offered_entries(
            state.host,
            state.data_centre,
            state.directory.known(),
            state.limits.offered_entries,
        )
    for run in state.runs.values():
        wanted.add(state.owner_of_run(run) or state.probable_owner(run.shard))
        if run.shard == VOLATILE_SHARD:
            wanted.add(run.entry)
    for ended in state.ends.values():
        wanted.add(state.probable_owner(state.shard_of_task(ended.task)))
    for address, until_ms in list(state.sought_until_ms.items()):
        if state.now_ms < until_ms:
            wanted.add(address)
        else:
            del state.sought_until_ms[address]
    wanted.discard("")
    return wanted


def link_changes(state: WorkerState) -> LinkChanges:
    """Return which links to open and to close now."""
    wanted = wanted_entries(state)
    to_close = []
    for address, entry_info in state.entries.items():
        if address in wanted:
            entry_info.unwanted_since_ms = None
        elif entry_info.unwanted_since_ms is None:
            entry_info.unwanted_since_ms = state.now_ms
        unwanted_since_ms = entry_info.unwanted_since_ms
        if state.now_ms - entry_info.lease_received_ms > LINK_TIMEOUT_MS:
            to_close.append((address, "silent"))
        elif (
            unwanted_since_ms is not None
            and state.now_ms - unwanted_since_ms >= UNWANTED_LINK_MS
        ):
            to_close.append((address, "not wanted"))
    to_open = [
        address
        for address in sorted(wanted - state.entries.keys())
        if state.now_ms >= state.suspects.get(address, 0)
    ]
    return LinkChanges(to_open, to_close)
