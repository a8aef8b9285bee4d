"""How much of the operators' declarations an entry has read, and how old that is."""

from __future__ import annotations

import attrs

from ..foundation._rendezvous import choose_by_hash

# Age of the declarations from which an entry asks another one that has newer ones, in
# milliseconds. A read of the store ends within 700 ms, so a younger age means that the
# store is about to return the same.
STALE_MS = 1_000
# Time after which an entry that was asked counts as silent, in milliseconds.
QUESTION_LIMIT_MS = 600


@attrs.define
class DeclarationFreshness:
    """Decides whether an entry's declarations are up to date, and whom to ask.

    Declarations are records of one log, so that the offset after the last record orders
    all states of them. All times are on the clock of the process, in milliseconds.

    Attributes:
        name: Name of this entry, so that entries choose different ones to ask.
        offset: Offset after the last record in force; -1 before the first read.
        confirmed_ms: Latest time at which no later record is known to have existed;
            None before the first read.
        failing_since_ms: When the first read of the store without an answer was sent;
            None if the newest one was answered.
        ahead: Offset of each entry that has read more, by address.
    """

    name: str = ""
    offset: int = -1
    confirmed_ms: int | None = None
    failing_since_ms: int | None = None
    ahead: dict[str, int] = attrs.field(factory=dict)
    _asked: str = ""
    _asked_ms: int | None = None

    def advance(self, offset: int) -> None:
        """Record that the records before an offset are in force."""
        self.offset = max(self.offset, offset)
        self.ahead = {
            entry: other for entry, other in self.ahead.items() if other > self.offset
        }

    def record_answer(self, offset: int, end: int, sent_ms: int) -> None:
        """Record that the store has answered a read.

        Args:
            offset: Offset after the last record that was returned.
            end: Offset after the last record of the log.
            sent_ms: When the read was sent.
        """
        self.failing_since_ms = None
        self.advance(offset)
        self.confirm(end, sent_ms)

    def confirm(self, end: int, as_of_ms: int) -> None:
        """Record up to where the log went.

        An answer that shows less than what is known was given before, and confirms
        nothing.

        Args:
            end: Offset after the last record.
            as_of_ms: When that was so.
        """
        if end != self.offset:
            return
        if self.confirmed_ms is None or as_of_ms > self.confirmed_ms:
            self.confirmed_ms = as_of_ms

    def record_failure(self, sent_ms: int) -> None:
        """Record that a read got no answer.

        Args:
            sent_ms: When it was sent.
        """
        if self.failing_since_ms is None:
            self.failing_since_ms = sent_ms

    def record_other(self, entry: str, offset: int, as_of_ms: int | None) -> None:
        """Record how much another entry has read.

        Args:
            entry: Address of the entry.
            offset: Offset after the last record in force there.
            as_of_ms: When no later record existed, as the other entry knows; None if it
                does not.
        """
        if offset > self.offset:
            self.ahead[entry] = offset
            return
        self.ahead.pop(entry, None)
        if as_of_ms is not None:
            self.confirm(offset, as_of_ms)

    def forget(self, entry: str) -> None:
        """Forget what an entry has read whose link has closed."""
        self.ahead.pop(entry, None)
        self.record_answer_of(entry)

    def age_ms(self, now_ms: int) -> int | None:
        """Return the time since `confirmed_ms`; None before the first read."""
        return None if self.confirmed_ms is None else now_ms - self.confirmed_ms

    def is_confirmed(self, now_ms: int, limit_ms: int) -> bool:
        """Whether the declarations are those of at most `limit_ms` ago."""
        return self.confirmed_ms is not None and now_ms - self.confirmed_ms <= limit_ms

    def choose_entry(self, now_ms: int) -> str | None:
        """Return an entry to ask for its declarations now, and count it as asked.

        None while the store may return them at any moment, and while another entry
        that was asked may still answer.
        """
        age_ms = self.age_ms(now_ms)
        stale = age_ms is not None and age_ms >= STALE_MS
        if not self.ahead or not (stale or self.failing_since_ms is not None):
            return None
        if self._asked_ms is not None and now_ms - self._asked_ms < QUESTION_LIMIT_MS:
            return None
        # The entry that was asked last comes last, since it has not answered.
        others = [name for name in self.ahead if name != self._asked] or self.ahead
        newest = max(self.ahead[name] for name in others)
        entry = choose_by_hash(
            self.name.encode(), [name for name in others if self.ahead[name] == newest]
        )
        self._asked, self._asked_ms = entry, now_ms
        return entry

    def record_answer_of(self, entry: str) -> None:
        """Record that an entry that was asked has answered."""
        if self._asked == entry:
            self._asked, self._asked_ms = "", None
