"""Whether a new job may be admitted under a key."""

from __future__ import annotations

from enum import StrEnum


class KeyStatus(StrEnum):
    """What is known of a key whose owner has no job for it.

    Attributes:
        FREE: No task of the key can have started; a new job may be admitted.
        STARTED: A task of the key may have started under an ended owner.
        PENDING: Not known yet.
        AT_EARLIER_OWNER: An earlier owner is live and has the job.
    """

    FREE = "free"
    STARTED = "started"
    PENDING = "pending"
    AT_EARLIER_OWNER = "elsewhere"
