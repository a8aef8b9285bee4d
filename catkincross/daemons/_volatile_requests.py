"""Requests for volatile jobs, which stay at the entry that receives them first."""

from __future__ import annotations

import asyncio
from typing import Any

from ..clock import Clock
from ..dispatch import LiveHolder, LostHolder, NoHolder, PeerVolatileJobs
from ..foundation._background import spawn
from ..jobs import JobSpec, to_fields
from ..owner import OwnerCore
from ..peers import Answer, Ask, Link, VolatileJobs
from ._core_loop import CoreLoop
from ._job_claimer import JobClaimer
from ._log import DecisionLog
from ._owner_requests import LINK_CLOSED, OwnerRequests

# Shortest interval at which volatile jobs that have begun are announced to other
# entries, in seconds. Claims decide who runs a job; an entry that has heard of a job
# asks its holder without a claim.
ANNOUNCE_INTERVAL_S = 0.04
# Largest number of announcements that an entry sends a second. With tens of entries the
# interval grows with their number, since each announcement goes to all of them.
MAX_ANNOUNCEMENTS_PER_S = 200
# The same for jobs that have ended; until then a repeated request takes one more hop.
ANNOUNCE_ENDED_INTERVAL_S = 0.4
# Shortest delay before the entry that has a job is asked again, in milliseconds.
REMOTE_RETRY_MS = 50
# A request that has waited here for longer is not forwarded: the other entry would
# count it as new, and it would displace others that can be in time.
MAX_FORWARDING_AGE_MS = 100
# Interval at which a process that ends looks for open jobs, in seconds.
FINISH_POLL_S = 0.05
MS_PER_S = 1_000
# Outcome of a request for a job that a third entry has.
ELSEWHERE = "elsewhere"


