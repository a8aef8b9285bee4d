"""Claims volatile jobs at other entries before they begin here."""

from __future__ import annotations

import asyncio

import attrs

from ..clock import Clock
from ..dispatch import (
    HELD,
    Claim,
    Contested,
    JobClaims,
    LiveHolder,
    LostHolder,
    NoHolder,
    holder_in,
)
from ..owner import OwnerCore
from ..peers import Answer, Ask, Greeting, Link
from ._log import DecisionLog
from ._lost_runs_proof import LostRunsProof
from ._owner_requests import LINK_CLOSED, OwnerRequests

# Verbs of requests to witnesses.
CLAIM = "claim"
WITHDRAW = "withdraw"
# Time after which an entry that has not answered a claim is silent, in milliseconds.
# Entries answer within a few milliseconds unless they stand still; other entries are
# asked in the place of silent ones, and late answers count.
CLAIM_TIMEOUT_MS = 200
# Pause before a claim is repeated that another entry contests, in milliseconds.
CONTEST_RETRY_MS = 20
# Number of attempts after which a contesting entry counts as the holder.
MAX_ATTEMPTS = 5
# Longest time for which a claim without a verdict waits for late answers and for the
# agents, in milliseconds. Agents connect to an entry that has started within 800 ms.
PROOF_WAIT_MS = 1_000
# Interval at which it is checked whether they have arrived, in seconds.
PROOF_POLL_S = 0.025
# Time from the first question of a claim after which its answers are not used, in
# milliseconds. It is longer than the waits of a claim, and shorter than the time after
# which jobs of a lost entry begin elsewhere.
CLAIM_VALID_MS = 2_000
MS_PER_S = 1_000


@attrs.define(eq=False)
class _Questions:
    """A claim with its questions to other entries that are not answered yet.

    Attributes:
        job_id: The job.
        claim: The decisions.
        asked: All entries that were asked for the job, also by other claims.
        open: Answers that have not come yet, by address. A link that closes answers its
            questions by `LINK_CLOSED`.
        lost_runs_ended: Whether the claim was granted since the runs of all lost
            entries have ended, by the agents' proof or by time.
    """

    job_id: str
    claim: Claim
    asked: set[str]
    open: dict[str, asyncio.Future[Answer]] = attrs.field(factory=dict)
    lost_runs_ended: bool = False


