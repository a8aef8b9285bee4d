"""Budget and backoff of repeated work."""

from __future__ import annotations

import random

import attrs

MOST_TOKENS = 100.0


@attrs.define
class RetryBudget:
    """Tokens earned by successes and spent by extra attempts.

    Without a budget, retries multiply the load at the time when it is too high.

    Attributes:
        share: Extra attempts allowed for each success.
        tokens: Extra attempts that may be made now.
    """

    share: float
    tokens: float = 5.0

    def earn(self) -> None:
        """Count a success."""
        self.tokens = min(MOST_TOKENS, self.tokens + self.share)

    def spend(self) -> bool:
        """Take a token for an extra attempt; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_ms(
    attempts: int, first_ms: int, longest_ms: int, rng: random.Random
) -> int:
    """Return the wait before the next attempt, with full jitter.

    Args:
        attempts: Attempts that were made.
        first_ms: Longest wait after the first attempt.
        longest_ms: Longest wait at all.
        rng: Source of the jitter.
    """
    bound_ms = min(longest_ms, first_ms * 2 ** min(20, max(0, attempts - 1)))
    return 1 + int(rng.random() * bound_ms)
