"""Ejection of upstreams that fail more often than their peers."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..settings._settings import EjectionSettings


class EjectionState(StrEnum):
    """Whether an upstream gets all of its work, none or a few probes."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBING = "probing"


@attrs.define
class FailureRecord:
    """Recent task failures on an upstream.

    Attributes:
        failure_rate: Share of failed tasks, with exponential decay.
        failed_jobs: Key hashes of the jobs with a failed task since the last success.
        ejections: Consecutive ejections; each doubles the length of the next one, up to
            `EjectionSettings.longest_ms`.
        ejected_until_ms: When the ejection ends.
        probes_passed: Consecutive successes while probing.
    """

    state: EjectionState = EjectionState.GOOD
    failure_rate: float = 0.0
    failed_jobs: set[bytes] = attrs.field(factory=set)
    ejections: int = 0
    ejected_until_ms: int = 0
    probes_passed: int = 0


@attrs.define
class EjectionTracker:
    """Ejection state of the upstreams of one service at a home.

    Attributes:
        records: Failure record by name of the upstream's agent.
        restricted: Upstreams that are ejected or probing.
        rate_sum: Sum of the failure rates of all records.
    """

    settings: EjectionSettings
    records: dict[str, FailureRecord] = attrs.field(factory=dict)
    restricted: set[str] = attrs.field(factory=set)
    rate_sum: float = 0.0

    def record(self, name: str) -> FailureRecord:
        """Return the record of an upstream; creates one for a new upstream."""
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = FailureRecord()
        return record

    def forget(self, name: str) -> None:
        """Remove an upstream that has ended."""
        record = self.records.pop(name, None)
        if record is not None:
            self.rate_sum -= record.failure_rate
            self.restricted.discard(name)

    def observe(self, name: str, job: bytes, *, failed: bool, now_ms: int) -> bool:
        """Record the end of a task; return whether the upstream's state changed."""
        record = self.record(name)
        rate_change = self.settings.decay * (float(failed) - record.failure_rate)
        record.failure_rate += rate_change
        self.rate_sum += rate_change
        if failed:
            record.failed_jobs.add(job)
        else:
            record.failed_jobs.clear()
        if record.state is EjectionState.PROBING:
            return self._observe_probe(name, record, failed=failed, now_ms=now_ms)
        if (
            record.state is EjectionState.GOOD
            and failed
            and self._exceeds_peers(record)
        ):
            return self._eject(name, record, now_ms)
        return False

    def _exceeds_peers(self, record: FailureRecord) -> bool:
        # A single job may fail through its own fault, on any upstream.
        if len(record.failed_jobs) < self.settings.jobs:
            return False
        peers = max(1, len(self.records) - 1)
        peer_rate = (self.rate_sum - record.failure_rate) / peers
        return record.failure_rate >= self.settings.excess + 2 * peer_rate

    def _eject(self, name: str, record: FailureRecord, now_ms: int) -> bool:
        # At most a third of the upstreams are ejected or probing at a time.
        if 3 * (len(self.restricted) + 1) > len(self.records):
            return False
        self.restricted.add(name)
        self._suspend(record, now_ms)
        return True

    def _suspend(self, record: FailureRecord, now_ms: int) -> None:
        longest_ms = self.settings.longest_ms
        duration_ms = self.settings.eject_ms * 2 ** min(record.ejections, 20)
        record.state = EjectionState.EJECTED
        record.ejections += 1
        record.ejected_until_ms = now_ms + min(longest_ms, duration_ms)

    def _observe_probe(
        self, name: str, record: FailureRecord, *, failed: bool, now_ms: int
    ) -> bool:
        if failed:
            self._suspend(record, now_ms)
            return True
        record.probes_passed += 1
        if record.probes_passed < self.settings.probes:
            return False
        self.rate_sum -= record.failure_rate
        record.failure_rate = 0.0
        record.state = EjectionState.GOOD
        record.ejections = 0
        self.restricted.discard(name)
        return True

    def begin_probe(self, name: str, now_ms: int) -> None:
        """Start to probe an upstream with a few tasks once its ejection has ended."""
        record = self.record(name)
        if record.state is EjectionState.EJECTED and now_ms >= record.ejected_until_ms:
            record.state = EjectionState.PROBING
            record.probes_passed = 0