class JobClaimer:
    """Claims jobs for this entry, and answers the claims of other entries.

    Args:
        claims: The decisions.
        owner_requests: Links to the other entries.
        core: Core of this entry.
        clock: Clock of the process.
        log: Log of the process.
        proof: Proof that no run of a lost entry goes on.

    Attributes:
        silent_since_ms: Since when an entry has given no answer to a claim, by address,
            until something is heard of it.
    """

    def __init__(
        self,
        claims: JobClaims,
        owner_requests: OwnerRequests,
        core: OwnerCore,
        clock: Clock,
        log: DecisionLog,
        proof: LostRunsProof,
    ) -> None:
        self.claims = claims
        self.owner_requests = owner_requests
        self.core = core
        self.proof = proof
        self.clock = clock
        self.log = log
        self.silent_since_ms: dict[str, int] = {}
        # Entries that were asked for each job that is being claimed.
        self._asked: dict[str, set[str]] = {}

    async def claim(self, job_id: str) -> NoHolder | LiveHolder | LostHolder:
        """Claim a job at its witnesses.

        Returns:
            `NoHolder` if this entry may begin the job now, else who has it. If nobody
            can tell, the time until the runs of lost entries must have ended.
        """
        granted = False
        asked = self._asked.setdefault(job_id, set())
        self.claims.start(job_id)
        try:
            holder = await self._find_holder(job_id, asked)
            granted = isinstance(holder, NoHolder)
            if not granted:
                self.log.note("claim denied", job=job_id, place=repr(holder))
            return holder
        finally:
            self.claims.end(job_id)
            if not granted:
                self.end(job_id)

    def end(self, job_id: str) -> None:
        """End a claim once the job was passed to the core, or is not begun here.

        It is withdrawn at all entries that were asked if the core does not have the
        job, which may have been rejected.
        """
        if job_id in self.claims.claiming:
            return
        asked = self._asked.pop(job_id, set())
        if not self.core.has_volatile_job(job_id):
            for address in asked:
                self.owner_requests.notify(address, Ask(0, WITHDRAW, job_id))

    async def _find_holder(
        self, job_id: str, asked: set[str]
    ) -> NoHolder | LiveHolder | LostHolder:
        verdict: NoHolder | LiveHolder | LostHolder | Contested | None = None
        for _ in range(MAX_ATTEMPTS):
            questions = await self._ask_witnesses(job_id, asked)
            claim = questions.claim
            verdict = self._verdict(claim)
            if verdict is None:
                verdict = await self._wait_for_verdict(questions)
            if self.clock.now_ms() - claim.asked_ms > CLAIM_VALID_MS:
                # The answers may be out of date, for example after a pause.
                verdict = None
                continue
            if not isinstance(verdict, Contested):
                break
            await asyncio.sleep(CONTEST_RETRY_MS / MS_PER_S)
        if isinstance(verdict, Contested):
            answers = (claim.answers.get(address) for address in claim.ranking)
            return holder_in(next(a for a in answers if a and a.outcome == HELD))
        now_ms = self.clock.now_ms()
        if verdict is None:
            return LostHolder(self.claims.wait_behind_cut_ms(claim, now_ms))
        if isinstance(verdict, NoHolder):
            # Another entry may have announced the job meanwhile.
            verdict = self.claims.peer_jobs.find_holder(job_id, now_ms)
            if isinstance(verdict, NoHolder) and (
                claim.silent or questions.lost_runs_ended
            ):
                self._note_granted(questions)
        return verdict

    def _verdict(
        self, claim: Claim
    ) -> NoHolder | LiveHolder | LostHolder | Contested | None:
        verdict = claim.verdict()
        if isinstance(verdict, NoHolder) and not self._knows_entries():
            return None
        return verdict

    def _knows_entries(self) -> bool:
        """Whether this process has learned from another one which entries there are."""
        if self.claims.remaining_start_ms(self.clock.now_ms()) == 0:
            return True
        owner_requests = self.owner_requests
        known = owner_requests.known_addresses()
        return not known or owner_requests.owners.has_peer_views

    async def _wait_for_verdict(
        self, questions: _Questions
    ) -> NoHolder | LiveHolder | LostHolder | Contested | None:
        """Wait for late answers, and until no run of a lost entry goes on.

        Returns:
            The verdict; None if that takes too long.
        """
        claim = questions.claim
        end_ms = self.clock.now_ms() + PROOF_WAIT_MS
        while (now_ms := self.clock.now_ms()) < end_ms:
            self._take_answers(questions)
            # The store drops an entry that has ended after a while.
            claim.named.intersection_update(self.claims.peer_jobs.named())
            verdict = self._verdict(claim)
            if verdict is not None:
                return verdict
            if returned := self._returned(claim):
                await self._ask_returned(questions, returned)
            elif claim.may_be_held_behind_cut:
                if self.claims.wait_behind_cut_ms(claim, now_ms) > PROOF_WAIT_MS:
                    return None
            elif not claim.silent and self._lost_runs_ended(now_ms):
                questions.lost_runs_ended = True
                return NoHolder()
            await asyncio.sleep(PROOF_POLL_S)
        return None

    def _lost_runs_ended(self, now_ms: int) -> bool:
        """Whether the runs of all entries that are lost now have ended."""
        if self.claims.longest_wait_ms(now_ms) == 0:
            return True
        return self.proof.holds(self.claims.proof_since_ms())

    def _returned(self, claim: Claim) -> list[str]:
        """Return the lost entries that have a link again, so that they are alive."""
        return [
            address
            for address in sorted(claim.lost)
            if self.owner_requests.heard_ms(address) is not None
        ]

    async def _ask_returned(self, questions: _Questions, addresses: list[str]) -> None:
        for address in addresses:
            questions.claim.record_return(address)
        await self._ask(questions, addresses)

    async def _ask_witnesses(self, job_id: str, asked: set[str]) -> _Questions:
        """Ask the witnesses of a job, and add them to those that were asked."""
        if self.claims.remaining_start_ms(self.clock.now_ms()) > 0:
            await self.owner_requests.learn_entries()
        known = self.owner_requests.known_addresses()
        claim = self.claims.prepare(job_id, known, (), self.clock.now_ms())
        claim.silent = set(self._silent()) - claim.lost
        claim.asked_ms = self.clock.now_ms()
        questions = _Questions(job_id, claim, asked)
        while witnesses := claim.next_witnesses():
            await self._ask(questions, witnesses)
        return questions

    async def _ask(self, questions: _Questions, addresses: list[str]) -> None:
        """Ask entries; wait a short time for those that are not silent already."""
        claim = questions.claim
        await self.owner_requests.connect_all(addresses)
        for address in addresses:
            claim.record_asked(address)
            self._send_question(questions, address)
        awaited = {
            address: questions.open[address]
            for address in addresses
            if address in questions.open and address not in claim.silent
        }
        if awaited:
            timeout_s = CLAIM_TIMEOUT_MS / MS_PER_S
            await asyncio.wait(awaited.values(), timeout=timeout_s)
        self._take_answers(questions)
        for address in awaited:
            if address in questions.open:
                now_ms = self.clock.now_ms()
                claim.record_silence(address)
                self.claims.record_silence(address, now_ms)
                self.silent_since_ms[address] = now_ms
                self.log.note("claim unanswered", entry=address)

    def _send_question(self, questions: _Questions, address: str) -> None:
        questions.asked.add(address)
        ask = Ask(0, CLAIM, questions.job_id)
        future = self.owner_requests.send_request(address, ask)
        if future is None:
            self._record_answer(questions.claim, address, None)
        else:
            questions.open[address] = future

    def _take_answers(self, questions: _Questions) -> None:
        """Record the answers that have arrived, late ones included."""
        for address, future in list(questions.open.items()):
            if future.done():
                del questions.open[address]
                answer = future.result()
                self._record_answer(
                    questions.claim, address, None if answer is LINK_CLOSED else answer
                )

    def _record_answer(self, claim: Claim, address: str, answer: Answer | None) -> None:
        claim.record_answer(address, answer)
        reached = answer is not None
        now_ms = self.clock.now_ms()
        self.claims.record_reached(address, reached=reached, now_ms=now_ms)
        if reached:
            self.silent_since_ms.pop(address, None)

    def _note_granted(self, questions: _Questions) -> None:
        """Log that a job begins although not all witnesses have answered."""
        claim = questions.claim
        self.log.note(
            "claim granted in part",
            job=questions.job_id,
            answered=sorted(claim.answers),
            lost=sorted(claim.lost),
            silent=sorted(claim.silent),
            lost_runs_ended=questions.lost_runs_ended,
            age_ms=self.clock.now_ms() - claim.asked_ms,
        )

    def _silent(self) -> list[str]:
        """Return the entries that are silent, and forget those that were heard."""
        for address, since_ms in list(self.silent_since_ms.items()):
            heard_ms = self.owner_requests.heard_ms(address)
            if heard_ms is None or heard_ms > since_ms:
                del self.silent_since_ms[address]
        return list(self.silent_since_ms)

    def answer(self, link: Link, ask: Ask) -> Answer | None:
        """Answer a claim of another entry; None for a withdrawn one."""
        claimant: Greeting = link.peer
        now_ms = self.clock.now_ms()
        if ask.verb == WITHDRAW:
            self.claims.withdraw(claimant, ask.job_id, now_ms)
            return None
        has_job = self.core.has_volatile_job(ask.job_id)
        return self.claims.answer(claimant, ask.job_id, has_job=has_job, now_ms=now_ms)
