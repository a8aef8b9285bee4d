"""Freshness lease: how recently a process knew the log's tail."""

from __future__ import annotations

import attrs

from ..protocol._messages import NO_EVIDENCE


@attrs.define
class Freshness:
    """The newest evidence of the log's tail that a process holds.

    Attributes:
        lease_ms: Oldest evidence with which work may start.
        evidence_ms: Time of the evidence on this process's clock, or None.
        version: Version that the evidence speaks of.
    """

    lease_ms: int
    evidence_ms: int | None = None
    version: int = 0

    def renew(self, evidence_ms: int, version: int) -> None:
        """Take evidence if it is newer.

        Args:
            evidence_ms: When the log's tail was `version`, on this process's clock.
            version: A version that this process has folded.
        """
        if version < self.version:
            return
        if self.evidence_ms is None or evidence_ms > self.evidence_ms:
            self.evidence_ms = evidence_ms
            self.version = version

    def is_current(self, now_ms: int) -> bool:
        """Whether work may start now."""
        return self.evidence_ms is not None and (
            now_ms - self.evidence_ms <= self.lease_ms
        )

    def age_ms(self, now_ms: int) -> int:
        """Return the age of the evidence, or `NO_EVIDENCE`."""
        return NO_EVIDENCE if self.evidence_ms is None else now_ms - self.evidence_ms
