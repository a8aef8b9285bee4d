"""Records that an entry appends to the control stream, in order, within a budget."""

from __future__ import annotations

from collections import deque

import attrs

from ..protocol._records import Record

KEPT_REASONS = 200


@attrs.define
class PendingAppend:
    """A record of this entry that is not settled yet.

    Attributes:
        requests: Operators' requests that wait for the outcome.
        answer_due_ms: When waiting requests are answered `unknown`.
        sent: It was handed to the log.
        uncertain_ms: Since when the append's outcome is unknown, or None.
    """

    record: Record
    requests: list[int] = attrs.field(factory=list)
    answer_due_ms: int | None = None
    sent: bool = False
    uncertain_ms: int | None = None


@attrs.define
class AppendQueue:
    """Unsettled records of this entry and a token bucket for appends.

    One append is under way at a time. Each carries a sequence number, and the fold
    ignores a record whose number is not above the last one of its author. A record
    with an unknown outcome is thus settled as soon as a later one is folded.

    Attributes:
        rate: Tokens for each second; also the size of the bucket.
        waiting: Ids of records to send, in order.
        in_flight: Id of the record under way, or an empty string.
        pending: Unsettled records by id.
        sequence: Number of the record sent last in this incarnation.
        not_kept: Reasons of records that were never appended, by id.
    """

    rate: int
    waiting: deque[str] = attrs.field(factory=deque)
    in_flight: str = ""
    pending: dict[str, PendingAppend] = attrs.field(factory=dict)
    sequence: int = 0
    not_kept: dict[str, str] = attrs.field(factory=dict)
    tokens: float = 0.0
    filled_ms: int | None = None

    def add(self, record: Record) -> PendingAppend:
        """Queue a record and return its row."""
        row = PendingAppend(record)
        self.pending[record.id] = row
        self.waiting.append(record.id)
        return row

    def take(self, now_ms: int) -> PendingAppend | None:
        """Return the next record to append now, with its number, or None."""
        self._fill(now_ms)
        if self.in_flight or not self.waiting or self.tokens < 1:
            return None
        self.tokens -= 1
        row = self.pending[self.waiting.popleft()]
        self.sequence += 1
        row.record = attrs.evolve(row.record, sequence=self.sequence)
        row.sent = True
        self.in_flight = row.record.id
        return row

    def next_due_ms(self) -> int | None:
        """Return when a token is there for the next record, or None."""
        if self.in_flight or not self.waiting or self.filled_ms is None:
            return None
        missing = max(0.0, 1 - self.tokens)
        return self.filled_ms + int(missing * 1_000 / self.rate) + 1

    def remove(self, record_id: str) -> PendingAppend | None:
        """Remove and return a settled record, or None if it is not pending."""
        row = self.pending.pop(record_id, None)
        if row is not None and not row.sent:
            self.waiting.remove(record_id)
        return row

    def note_not_kept(self, record_id: str, reason: str) -> None:
        """Remember for a time why a record was never appended."""
        self.not_kept[record_id] = reason
        if len(self.not_kept) > KEPT_REASONS:
            del self.not_kept[next(iter(self.not_kept))]

    def clear(self) -> None:
        """Remove all records, and start numbering anew."""
        self.pending.clear()
        self.waiting.clear()
        self.in_flight = ""
        self.sequence = 0

    def _fill(self, now_ms: int) -> None:
        if self.filled_ms is None:
            self.tokens = float(self.rate)
        else:
            earned = (now_ms - self.filled_ms) * self.rate / 1_000
            self.tokens = min(float(self.rate), self.tokens + earned)
        self.filled_ms = now_ms
