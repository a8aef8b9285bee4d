"""Budget and backoff of retries and hedges."""

from __future__ import annotations

import random

import attrs

MAX_TOKENS = 100.0


@attrs.define
class RetryBudget:
    """Budget of tokens that successes earn and extra attempts spend.

    Without a budget, retries multiply the load when it is already too high.

    Attributes:
        share: Tokens earned by each success.
        tokens: Number of extra attempts that may be made now.
    """

    share: float
    tokens: float = 5.0

    def earn(self) -> None:
        """Count a success."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def spend(self) -> bool:
        """Spend a token on an extra attempt; return whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def backoff_ms(attempts: int, initial_ms: int, max_ms: int, rng: random.Random) -> int:
    """Return the wait before the next attempt in milliseconds, with full jitter.

    Args:
        attempts: Number of attempts made so far.
        initial_ms: Upper bound of the wait after the first attempt; doubles for each
            further attempt.
        max_ms: Upper bound of any wait.
        rng: Source of the jitter.
    """
    bound_ms = min(max_ms, initial_ms * 2 ** min(20, max(0, attempts - 1)))
    return 1 + int(rng.random() * bound_ms)
