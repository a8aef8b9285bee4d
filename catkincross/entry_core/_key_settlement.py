"""Settlement of a key without a job at its owner: whether it may be admitted."""

from __future__ import annotations

from ..foundation._ids import Incarnation
from ..foundation._rendezvous import choose_by_hash, rank_by_hash
from ._census import census_key_status
from ._entry_state import EntryState
from ._key_queries import query_earlier_owners
from ._key_status import KeyStatus
from ._recovery_rows import KeyQueryStatus

__all__ = ["KeyStatus", "earlier_owners", "owner_of", "settle_key"]


def owner_of(state: EntryState, key_hash: bytes) -> str | None:
    """Return the name of the entry that owns a key on the current roster, or None."""
    return choose_by_hash(key_hash, state.control.owner_names())


def earlier_owners(state: EntryState, key_hash: bytes) -> list[Incarnation]:
    """Return the incarnations that owned a key within the retention window.

    This entry's own incarnation is left out, since it knows its own jobs.
    """
    history = state.control.history
    if len(history) == 1 and state.incarnation in history[0].entries:
        return []
    # Ranks each name only once, however many rosters it is on.
    names = {name for roster in history for name in roster.by_name}
    ranked = rank_by_hash(key_hash, names)
    found = {}
    for roster in history:
        owner = next((name for name in ranked if name in roster.by_name), None)
        if owner is not None and roster.by_name[owner] != state.incarnation:
            found[roster.by_name[owner]] = None
    return list(found)


def settle_key(state: EntryState, key_hash: bytes) -> KeyStatus:
    """Return the status of a key under its earlier owners in the retention window.

    Args:
        state: The entry's state.
        key_hash: Hash of a key that this entry has no job for.

    Returns:
        `FREE` if no task of the key can have started, `STARTED` if one may have,
        `PENDING` while replies are missing or this entry does not own the key on
        its roster, `AT_EARLIER_OWNER` if an earlier owner is live and has the job.
    """
    if not state.guards.census:
        return KeyStatus.FREE
    if state.incarnation is None or owner_of(state, key_hash) != state.name:
        return KeyStatus.PENDING
    earlier = earlier_owners(state, key_hash)
    live = [entry for entry in earlier if state.control.is_live(entry)]
    statuses = query_earlier_owners(state, key_hash, live)
    if KeyQueryStatus.KNOWN in statuses.values():
        return KeyStatus.AT_EARLIER_OWNER
    if KeyQueryStatus.ASKED in statuses.values():
        return KeyStatus.PENDING
    return _status_under_ended(state, key_hash, earlier)


def _status_under_ended(
    state: EntryState, key_hash: bytes, earlier: list[Incarnation]
) -> KeyStatus:
    ended = [entry for entry in earlier if entry in state.control.ended]
    # An owner that left as planned has handed its keys over to later owners, which
    # were queried. If one of those was lost, the keys handed to it were lost too, and
    # the census covers the planned leavers as well.
    if all(state.control.ended[entry].planned for entry in ended):
        return KeyStatus.FREE
    statuses = {census_key_status(state, entry, key_hash) for entry in ended}
    for status in (KeyStatus.STARTED, KeyStatus.PENDING):
        if status in statuses:
            return status
    return KeyStatus.FREE


def find_job_holder(state: EntryState, key_hash: bytes) -> Incarnation | None:
    """Return the live earlier owner that has the job of a key, or None."""
    earlier = earlier_owners(state, key_hash)
    live = [entry for entry in earlier if state.control.is_live(entry)]
    for entry, status in query_earlier_owners(state, key_hash, live).items():
        if status is KeyQueryStatus.KNOWN:
            return entry
    return None
