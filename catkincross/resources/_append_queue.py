"""Rate-limited queue of the records that an entry appends to the control stream."""

from __future__ import annotations

from collections import deque

import attrs

from ..protocol._records import Record

MAX_REFUSAL_REASONS = 200


@attrs.define
class PendingAppend:
    """A record of this entry whose outcome is not settled yet.

    Attributes:
        record: The record; its sequence number is set when it is sent.
        requests: IDs of the operators' requests that wait for the outcome.
        answer_due_ms: When the waiting requests are answered with `unknown`, on this
            process's clock, or None if no such answer is due.
        sent: Whether the record was handed to the log.
        uncertain_ms: When the append ended with an unknown outcome, on this
            process's clock, or None if it did not.
    """

    record: Record
    requests: list[int] = attrs.field(factory=list)
    answer_due_ms: int | None = None
    sent: bool = False
    uncertain_ms: int | None = None


@attrs.define
class AppendQueue:
    """Unsettled records of this entry, with a token bucket that limits appends.

    One append is in flight at a time. Each record carries a sequence number, and the
    fold ignores a record whose number is not above the last one of its author. So a
    record with an unknown outcome is settled as soon as a later one is folded.

    Attributes:
        rate: Tokens added per second; also the capacity of the bucket.
        waiting: IDs of the records to send, in order.
        in_flight: ID of the record in flight, or an empty string.
        pending: Unsettled records by ID, whether sent or waiting.
        sequence: Sequence number of the last record that this incarnation sent.
        not_kept: Why records were never appended, by record ID.
        tokens: Tokens in the bucket; each append takes one.
        filled_ms: When tokens were last added, on this process's clock, or None
            before the first time.
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
        """Queue a record to be appended."""
        unsettled = PendingAppend(record)
        self.pending[record.id] = unsettled
        self.waiting.append(record.id)
        return unsettled

    def start_next(self, now_ms: int) -> PendingAppend | None:
        """Return the next record to append and mark it as in flight.

        The record gets the next sequence number.

        Args:
            now_ms: Current time on this process's clock.

        Returns:
            The record, or None if none is waiting, another one is in flight or no
            token is left.
        """
        self._refill(now_ms)
        if self.in_flight or not self.waiting or self.tokens < 1:
            return None
        self.tokens -= 1
        unsettled = self.pending[self.waiting.popleft()]
        self.sequence += 1
        unsettled.record = attrs.evolve(unsettled.record, sequence=self.sequence)
        unsettled.sent = True
        self.in_flight = unsettled.record.id
        return unsettled

    def next_due_ms(self) -> int | None:
        """Return when the next waiting record gets a token.

        Returns:
            A time on this process's clock in milliseconds, or None if no record is
            waiting, one is in flight, or the bucket was never filled.
        """
        if self.in_flight or not self.waiting or self.filled_ms is None:
            return None
        missing_tokens = max(0.0, 1 - self.tokens)
        return self.filled_ms + int(missing_tokens * 1_000 / self.rate) + 1

    def remove(self, record_id: str) -> PendingAppend | None:
        """Remove and return a settled record, or None if it is not pending."""
        unsettled = self.pending.pop(record_id, None)
        if unsettled is not None and not unsettled.sent:
            self.waiting.remove(record_id)
        return unsettled

    def record_refusal(self, record_id: str, reason: str) -> None:
        """Store why a record was never appended; the number of reasons is limited."""
        self.not_kept[record_id] = reason
        if len(self.not_kept) > MAX_REFUSAL_REASONS:
            del self.not_kept[next(iter(self.not_kept))]

    def clear(self) -> None:
        """Remove all records and restart the sequence numbers."""
        self.pending.clear()
        self.waiting.clear()
        self.in_flight = ""
        self.sequence = 0

    def _refill(self, now_ms: int) -> None:
        if self.filled_ms is None:
            self.tokens = float(self.rate)
        else:
            new_tokens = (now_ms - self.filled_ms) * self.rate / 1_000
            self.tokens = min(float(self.rate), self.tokens + new_tokens)
        self.filled_ms = now_ms
