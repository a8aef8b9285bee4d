"""Claims of volatile jobs, by which only one entry runs a job at a time.

Load pattern: an entry is killed or stands still just after it took a job, and the
client account sends the job to another entry, which has not heard of it. An entry
therefore claims a job at other entries, its witnesses, before it starts the first task.
The witnesses of a job are the first ones in a ranking of all entries by its hash, so
that the next entry asks at least one of the same.

A witness that has started lately has forgotten the claims before, and one that was
lost takes them with it. If an entry and all of its witnesses were lost, the runs of its
jobs must have ended before another entry may begin them.

A witness whose link is open and which gives no answer is silent, not lost: it may be
slow, and hold the job itself. It is asked like the others, but a job may begin without
its answer only if a majority of the first entries know of the claim. A closed link is
no proof either that its entry has ended: it may have been reset.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..foundation._rendezvous import rank_by_hash
from ..peers import Answer, Greeting, VolatileJobs
from ._peer_jobs import (
    CUT_OFF_RETRY_MS,
    LiveHolder,
    LostHolder,
    NoHolder,
    PeerVolatileJobs,
)

# Number of entries that are to know of a claim, the claiming one included. Two of them
# may be lost at the same time.
CLAIM_COPIES = 3
# Number of entries, the first ones in the ranking, of which a majority has to know of a
# claim while others are silent: any two majorities share an entry.
CLAIM_POOL = 2 * CLAIM_COPIES - 1
# Time in which the last start orders of a lost entry arrive, in milliseconds.
ORDER_MS = 50
# Time after which the store no longer names an entry that has ended, in milliseconds:
# its membership ends after 1,000 ms, and the owners are read every 500 ms.
CUT_CERTAIN_MS = 3_000
# Wait that is told for a job behind a cut, in milliseconds. No request has so much time
# left, so that it is answered at once.
CUT_OFF_MS = 10_000
# Outcomes of the answer to a claim.
GRANTED = "granted"
HELD = "held"
# Detail of a granted claim if the witness may have forgotten earlier ones.
STARTED_LATELY = "started lately"


@attrs.frozen
class Contested:
    """Another entry claims the job at the same time, and has to withdraw."""


@attrs.define(eq=False)
class Claim:
    """Progress of one claim.

    Attributes:
        own_address: Address of the claiming entry, `IP:port`.
        ranking: Addresses of all entries in the order in which they are witnesses.
        known: Other entries that the store or an entry names now.
        lost: Entries without a link.
        named: Entries that the store names as members now. Those of them that are lost
            are alive behind a cut, and may begin jobs there.
        silent: Entries that have not answered in time, though their link is open.
        silent_lately: Entries that were silent in earlier claims. If one is lost now,
            its own claims may not have reached this entry.
        cut_off: Lost entries that this claim has found without a link; they may be
            alive behind a cut.
        restarted: Entries that may have lost claims in a restart.
        started_lately: Entries that do not know the claims before their start.
        asked: Entries that were asked.
        asked_ms: When the first one was asked, on the process's clock in milliseconds.
        answers: Answer of each entry that has given one.
    """

    own_address: str
    ranking: list[str]
    known: set[str] = attrs.field(factory=set)
    lost: set[str] = attrs.field(factory=set)
    named: set[str] = attrs.field(factory=set)
    silent: set[str] = attrs.field(factory=set)
    silent_lately: set[str] = attrs.field(factory=set)
    cut_off: set[str] = attrs.field(factory=set)
    restarted: set[str] = attrs.field(factory=set)
    started_lately: set[str] = attrs.field(factory=set)
    asked: set[str] = attrs.field(factory=set)
    asked_ms: int = 0
    answers: dict[str, Answer] = attrs.field(factory=dict)

    def next_witnesses(self) -> list[str]:
        """Return the entries to ask next; none if the verdict is due.

        Silent entries are asked too, and others in their place. Entries whose link has
        closed are asked if the claim lacks a majority without them: they may be alive.
        """
        chosen: list[str] = []
        copies = 0
        for address in self.ranking:
            if copies == CLAIM_COPIES:
                break
            if address not in self.lost:
                chosen.append(address)
                copies += address not in self.started_lately | self.silent
        to_ask = [
            address
            for address in chosen
            if address != self.own_address and address not in self.asked
        ]
        if not to_ask and self._lacks_majority:
            to_ask = sorted(self.lost & self.known - self.cut_off - self.asked)
        return to_ask

    def record_asked(self, address: str) -> None:
        """Record that an entry is being asked."""
        self.asked.add(address)

    def record_answer(self, address: str, answer: Answer | None) -> None:
        """Record the answer of an entry; None if it has no link or the link closed."""
        self.silent.discard(address)
        if answer is None or answer.outcome not in (GRANTED, HELD):
            if address not in self.lost:
                self.cut_off.add(address)
            self.lost.add(address)
            return
        self.lost.discard(address)
        self.cut_off.discard(address)
        self.answers[address] = answer
        if answer.detail == STARTED_LATELY:
            self.started_lately.add(address)

    def record_silence(self, address: str) -> None:
        """Record that an entry has not answered in time."""
        self.silent.add(address)
        self.silent_lately.add(address)

    def record_return(self, address: str) -> None:
        """Record that a lost entry has a link again, so that it is to be asked."""
        self.lost.discard(address)
        self.cut_off.discard(address)
        self.asked.discard(address)

    @property
    def _lacks_majority(self) -> bool:
        """Whether another claim may have a majority that shares no entry with this one.

        New entries had no claims before, and count on neither side. Entries that have
        started lately may have forgotten claims, so they count as not asked.
        """
        new = self.started_lately - self.restarted
        pool = [address for address in self.ranking if address not in new]
        pool = pool[:CLAIM_POOL]
        witnesses = {self.own_address, *self.answers} - self.started_lately
        return 2 * len(witnesses.intersection(pool)) <= len(pool)

    @property
    def may_be_held_behind_cut(self) -> bool:
        """Whether entries that are cut off may begin the job as well.

        They do with a majority. Of two halves, the one with the first entry in the
        ranking counts as the majority.
        """
        if not self.lost & self.named or not self._lacks_majority:
            return False
        if self.started_lately:
            return True
        pool = self.ranking[:CLAIM_POOL]
        witnesses = {self.own_address, *self.answers}.intersection(pool)
        return 2 * len(witnesses) < len(pool) or pool[0] not in witnesses

    @property
    def may_be_held_by_silent(self) -> bool:
        """Whether entries without an answer may have a claim that nobody else knows."""
        suspects = self.silent | (self.silent_lately - self.answers.keys())
        return bool(suspects) and self._lacks_majority

    @property
    def unwitnessed(self) -> bool:
        """Whether another entry and all of its witnesses may have been lost.

        An entry that reaches no other one may be cut off, so that the others may begin
        the job as well. Of two entries the other one has to be cut off for that: if its
        link has closed before, it has ended.
        """
        if not self.answers and (len(self.ranking) > 2 or self.cut_off or self.silent):
            return True
        lost = self.lost | (self.started_lately & self.restarted)
        # Entries that are new had no claims before.
        ranking = [
            address
            for address in self.ranking
            if address in lost or address not in self.started_lately
        ]
        copies = min(CLAIM_COPIES, len(ranking))
        first = ranking[: max(copies - 1, 1)]
        return len(lost) >= copies and lost.issuperset(first)

    def verdict(self) -> NoHolder | LiveHolder | LostHolder | Contested | None:
        """Return who has the job after all answers; None if nobody can tell.

        The first witness in the ranking decides between two entries that claim a job at
        the same time.
        """
        held = [
            self.answers[address]
            for address in self.ranking
            if address in self.answers and self.answers[address].outcome == HELD
        ]
        if not held:
            unknown = (
                self.unwitnessed
                or self.may_be_held_by_silent
                or self.may_be_held_behind_cut
            )
            return None if unknown else NoHolder()
        first = next(
            address
            for address in self.ranking
            if address == self.own_address or address in self.answers
        )
        decisive = self.answers.get(first)
        if decisive is None or decisive.outcome == GRANTED:
            return Contested()
        return holder_in(decisive)


def holder_in(answer: Answer) -> LiveHolder | LostHolder:
    """Return the holder that the answer to a claim names."""
    if answer.detail:
        return LiveHolder(answer.detail)
    return LostHolder(answer.retry_after_ms)


@attrs.define(eq=False)
class JobClaims:
    """Claims of this entry, and its answers to those of other entries.

    Attributes:
        peer_jobs: Volatile jobs that other entries hold or have claimed.
        own_address: Address of this entry, `IP:port`.
        started_ms: When this process started, on its clock in milliseconds.
        claiming: Number of claims of this entry without a verdict, by job ID.
        unreachable_ms: Since when an entry has had no link for a claim, by address, on
            the process's clock in milliseconds; it may be lost.
        silent_ms: When an entry last was silent, by address, on the same clock.
    """

    peer_jobs: PeerVolatileJobs
    own_address: str
    started_ms: int
    claiming: dict[str, int] = attrs.field(factory=dict)
    unreachable_ms: dict[str, int] = attrs.field(factory=dict)
    silent_ms: dict[str, int] = attrs.field(factory=dict)

    def record_reached(self, address: str, *, reached: bool, now_ms: int) -> None:
        """Record whether an entry has answered a claim, or had no link for it."""
        if reached:
            self.unreachable_ms.pop(address, None)
        else:
            self.unreachable_ms.setdefault(address, now_ms)

    def record_silence(self, address: str, now_ms: int) -> None:
        """Record that an entry has not answered a claim in time."""
        self.silent_ms[address] = now_ms

    def prepare(
        self, job_id: str, known: Iterable[str], cut_off: Iterable[str], now_ms: int
    ) -> Claim:
        """Return a claim for which nobody was asked yet.

        Args:
            job_id: The job.
            known: Addresses of the other entries.
            cut_off: Those among them that are known to have no link.
            now_ms: Current time on the process's clock, in milliseconds.
        """
        known = set(known)
        for address in self.unreachable_ms.keys() - known:
            del self.unreachable_ms[address]
        lost = self.peer_jobs.lost_addresses(now_ms)
        addresses = {self.own_address, *known, *lost}
        claim = Claim(self.own_address, rank_by_hash(job_id.encode(), addresses))
        for address, silent_ms in list(self.silent_ms.items()):
            if now_ms - silent_ms >= self.peer_jobs.run_expiry_ms:
                del self.silent_ms[address]
        claim.silent_lately = self.silent_ms.keys() & addresses
        claim.known = known
        claim.named = addresses.intersection(self.peer_jobs.named())
        claim.cut_off = set(cut_off) - lost
        claim.lost = lost | claim.cut_off
        claim.restarted = self.peer_jobs.restarted_addresses(now_ms)
        if self.remaining_start_ms(now_ms) > 0:
            # Which entries have restarted before is not known here.
            claim.restarted = addresses
            claim.started_lately.add(self.own_address)
        return claim

    def start(self, job_id: str) -> None:
        """Record that this entry claims a job, and is to be asked for it."""
        self.claiming[job_id] = self.claiming.get(job_id, 0) + 1

    def end(self, job_id: str) -> None:
        """Record that a claim has got its verdict or was withdrawn."""
        self.claiming[job_id] -= 1
        if not self.claiming[job_id]:
            del self.claiming[job_id]

    def remaining_start_ms(self, now_ms: int) -> int:
        """Return how long this process may still lack claims from before its start."""
        return max(self.started_ms + self.peer_jobs.run_expiry_ms - now_ms, 0)

    def _newest_loss_ms(self) -> int:
        """Return when an entry was last lost or may have been, or the own start."""
        lost_ms = self.peer_jobs.newest_loss_ms() or self.started_ms
        return max(self.started_ms, lost_ms, *self.unreachable_ms.values())

    def proof_since_ms(self) -> int:
        """Return when the last orders of the entries that are lost now had arrived.

        That is shortly after the newest loss or the own start, on the process's clock.
        """
        return self._newest_loss_ms() + ORDER_MS

    def wait_behind_cut_ms(self, claim: Claim, now_ms: int) -> int:
        """Return after which time a job may be claimed again, in milliseconds.

        That is long once the store would have dropped an entry that has ended: a
        request for the job is answered at once then, not at its time limit.
        """
        if not claim.may_be_held_behind_cut:
            return self.longest_wait_ms(now_ms)
        if now_ms - self._newest_loss_ms() > CUT_CERTAIN_MS:
            return CUT_OFF_MS
        return CUT_OFF_RETRY_MS

    def longest_wait_ms(self, now_ms: int) -> int:
        """Return when a job without a witness may begin, in milliseconds from now.

        By then the runs of all entries that are lost now must have ended.
        """
        end_ms = self._newest_loss_ms() + self.peer_jobs.run_expiry_ms
        return max(end_ms - now_ms, 0)

    def answer(
        self, claimant: Greeting, job_id: str, *, has_job: bool, now_ms: int
    ) -> Answer:
        """Answer the claim of another entry, and record the job as its own if granted.

        Args:
            claimant: The entry.
            job_id: The job.
            has_job: Whether this entry has the job itself.
            now_ms: Current time on the process's clock, in milliseconds.
        """
        if has_job or job_id in self.claiming:
            return Answer(0, HELD, self.own_address)
        process = claimant.name, claimant.incarnation
        match self.peer_jobs.find_holder(job_id, now_ms, other_than=process):
            case LiveHolder(address):
                return Answer(0, HELD, address)
            case LostHolder(wait_ms):
                return Answer(0, HELD, "", wait_ms)
        self.peer_jobs.update(claimant, VolatileJobs([job_id], []), now_ms)
        lately = self.remaining_start_ms(now_ms) > 0
        return Answer(0, GRANTED, STARTED_LATELY if lately else "")

    def withdraw(self, claimant: Greeting, job_id: str, now_ms: int) -> None:
        """Forget the claim of an entry that does not run the job."""
        self.peer_jobs.update(claimant, VolatileJobs([], [], [], [job_id]), now_ms)
