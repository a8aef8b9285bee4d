"""Claims of volatile jobs: answers that come late, and claims that are forgotten."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import attrs

from catkincross.daemons._entry_links import EntryLinks
from catkincross.daemons._job_claimer import CLAIM, WITHDRAW, JobClaimer
from catkincross.daemons._owner_requests import LINK_CLOSED
from catkincross.daemons._volatile_requests import VolatileRequests
from catkincross.dispatch import JobClaims, LiveHolder, NoHolder, PeerVolatileJobs
from catkincross.operations import Declarations
from catkincross.owner import OwnerCore, OwnerLimits
from catkincross.owner._agents import AgentInfo
from catkincross.owner._volatile import give_up_and_answer
from catkincross.peers import Answer, Ask, Greeting, VolatileJobs
from scenarios.platform_model import job

from .test_platform_claim_requests import (
    EXPIRY_MS,
    GRANTED,
    JOB,
    LOG,
    Clock,
    Entries,
    claimer_of,
    core_with,
)

OTHER_JOB = "17d2c9a05e88b341"
# Longer than the time limit for the answers to a claim, in seconds.
LATE_S = 0.25
E0 = Greeting("entry", "e0", 7, "e0:1")
E1_HOLDS = Answer(0, "held", "e1:1")


class LateEntries(Entries):
    """Entries that answer after the time limit of a claim.

    Attributes:
        heard: When the last answer came, by address.
    """

    def __init__(self, answers: dict[str, Answer | None], clock: Clock) -> None:
        super().__init__(answers)
        self.clock = clock
        self.heard: dict[str, int] = {}

    def heard_ms(self, address: str) -> int | None:
        """Return when the last answer came."""
        return self.heard.get(address, 0)

    def send_request(self, address: str, ask: Any) -> asyncio.Future[Answer]:
        """Answer a request late."""
        future = asyncio.get_running_loop().create_future()
        self.sent.append((address, ask.verb))

        def answer() -> None:
            self.heard[address] = self.clock.now_ms()
            if not future.done():
                future.set_result(self.answers[address])

        asyncio.get_running_loop().call_later(LATE_S, answer)
        return future


def test_a_job_does_not_begin_when_its_holder_answers_during_the_wait_for_proof() -> (
    None
):
    """The late answer named the holder, and the proof is about lost entries only."""
    clock = Clock()
    entries = LateEntries({"e1:1": E1_HOLDS, "e2:1": GRANTED}, clock)
    claimer = claimer_of(entries, clock, 0, lambda: len(entries.heard) == 2)
    assert not isinstance(asyncio.run(claimer.claim(JOB)), NoHolder)


def test_entries_that_always_answer_late_do_not_count_as_lost() -> None:
    """After 2,250 ms of late answers each job began without any wait."""
    clock = Clock()
    entries = LateEntries({"e1:1": GRANTED, "e2:1": GRANTED}, clock)
    claimer = claimer_of(entries, clock, 0, lambda: False)

    async def play() -> Any:
        for _ in range(2):
            claim = asyncio.create_task(claimer.claim(OTHER_JOB))
            await asyncio.sleep(2 * LATE_S)
            claim.cancel()
            clock.ms += EXPIRY_MS // 2 + 100
        entries.answers["e1:1"] = E1_HOLDS
        return await claimer.claim(JOB)

    assert not isinstance(asyncio.run(play()), NoHolder)


def test_entries_are_asked_again_when_they_are_heard_before_a_job_begins() -> None:
    """Links that were silent were open again, and the claim ended by its wait."""
    clock = Clock()

    class ReopenedEntries(LateEntries):
        def send_request(self, address: str, ask: Any) -> asyncio.Future[Answer]:
            future = asyncio.get_running_loop().create_future()
            if (address, ask.verb) in self.sent:
                future.set_result(E1_HOLDS)
            else:
                self.sent.append((address, ask.verb))
                asyncio.get_running_loop().call_later(
                    LATE_S, self.reopen, address, future
                )
            return future

        def reopen(self, address: str, future: asyncio.Future[Answer]) -> None:
            self.heard[address] = clock.now_ms()
            future.set_result(LINK_CLOSED)

    entries = ReopenedEntries({"e1:1": None, "e2:1": None}, clock)
    claimer = claimer_of(entries, clock, 0, lambda: False)
    silent_ms = clock.ms - EXPIRY_MS + 60
    claimer.claims.unreachable_ms = {"e1:1": silent_ms, "e2:1": silent_ms}
    assert not isinstance(asyncio.run(claimer.claim(JOB)), NoHolder)
    assert len(entries.heard) == 2


def given_up_core(clock: Clock) -> OwnerCore:
    """Return the core of e0, which has given up the job and not announced it yet."""
    core = OwnerCore("e0", OwnerLimits(), E0.incarnation)
    core.update_declarations(clock.ms, Declarations(version=1))
    core.step(clock.ms)
    core.submit(clock.ms, "first", job(JOB, count=1, volatile=True), timeout_ms=9_000)
    core.take_volatile_changes()
    given_up = core.state.volatile.jobs[JOB]
    agent_info = core.state.agents["u0"] = AgentInfo("u0")
    task = next(iter(given_up.all_tasks()))
    core.state.assign(task, agent_info, 1)
    give_up_and_answer(core.state, given_up, "deadline")
    core.state.requeue(task)
    core.step(clock.ms)
    assert not core.has_volatile_job(JOB)
    return core


def test_a_witness_keeps_a_claim_when_an_earlier_life_of_the_job_is_announced() -> None:
    """The announcement that the job was given up followed the claim on its next life.

    An entry that got the job then, while the holder stood still, began it as well.
    """
    clock = Clock()
    core = given_up_core(clock)
    witness = JobClaims(PeerVolatileJobs(EXPIRY_MS), "e1:1", 0)
    witness.peer_jobs.add_entry(E0)
    late: list[asyncio.Future[Answer]] = []

    class Links(Entries):
        links: dict[str, Any] = {}

        def send_request(self, address: str, ask: Any) -> asyncio.Future[Answer]:
            future = asyncio.get_running_loop().create_future()
            if address == "e1:1":
                answer = witness.answer(E0, ask.job_id, has_job=False, now_ms=clock.ms)
                future.set_result(answer)
            else:
                late.append(future)
            return future

        def broadcast(self, changes: VolatileJobs) -> None:
            witness.peer_jobs.update(E0, changes, clock.ms)
            for future in late:
                if not future.done():
                    future.set_result(GRANTED)

    links = Links({"e1:1": GRANTED, "e2:1": GRANTED})
    claims = JobClaims(PeerVolatileJobs(EXPIRY_MS), "e0:1", 0)
    claimer = JobClaimer(claims, links, core, clock, LOG, SimpleNamespace())
    requests = VolatileRequests(
        core, None, claims.peer_jobs, links, clock, LOG, claimer
    )

    async def play() -> Any:
        announcing = asyncio.create_task(requests.announce_jobs())
        # The announcement of the end is due while the claim waits for the other entry.
        await asyncio.sleep(0.3)
        holder = await claimer.claim(JOB)
        announcing.cancel()
        return holder

    assert isinstance(asyncio.run(play()), NoHolder)
    assert witness.peer_jobs.find_holder(JOB, clock.ms) == LiveHolder("e0:1")


class PeerEnd:
    """End of a link at the witness."""

    closed = False

    def __init__(self) -> None:
        self.peer: Any = None

    def send(self, _: Any) -> None:
        """Drop a message."""

    def close(self) -> None:
        """End the link."""
        self.closed = True


def witness_with_links() -> tuple[EntryLinks, PeerVolatileJobs, Clock]:
    """Return the links of the entry e1, which answers claims, and what it knows."""
    clock = Clock()
    peer_jobs = PeerVolatileJobs(EXPIRY_MS)
    claims = JobClaims(peer_jobs, "e1:1", 0)
    core = core_with(lambda: False)
    claimer = JobClaimer(claims, Entries({}), core, clock, LOG, SimpleNamespace())
    owners = SimpleNamespace(
        directory=SimpleNamespace(views={}), replace=lambda *_: None
    )
    links = EntryLinks(
        core,
        lambda: None,
        clock,
        LOG,
        Greeting("entry", "e1", 7, "e1:1"),
        owners,
        peer_jobs,
        lambda request, ask: claimer.answer(request[0], ask),
    )
    return links, peer_jobs, clock


def test_a_message_of_a_replaced_link_does_not_withdraw_a_newer_claim() -> None:
    """It was held by the network until the link before it had been replaced."""
    links, peer_jobs, clock = witness_with_links()
    old, new = PeerEnd(), PeerEnd()
    links._on_message(old, E0)
    links._on_message(old, Ask(1, CLAIM, JOB))
    links._on_message(new, E0)
    links._on_message(new, VolatileJobs([], [], complete=True))
    links._on_message(new, Ask(1, CLAIM, JOB))
    links._on_message(old, Ask(0, WITHDRAW, JOB))
    assert peer_jobs.find_holder(JOB, clock.ms) == LiveHolder("e0:1")


def test_the_late_greeting_of_an_older_link_does_not_replace_the_newer_one() -> None:
    """The claims of an entry on its newer link were ignored, and got no answer."""
    links, peer_jobs, clock = witness_with_links()
    old, new = PeerEnd(), PeerEnd()
    links._on_message(new, attrs.evolve(E0, link_number=2))
    links._on_message(old, attrs.evolve(E0, link_number=1))
    links._on_message(new, Ask(1, CLAIM, JOB))
    assert old.closed
    assert peer_jobs.find_holder(JOB, clock.ms) == LiveHolder("e0:1")