class VolatileRequests:
    """Submits volatile jobs to the core and announces them to the other entries.

    Args:
        core: Core of this entry.
        core_loop: Runs the steps of the core.
        peer_jobs: Volatile jobs that other entries have.
        owner_requests: Links to the other entries.
        clock: Clock of the process.
        log: Log of the process.
        claimer: Claims jobs at other entries; None to begin them without a claim.

    Attributes:
        open_requests: Number of requests that wait for the end of a job here.
        claiming: Tasks that claim a job for a request of another entry, by request.
    """

    def __init__(
        self,
        core: OwnerCore,
        core_loop: CoreLoop,
        peer_jobs: PeerVolatileJobs,
        owner_requests: OwnerRequests,
        clock: Clock,
        log: DecisionLog,
        claimer: JobClaimer | None = None,
    ) -> None:
        self.core = core
        self.core_loop = core_loop
        self.peer_jobs = peer_jobs
        self.owner_requests = owner_requests
        self.clock = clock
        self.log = log
        self.claimer = claimer
        self.open_requests = 0
        self.claiming: dict[Any, asyncio.Task[None]] = {}

    async def submit(
        self, spec: JobSpec, timeout_ms: int, *, waited_ms: int = 0
    ) -> Answer:
        """Run a job here, or forward the request to the entry that has the job.

        If that entry is lost, the request waits until agents have ended its runs, so
        that the job does not run twice at the same time.

        Args:
            spec: The job.
            timeout_ms: How long the client account waits, in milliseconds.
            waited_ms: The part of that time in which the request has waited here.

        Returns:
            The end of the job, a rejection, or `unknown` when the time is too short. A
            rejection says that no task of the job has run, so it is answered as
            `unknown` if another entry may have begun the job.
        """
        answer = await self._run_or_ask(spec, timeout_ms, waited_ms)
        if self.peer_jobs.may_have_run(spec.id):
            return _unknown_if_rejected(answer)
        return answer

    async def _run_or_ask(
        self, spec: JobSpec, timeout_ms: int, waited_ms: int
    ) -> Answer:
        arrived_ms = self.clock.now_ms() - waited_ms
        deadline_ms = arrived_ms + timeout_ms
        # Whether an entry may have begun the job without an answer.
        unanswered = False
        may_forward = True
        previous_holder = ""
        while True:
            now_ms = self.clock.now_ms()
            is_here = self.core.answers_volatile_job(spec.id)
            holder = (
                NoHolder() if is_here else self.peer_jobs.find_holder(spec.id, now_ms)
            )
            if isinstance(holder, NoHolder) and not is_here:
                may_forward &= now_ms - arrived_ms <= MAX_FORWARDING_AGE_MS
                if may_forward and self._forward(spec):
                    continue
                holder = await self._claim(spec.id)
            if isinstance(holder, NoHolder):
                if previous_holder:
                    self.log.note(
                        "job taken over", job=spec.id, previous=previous_holder
                    )
                answer = await self._run_locally(spec, arrived_ms, timeout_ms)
                return _unknown_if_rejected(answer) if unanswered else answer
            remaining_ms = deadline_ms - self.clock.now_ms()
            if isinstance(holder, LiveHolder):
                answer = await self._ask_holder(holder.address, spec, remaining_ms)
                if answer is not None and answer.outcome == ELSEWHERE:
                    may_forward = False
                elif answer is not None and answer is not LINK_CLOSED:
                    return _unknown_if_rejected(answer) if unanswered else answer
                else:
                    unanswered = True
                    self.peer_jobs.record_no_answer(
                        holder.address, spec.id, self.clock.now_ms()
                    )
            wait_ms = max(holder.wait_ms, REMOTE_RETRY_MS)
            if remaining_ms <= wait_ms:
                return Answer(0, "unknown", "job was at a lost entry")
            previous_holder = repr(holder)
            self.log.note("job waits", job=spec.id, place=previous_holder)
            await asyncio.sleep(wait_ms / MS_PER_S)

    async def _claim(self, job_id: str) -> NoHolder | LiveHolder | LostHolder:
        """Claim a job that is not known here; return who has it otherwise."""
        if self.claimer is None or self.core.answers_volatile_job(job_id):
            return NoHolder()
        return await self.claimer.claim(job_id)

    def submit_for_entry(self, request: Any, spec: JobSpec, timeout_ms: int) -> None:
        """Begin a job for another entry, whose request is answered by the core.

        Args:
            request: Link of the other entry, and number of its request.
            spec: The job.
            timeout_ms: How long the client account waits, in milliseconds.
        """
        task = spawn(self._claim_and_submit(request, spec, timeout_ms))
        self.claiming[request] = task
        task.add_done_callback(lambda _: self.claiming.pop(request, None))

    async def _claim_and_submit(
        self, request: Any, spec: JobSpec, timeout_ms: int
    ) -> None:
        arrived_ms = self.clock.now_ms()
        link, number = request
        try:
            holder = await self._claim(spec.id)
        except Exception as error:
            self.log.note_error("claim", error)
            link.send(Answer(number, "unknown", "claim failed"))
            return
        if not isinstance(holder, NoHolder):
            link.send(Answer(number, ELSEWHERE))
            return
        if link.closed:
            self._end_claim(spec.id)
            return
        self.core.submit(
            self.clock.now_ms(),
            request,
            spec,
            arrived_ms=arrived_ms,
            timeout_ms=timeout_ms,
        )
        self._end_claim(spec.id)
        self.core_loop.schedule_step()

    def abandon(self, request: Any, job_id: str) -> None:
        """Drop the request of another entry whose client account has left."""
        task = self.claiming.get(request)
        if task is not None and task.cancel():
            # The other entry counts this one as the holder until it hears of the job.
            self.core.record_dropped_job(job_id)
            return
        self.core.abandon(self.clock.now_ms(), request, job_id)
        self.core_loop.schedule_step()

    def _end_claim(self, job_id: str) -> None:
        """Withdraw the claim on a job if it does not run here after all."""
        if self.claimer is not None:
            self.claimer.end(job_id)

    def _forward(self, spec: JobSpec) -> bool:
        """Record another entry as the holder of a new job, if it should run there."""
        peers = self.owner_requests.peer_loads(spec.policy.service)
        address = self.core.choose_forwarding(
            self.clock.now_ms(), spec, self.owner_requests.greeting.data_centre, peers
        )
        if address is None or not self.peer_jobs.record_forwarding(address, spec.id):
            return False
        self.owner_requests.record_forwarding(address)
        self.log.note("job forwarded", job=spec.id, entry=address)
        return True

    async def _ask_holder(
        self, address: str, spec: JobSpec, timeout_ms: int
    ) -> Answer | None:
        """Submit a job to the entry that holds it; return None without an answer."""
        ask = Ask(0, "submit", spec.id, to_fields(spec), timeout_ms)
        self.peer_jobs.record_request(address, spec.id, self.clock.now_ms())
        try:
            answer = await self.owner_requests.ask_entry(address, ask)
        except asyncio.CancelledError:
            # The other entry is told to give the job up, after the request.
            self.peer_jobs.record_answer(address, spec.id)
            raise
        if answer is not None and answer is not LINK_CLOSED:
            self.peer_jobs.record_answer(address, spec.id)
            if answer.outcome in ("rejected", ELSEWHERE):
                self.peer_jobs.record_rejection(address, spec.id)
        return answer

    async def _run_locally(
        self, spec: JobSpec, arrived_ms: int, timeout_ms: int
    ) -> Answer:
        future = asyncio.get_running_loop().create_future()
        now_ms = self.clock.now_ms()
        self.core.submit(
            now_ms, future, spec, arrived_ms=arrived_ms, timeout_ms=timeout_ms
        )
        self._end_claim(spec.id)
        self.core_loop.schedule_step()
        self.open_requests += 1
        try:
            return await future
        finally:
            self.open_requests -= 1
            if not future.done() or future.cancelled():
                self.core.abandon(self.clock.now_ms(), future, spec.id)
                self.core_loop.schedule_step()

    async def finish_forwarded(self, end_ms: int) -> None:
        """Wait for the end of the jobs that other entries have forwarded to this one.

        Args:
            end_ms: When to stop waiting, on the process's clock in milliseconds.
        """
        requests = self.core.state.volatile.requests
        while requests and self.clock.now_ms() < end_ms:
            await asyncio.sleep(FINISH_POLL_S)

    def announce_all(self, link: Link) -> None:
        """Tell another entry which volatile jobs are held here, or by lost entries."""
        for lost in self.peer_jobs.lost_jobs(self.clock.now_ms()):
            link.send(lost)
        begun = self.core.volatile_job_ids()
        if self.claimer is not None:
            # The link before this one may have carried a claim.
            begun += self.claimer.claims.claiming
        link.send(VolatileJobs(begun, [], complete=True))

    async def announce_jobs(self) -> None:
        """Announce the volatile jobs that begin and end here, until cancelled."""
        waited_s = 0.0
        while True:
            interval_s = max(
                ANNOUNCE_INTERVAL_S,
                len(self.owner_requests.links) / MAX_ANNOUNCEMENTS_PER_S,
            )
            await asyncio.sleep(interval_s)
            waited_s += interval_s
            ended_due = waited_s >= ANNOUNCE_ENDED_INTERVAL_S
            if not (ended_due or self.core.has_begun_volatile_jobs):
                continue
            waited_s = 0.0
            claimed = self.claimer.claims.claiming if self.claimer is not None else ()
            changes = self.core.take_volatile_changes(claimed)
            if changes != VolatileJobs([], []):
                self.owner_requests.broadcast(changes)


def _unknown_if_rejected(answer: Answer) -> Answer:
    """Return the answer to a job that may have run; a rejection says it has not."""
    if answer.outcome == "rejected":
        return Answer(0, "unknown", answer.detail)
    return answer
