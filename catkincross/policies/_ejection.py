"""Ejection of upstreams that fail more than their peers."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..settings._settings import EjectionSettings


class Standing(StrEnum):
    """Whether an upstream gets work."""

    GOOD = "good"
    EJECTED = "ejected"
    PROBING = "probing"


@attrs.define
class Record:
    """Recent ends of tasks on an upstream.

    Attributes:
        failure_rate: Share of failures, with exponential decay.
        failed_jobs: Jobs of the failures since the last success.
        ejections: Ejections in a row, which lengthen the next one.
        until_ms: End of the ejection.
        probes_passed: Successes in a row while probing.
    """

    standing: Standing = Standing.GOOD
    failure_rate: float = 0.0
    failed_jobs: set[bytes] = attrs.field(factory=set)
    ejections: int = 0
    until_ms: int = 0
    probes_passed: int = 0


@attrs.define
class Ejections:
    """Standing of the upstreams of one service at a home.

    Attributes:
        records: Record by name of the upstream's agent.
        ejected: Upstreams that are ejected or probed.
    """

    settings: EjectionSettings
    records: dict[str, Record] = attrs.field(factory=dict)
    ejected: set[str] = attrs.field(factory=set)
    rate_sum: float = 0.0

    def record(self, name: str) -> Record:
        """Return the record of an upstream, a clean one for a new one."""
        record = self.records.get(name)
        if record is None:
            record = self.records[name] = Record()
        return record

    def forget(self, name: str) -> None:
        """Remove an upstream that has ended."""
        record = self.records.pop(name, None)
        if record is not None:
            self.rate_sum -= record.failure_rate
            self.ejected.discard(name)

    def observe(self, name: str, job: bytes, *, failed: bool, now_ms: int) -> bool:
        """Take the end of a task; return whether the upstream's standing changed."""
        record = self.record(name)
        change = self.settings.decay * (float(failed) - record.failure_rate)
        record.failure_rate += change
        self.rate_sum += change
        if failed:
            record.failed_jobs.add(job)
        else:
            record.failed_jobs.clear()
        if record.standing is Standing.PROBING:
            return self._probed(name, record, failed=failed, now_ms=now_ms)
        if record.standing is Standing.GOOD and failed and self._is_bad(record):
            return self._eject(name, record, now_ms)
        return False

    def _is_bad(self, record: Record) -> bool:
        # One job may fail by its own fault, wherever it runs.
        if len(record.failed_jobs) < self.settings.jobs:
            return False
        peers = max(1, len(self.records) - 1)
        peer_rate = (self.rate_sum - record.failure_rate) / peers
        return record.failure_rate >= self.settings.excess + 2 * peer_rate

    def _eject(self, name: str, record: Record, now_ms: int) -> bool:
        if 3 * (len(self.ejected) + 1) > len(self.records):
            return False
        self.ejected.add(name)
        self._suspend(record, now_ms)
        return True

    def _suspend(self, record: Record, now_ms: int) -> None:
        longest_ms = self.settings.longest_ms
        duration_ms = self.settings.eject_ms * 2 ** min(record.ejections, 20)
        record.standing = Standing.EJECTED
        record.ejections += 1
        record.until_ms = now_ms + min(longest_ms, duration_ms)

    def _probed(self, name: str, record: Record, *, failed: bool, now_ms: int) -> bool:
        if failed:
            self._suspend(record, now_ms)
            return True
        record.probes_passed += 1
        if record.probes_passed < self.settings.probes:
            return False
        self.rate_sum -= record.failure_rate
        record.failure_rate = 0.0
        record.standing = Standing.GOOD
        record.ejections = 0
        self.ejected.discard(name)
        return True

    def begin_probe(self, name: str, now_ms: int) -> None:
        """Let an upstream have a few tasks again once its ejection is over."""
        record = self.record(name)
        if record.standing is Standing.EJECTED and now_ms >= record.until_ms:
            record.standing = Standing.PROBING
            record.probes_passed = 0
