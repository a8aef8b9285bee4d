"""Keeps an entry's declarations up to date, from the store or from other entries."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from ..clock import Clock
from ..peers import Backlog, DeclarationsHeld, DeclarationsWanted
from ..platform import DeclarationFeed
from ._log import DecisionLog
from ._owner_requests import OwnerRequests

# Shortest time from the begin of a failed read of the declarations to the next read, in
# milliseconds. After a read that a silent connection has held up, the next one is due.
FOLLOW_RETRY_MS = 200
# Time that the store has to return what another entry is known to have, in seconds, and
# interval at which it is decided whether to ask that entry.
QUESTION_DELAY_S = 0.1
# Number of characters of a path in the log.
LOGGED_PATH_LENGTH = 80
# Age that is told before the first read.
UNKNOWN_AGE_MS = -1
MS_PER_S = 1_000


class DeclarationFollower:
    """Follows the declarations in the store, and asks other entries for newer ones.

    Entries tell each other in their backlogs up to where they have read the log of the
    declarations, and as of when. An entry that the store turns away, or that is behind
    for another reason, asks one that has read more for its declarations.

    Args:
        feed: The declarations in the store.
        requests: Links to the other entries.
        clock: Clock of the process.
        log: Log of the process.
        on_change: Called after each change of the declarations in force, and after the
            next read if it fails.
    """

    def __init__(
        self,
        feed: DeclarationFeed,
        requests: OwnerRequests,
        clock: Clock,
        log: DecisionLog,
        on_change: Callable[[], None],
    ) -> None:
        self.feed = feed
        self.requests = requests
        self.clock = clock
        self.log = log
        self.on_change = on_change
        requests.on_backlog = self._on_backlog
        requests.on_declarations = self._on_declarations
        requests.on_closed = feed.freshness.forget
        # Whether the core has not been told of the newest change yet.
        self._pending = False
        self._question_timer: asyncio.TimerHandle | None = None
        # Set at the first declarations, and when the store gives no answer.
        self._first = asyncio.Event()

    @property
    def confirmed(self) -> bool:
        """Whether each change that has to be in force is."""
        limit_ms = self.feed.apply_limit_ms
        return self.feed.freshness.is_confirmed(self.clock.now_ms(), limit_ms)

    async def wait_for_first(self, timeout_ms: int) -> None:
        """Wait until declarations were read or the store gives no answer.

        Args:
            timeout_ms: Longest wait, in milliseconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await self._first.wait()

    def handle_store_lost(self) -> None:
        """End the wait for the first declarations."""
        self._first.set()

    def handle_store_back(self) -> None:
        """Let requests wait again if no declarations were read yet."""
        if self.feed.declarations.version < 0:
            self._first.clear()

    async def follow(self) -> None:
        """Follow the declarations in the store until cancelled."""
        while True:
            failing_since_ms = self.feed.freshness.failing_since_ms
            began_ms = self.clock.now_ms()
            changed = await self.feed.poll()
            self._note_failing(failing_since_ms)
            self._handle_read(bool(changed))
            if changed is None:
                wait_ms = began_ms + FOLLOW_RETRY_MS - self.clock.now_ms()
                await asyncio.sleep(max(0, wait_ms) / MS_PER_S)

    # Other entries.

    def stamp(self, backlog: Backlog) -> Backlog:
        """Return a backlog that tells up to where the declarations were read here."""
        return attrs.evolve(
            backlog,
            declared_offset=self.feed.freshness.offset,
            declared_age_ms=self._told_age_ms(),
        )

    def answer_question(self, question: DeclarationsWanted) -> DeclarationsHeld:
        """Return the answer to an entry that asks for the declarations."""
        return DeclarationsHeld(
            self.feed.freshness.offset,
            self._told_age_ms(),
            question.asked_ms,
            self.feed.values,
        )

    def _told_age_ms(self) -> int:
        """Return the age as other entries are told it."""
        age_ms = self.feed.freshness.age_ms(self.clock.now_ms())
        return UNKNOWN_AGE_MS if age_ms is None else age_ms

    def _on_backlog(self, entry: str, backlog: Backlog, sent_ms: int) -> None:
        """Record what another entry has read.

        Args:
            entry: Address of the entry.
            backlog: Its backlog.
            sent_ms: When it was asked, on the clock of the process.
        """
        if backlog.declared_offset >= 0:
            self._record_other(
                entry, backlog.declared_offset, sent_ms, backlog.declared_age_ms
            )
            self._schedule_question()

    def _record_other(
        self, entry: str, offset: int, asked_ms: int, age_ms: int
    ) -> None:
        # The answer may have been on its way for any part of the time since the
        # question, so its age counts from there.
        as_of_ms = None if age_ms == UNKNOWN_AGE_MS else asked_ms - age_ms
        self.feed.freshness.record_other(entry, offset, as_of_ms)

    def _schedule_question(self) -> None:
        if self.feed.freshness.ahead and self._question_timer is None:
            loop = asyncio.get_running_loop()
            self._question_timer = loop.call_later(QUESTION_DELAY_S, self._ask)

    def _ask(self) -> None:
        """Ask another entry for its declarations if the store does not return them."""
        self._question_timer = None
        freshness = self.feed.freshness
        now_ms = self.clock.now_ms()
        entry = freshness.choose_entry(now_ms)
        if entry is not None:
            self.log.note(
                "declarations asked for",
                entry=entry,
                offset=freshness.offset,
                newer_offset=freshness.ahead[entry],
                age_ms=freshness.age_ms(now_ms),
                store_failing=freshness.failing_since_ms is not None,
            )
            question = DeclarationsWanted(freshness.offset, now_ms)
            self.requests.notify(entry, question)
        self._schedule_question()

    def _on_declarations(self, entry: str, message: DeclarationsHeld) -> None:
        self.feed.freshness.record_answer_of(entry)
        changed = self.feed.take_copy(message.offset, message.values)
        self._record_other(entry, message.offset, message.asked_ms, message.age_ms)
        self._handle_read(changed)

    # What was read.

    def _handle_read(self, changed: bool) -> None:
        for error in self.feed.decode_errors:
            self.log.note("declaration not read", error=error)
        self.feed.decode_errors.clear()
        if changed:
            self._pending = True
            self._note_change()
        if not self._pending:
            return
        try:
            self.on_change()
        except Exception as error:
            self.log.note_error("declarations", error)
            return
        self._pending = False
        self._first.set()

    def _note_change(self) -> None:
        declarations = self.feed.declarations
        self.log.note(
            "declarations",
            version=declarations.version,
            queues=len(declarations.queues),
            evacuated=sorted(declarations.evacuated),
            offset=self.feed.freshness.offset,
            source=self.feed.source,
            age_ms=self.feed.freshness.age_ms(self.clock.now_ms()),
        )

    def _note_failing(self, failing_since_ms: int | None) -> None:
        """Log the first read that fails, and the end of the failures.

        Args:
            failing_since_ms: Since when reads had failed before the newest one; None
                if they had not.
        """
        freshness = self.feed.freshness
        now_ms = self.clock.now_ms()
        version = self.feed.declarations.version
        if failing_since_ms is None and freshness.failing_since_ms is not None:
            self.log.note(
                "store does not return declarations",
                version=version,
                age_ms=freshness.age_ms(now_ms),
            )
        elif failing_since_ms is not None and freshness.failing_since_ms is None:
            self.log.note(
                "store returns declarations again",
                version=version,
                failed_ms=now_ms - failing_since_ms,
            )

    def note_unknown_queue(self, verb: str, host: str, path: str) -> None:
        """Log a request whose queue is not declared, and by what that was decided."""
        freshness = self.feed.freshness
        self.log.note(
            "queue not declared",
            verb=verb,
            host=host,
            path=path[:LOGGED_PATH_LENGTH],
            version=self.feed.declarations.version,
            offset=freshness.offset,
            age_ms=freshness.age_ms(self.clock.now_ms()),
            confirmed=self.confirmed,
        )
