"""Restrictive changes whose append has no known outcome yet.

They apply as soon as this entry hears of them. A change whose append turns out to have
failed applies until the next heartbeat of the entry that proposed it.
"""

from __future__ import annotations

from functools import lru_cache

from ..protocol._records import EntryEnded, Record, ResourcePut, decode_record
from ._appends import pending_restrictions
from ._entry_registry import ENTRY
from ._entry_state import EntryState, Restrictions


@ENTRY.system(order=190)
def _collect_restrictions(state: EntryState) -> None:
    """Collect the pending restrictive changes of this entry and of its peers."""
    records = list(pending_restrictions(state))
    for peer in state.peers:
        if peer.heartbeat is not None:
            records += [_decode(body) for body in peer.heartbeat.pending]
    collected = Restrictions()
    for record in records:
        _add_restriction(state, collected, record)
    if collected != state.restrictions:
        state.restrictions = collected
        # The views of all agents must be compared again.
        state.views_version = 0
        state.emit(
            "membership",
            "restrictions changed",
            draining=len(collected.draining),
            ended=len(collected.ended),
        )
        # Peers must learn of the restrictions at once.
        state.heartbeat_due_ms = state.now_ms


# Cached, since the records of a heartbeat are read in each step until the next one.
_decode = lru_cache(maxsize=256)(decode_record)


def _add_restriction(
    state: EntryState, collected: Restrictions, record: Record
) -> None:
    if record.id in state.control.outcomes:
        return
    if isinstance(record.body, EntryEnded):
        collected.ended.add(record.body.entry)
    elif isinstance(record.body, ResourcePut):
        collected.draining.add((record.body.kind, record.body.name))
