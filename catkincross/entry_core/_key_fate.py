"""What is known of a key under earlier owners."""

from __future__ import annotations

from enum import StrEnum


class KeyFate(StrEnum):
    """What is known of a key under earlier owners."""

    FREE = "free"
    STARTED = "started"
    PENDING = "pending"
    ELSEWHERE = "elsewhere"
