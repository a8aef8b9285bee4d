"""Whether a key that the owner does not know may be admitted."""

from __future__ import annotations

from enum import StrEnum

from ._entry_state import EntryState


class KeyFate(StrEnum):
    """What is known of a key under earlier owners."""

    FREE = "free"
    STARTED = "started"
    PENDING = "pending"
    ELSEWHERE = "elsewhere"


def settle_key(state: EntryState, key_hash: bytes) -> KeyFate:
    """Return what is known of a key under the earlier owners of the retention window.

    Args:
        state: The entry's state.
        key_hash: Hash of a key that this entry owns and has no job for.

    Returns:
        `FREE` if no task of the key can have started, `STARTED` if one may have,
        `PENDING` while that is being found out, `ELSEWHERE` if an earlier owner
        lives and keeps the job.
    """
    return KeyFate.FREE
