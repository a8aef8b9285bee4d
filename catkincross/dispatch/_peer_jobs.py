"""Tracking of the volatile jobs that other entries hold.

Load pattern: entries are killed or lose power, and client accounts send the same jobs
to other entries while workers still run the tasks of the lost entry. A job must not
run twice at the same time, so an entry does not start it until the agents have ended
the runs of the lost entry.

An entry that cannot be reached may be cut off rather than lost, and go on with a job
that it was asked for. It drops the request once it has missed the entry that asked, so
that entry waits for this time too.

If only an answer is lost, the client account may send a job again that has ended. The
entry that ran it still has the answer, so it is asked before the job runs once more.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

import attrs

from ..peers import Greeting, LostVolatileJobs, VolatileJobs

# How long the jobs of a lost entry are remembered, in milliseconds.
LOST_ENTRY_RETENTION_MS = 10_000
# How long the entry of an ended job is asked for its answer, in milliseconds. It keeps
# the answer for 4,000 ms, and announces the end up to 400 ms later.
ENDED_JOB_MEMORY_MS = 3_500
# How long it is remembered that a job may have run at an entry that gave it up, in
# milliseconds. Client accounts send a request again 1,300 ms after an answer that
# leaves its end open.
GIVEN_UP_MEMORY_MS = 10_000
# Pause before it is looked again whether an entry that is cut off has come back, in
# milliseconds.
CUT_OFF_RETRY_MS = 250


@attrs.frozen
class NoHolder:
    """No other entry holds the job, so this entry may run it."""


@attrs.frozen
class LiveHolder:
    """A connected entry holds the job.

    Attributes:
        address: Address of the entry, `IP:port`.
        wait_ms: Pause before the entry is asked again, in milliseconds.
    """

    address: str
    wait_ms: int = 0


@attrs.frozen
class LostHolder:
    """A lost entry held the job, and workers may still run its tasks.

    Attributes:
        wait_ms: Time until agents have ended these runs, in milliseconds.
    """

    wait_ms: int


@attrs.define(eq=False)
class _PeerEntry:
    """Volatile jobs of one incarnation of an entry.

    Attributes:
        address: Address of the entry, `IP:port`.
        jobs: IDs of the jobs that the entry holds.
        ended_ms: When the entry announced the end of a job, by job ID, on the process's
            clock in milliseconds; the oldest come first.
        given_up_ms: The same for jobs that were given up and may have run.
        unanswered_ms: When a request from here for a job last ended without an answer,
            by job ID, on the process's clock in milliseconds.
        asked_ms: When the entry was asked to run a job, by job ID, without an answer
            until now; the request may still be on its way.
        lost_ms: When the entry's link closed, on the process's clock in milliseconds;
            None while the link is open.
        replaced: Whether a later incarnation of the entry is known, so that this one
            has ended.
    """

    address: str
    jobs: set[str] = attrs.field(factory=set)
    ended_ms: dict[str, int] = attrs.field(factory=dict)
    given_up_ms: dict[str, int] = attrs.field(factory=dict)
    unanswered_ms: dict[str, int] = attrs.field(factory=dict)
    asked_ms: dict[str, int] = attrs.field(factory=dict)
    lost_ms: int | None = None
    replaced: bool = False


@attrs.define(eq=False)
class PeerVolatileJobs:
    """Volatile jobs that other entries hold.

    Attributes:
        run_expiry_ms: Time after the loss of an entry in which agents may still have
            runs of its volatile jobs, in milliseconds.
        release_ms: Longest time for which an entry that is cut off keeps the request of
            another one after it was last reached, in milliseconds.
        own_process: Name and incarnation of this entry.
        entries: Other entries by name and incarnation.
        named: Returns the addresses of the entries that the store names as members now.
            If one of them is lost, it is alive behind a cut, and its runs go on.
    """

    run_expiry_ms: int
    release_ms: int = 0
    own_process: tuple[str, int] = ("", 0)
    entries: dict[tuple[str, int], _PeerEntry] = attrs.field(factory=dict)
    named: Callable[[], Collection[str]] = tuple

    def add_entry(self, greeting: Greeting) -> None:
        """Record that an entry has opened a link."""
        key = greeting.name, greeting.incarnation
        peer = self.entries.setdefault(key, _PeerEntry(greeting.address))
        peer.lost_ms = None
        for (name, incarnation), other in self.entries.items():
            if name == greeting.name and incarnation < greeting.incarnation:
                other.replaced = True

    def update(self, greeting: Greeting, changes: VolatileJobs, now_ms: int) -> None:
        """Record which jobs an entry has begun and which have ended there."""
        peer = self.entries.get((greeting.name, greeting.incarnation))
        if peer is None:
            return
        if changes.complete:
            # Ends that were announced while the link was closed did not arrive.
            peer.jobs.intersection_update(peer.asked_ms)
        peer.jobs.update(changes.begun)
        for ended in (changes.ended, changes.given_up, changes.dropped):
            peer.jobs.difference_update(ended)
        for job_id in changes.begun:
            peer.ended_ms.pop(job_id, None)
        _remember(peer.ended_ms, changes.ended, now_ms, ENDED_JOB_MEMORY_MS)
        _remember(peer.given_up_ms, changes.given_up, now_ms, GIVEN_UP_MEMORY_MS)

    def record_forwarding(self, address: str, job_id: str) -> bool:
        """Record that a connected entry is about to get a job from this one.

        The entry announces the job itself only later, and may be lost before that.

        Returns:
            False if no entry with this address is connected.
        """
        for peer in self.entries.values():
            if peer.address == address and peer.lost_ms is None:
                peer.jobs.add(job_id)
                return True
        return False

    def record_no_answer(self, address: str, job_id: str, now_ms: int) -> None:
        """Record that a request for a job to an entry has ended without an answer."""
        for peer in self.entries.values():
            if peer.address == address:
                _remember(peer.unanswered_ms, [job_id], now_ms, GIVEN_UP_MEMORY_MS)

    def record_rejection(self, address: str, job_id: str) -> None:
        """Record that an entry has rejected a job that was forwarded to it."""
        for peer in self.entries.values():
            if peer.address == address and peer.lost_ms is None:
                peer.jobs.discard(job_id)

    def record_request(self, address: str, job_id: str, now_ms: int) -> None:
        """Record that a connected entry is asked to run a job.

        Until it answers it counts as the holder, also if it gives the job up meanwhile:
        it begins the job anew when the request arrives.
        """
        for peer in self.entries.values():
            if peer.address == address and peer.lost_ms is None:
                _remember(peer.asked_ms, [job_id], now_ms, GIVEN_UP_MEMORY_MS)

    def record_answer(self, address: str, job_id: str) -> None:
        """Record that an entry has answered a request."""
        for peer in self.entries.values():
            if peer.address == address:
                peer.asked_ms.pop(job_id, None)
                peer.unanswered_ms.pop(job_id, None)

    def mark_entry_lost(self, greeting: Greeting, *, now_ms: int) -> None:
        """Record that the link of an entry has closed."""
        peer = self.entries.get((greeting.name, greeting.incarnation))
        if peer is not None and peer.lost_ms is None:
            peer.lost_ms = now_ms

    def lost_jobs(self, now_ms: int) -> list[LostVolatileJobs]:
        """Return the jobs of lost entries of which agents may still have runs.

        They are sent first on each new link, since a process that has started after the
        loss cannot know them.
        """
        return [
            LostVolatileJobs(
                name, incarnation, entry.address, now_ms - entry.lost_ms, [*entry.jobs]
            )
            for (name, incarnation), entry in self.entries.items()
            if entry.lost_ms is not None
            and entry.jobs
            and now_ms - entry.lost_ms < self.run_expiry_ms
        ]

    def add_lost_jobs(self, lost: LostVolatileJobs, now_ms: int) -> None:
        """Record the jobs of a lost entry that another entry knows.

        Nothing is recorded if this entry still has a link to that process, or is that
        process itself.
        """
        key = lost.name, lost.incarnation
        if key == self.own_process:
            return
        peer = self.entries.setdefault(key, _PeerEntry(lost.address, lost_ms=0))
        if peer.lost_ms is not None:
            peer.jobs.update(lost.jobs)
            peer.lost_ms = max(peer.lost_ms, now_ms - lost.lost_for_ms)

    def end_earlier_processes(self, greeting: Greeting, now_ms: int) -> None:
        """Record that the earlier processes of an entry are lost.

        No link of theirs has closed if their host was turned off.
        """
        for (name, incarnation), other in self.entries.items():
            if name == greeting.name and incarnation < greeting.incarnation:
                other.replaced = True
                if other.lost_ms is None:
                    other.lost_ms = now_ms

    def lost_addresses(self, now_ms: int) -> set[str]:
        """Return the addresses of entries that are lost and have not come back.

        Agents may still have runs of these entries.
        """
        linked = {
            entry.address for entry in self.entries.values() if entry.lost_ms is None
        }
        return self.restarted_addresses(now_ms) - linked

    def restarted_addresses(self, now_ms: int) -> set[str]:
        """Return the addresses of which a process was lost lately, back or not."""
        return {
            entry.address
            for entry in self.entries.values()
            if entry.lost_ms is not None and now_ms - entry.lost_ms < self.run_expiry_ms
        }

    def newest_loss_ms(self) -> int | None:
        """Return when an entry was last lost, on the process's clock; None if never."""
        lost_ms = [
            entry.lost_ms
            for entry in self.entries.values()
            if entry.lost_ms is not None
        ]
        return max(lost_ms, default=None)

    def find_holder(
        self, job_id: str, now_ms: int, *, other_than: tuple[str, int] = ("", 0)
    ) -> NoHolder | LiveHolder | LostHolder:
        """Return who holds a job, and remove lost entries past their retention.

        A connected entry also holds the answer of a job that has ended there lately.

        Args:
            job_id: The job.
            now_ms: Current time on the process's clock, in milliseconds.
            other_than: Name and incarnation of an entry that is left out.
        """
        named = self.named()
        for key, entry in list(self.entries.items()):
            lost_ms = entry.lost_ms
            alive = not entry.replaced and entry.address in named
            expired = lost_ms is not None and now_ms - lost_ms > LOST_ENTRY_RETENTION_MS
            if expired and not alive:
                del self.entries[key]
            elif key == other_than:
                continue
            elif job_id in entry.jobs or _asked_lately(entry, job_id, now_ms):
                if lost_ms is None:
                    return LiveHolder(entry.address)
                remaining_ms = self._release_ms(entry, job_id, lost_ms) - now_ms
                if alive:
                    remaining_ms = max(remaining_ms, CUT_OFF_RETRY_MS)
                if remaining_ms > 0:
                    return LostHolder(remaining_ms)
            elif lost_ms is None and _ended_lately(entry, job_id, now_ms):
                return LiveHolder(entry.address)
        return NoHolder()

    def _release_ms(self, entry: _PeerEntry, job_id: str, lost_ms: int) -> int:
        """Return when a lost entry and its agents have given up a job."""
        end_ms = lost_ms
        unanswered_ms = entry.unanswered_ms.get(job_id)
        if unanswered_ms is not None and not entry.replaced:
            end_ms = max(end_ms, unanswered_ms + self.release_ms)
        return end_ms + self.run_expiry_ms

    def may_have_run(self, job_id: str) -> bool:
        """Whether another entry is known to have begun a job."""
        return any(
            job_id in entry.jobs
            or job_id in entry.ended_ms
            or job_id in entry.given_up_ms
            for entry in self.entries.values()
        )


def _remember(
    times_ms: dict[str, int], job_ids: list[str], now_ms: int, limit_ms: int
) -> None:
    """Add jobs to those that ended lately, and drop those past the limit."""
    for job_id in job_ids:
        times_ms.pop(job_id, None)
        times_ms[job_id] = now_ms
    for job_id, ended_ms in list(times_ms.items()):
        if now_ms - ended_ms <= limit_ms:
            return
        del times_ms[job_id]


def _ended_lately(entry: _PeerEntry, job_id: str, now_ms: int) -> bool:
    ended_ms = entry.ended_ms.get(job_id)
    return ended_ms is not None and now_ms - ended_ms <= ENDED_JOB_MEMORY_MS


def _asked_lately(entry: _PeerEntry, job_id: str, now_ms: int) -> bool:
    asked_ms = entry.asked_ms.get(job_id)
    return asked_ms is not None and now_ms - asked_ms <= GIVEN_UP_MEMORY_MS
