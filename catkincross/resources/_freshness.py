"""Freshness lease: limits the age of a process's evidence of the log's tail."""

from __future__ import annotations

import attrs

from ..protocol._messages import NO_EVIDENCE


@attrs.define
class Freshness:
    """The newest evidence that this process knew the control state at the log's tail.

    Attributes:
        lease_ms: Greatest age of the evidence with which work may start.
        evidence_ms: When the log's tail was `version`, on this process's clock, or
            None if there is no evidence yet.
        version: Control version that was the log's tail at that time.
    """

    lease_ms: int
    evidence_ms: int | None = None
    version: int = 0

    def renew(self, evidence_ms: int, version: int) -> None:
        """Replace the evidence if the new one is later and of no older version.

        Args:
            evidence_ms: When the log's tail was `version`, on this process's clock.
            version: A control version that this process has folded or received.
        """
        if version < self.version:
            return
        if self.evidence_ms is None or evidence_ms > self.evidence_ms:
            self.evidence_ms = evidence_ms
            self.version = version

    def is_current(self, now_ms: int) -> bool:
        """Whether the evidence is recent enough for work to start."""
        return self.evidence_ms is not None and (
            now_ms - self.evidence_ms <= self.lease_ms
        )

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the evidence in milliseconds, or `NO_EVIDENCE`."""
        return NO_EVIDENCE if self.evidence_ms is None else now_ms - self.evidence_ms
