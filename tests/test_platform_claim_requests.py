"""Claims as the daemons make them: answers that are late, lost or out of date."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from catkincross.daemons._job_claimer import CLAIM, WITHDRAW, JobClaimer
from catkincross.daemons._lost_runs_proof import LostRunsProof
from catkincross.daemons._volatile_requests import VolatileRequests
from catkincross.dispatch import JobClaims, LiveHolder, NoHolder, PeerVolatileJobs
from catkincross.operations import Declarations
from catkincross.owner import OwnerCore, OwnerLimits
from catkincross.owner._agents import AgentInfo
from catkincross.owner._volatile import give_up_and_answer
from catkincross.peers import Answer, Greeting, VolatileJobs
from scenarios.platform_model import SETTLE_MS, job
from scenarios.volatile_model import VolatileModel

JOB = "5c0e7a21d94b36f8"
EXPIRY_MS = 2_250
GRANTED = Answer(0, "granted")
LATELY = Answer(0, "granted", "started lately")
LOG = SimpleNamespace(note=lambda *_, **__: None)


class Clock:
    """Clock that advances by a millisecond with each reading."""

    def __init__(self) -> None:
        self.ms = 100_000

    def now_ms(self) -> int:
        """Return the time."""
        self.ms += 1
        return self.ms


class Entries:
    """Links to other entries that give fixed answers; None for no link."""

    def __init__(self, answers: dict[str, Answer | None]) -> None:
        self.answers = answers
        self.sent: list[tuple[str, str]] = []
        self.on_ask: Callable[[], None] = lambda: None
        self.owners = SimpleNamespace(has_peer_views=True)

    def known_addresses(self) -> list[str]:
        """Return all entries."""
        return sorted(self.answers)

    async def learn_entries(self) -> None:
        """Know all entries already."""

    async def connect_all(self, _: list[str]) -> None:
        """Open no link."""

    def heard_ms(self, _: str) -> int | None:
        """Return that nothing was heard."""
        return None

    def send_request(self, address: str, ask: Any) -> asyncio.Future[Answer] | None:
        """Answer a request at once."""
        answer = self.answers[address]
        if answer is None:
            return None
        self.sent.append((address, ask.verb))
        self.on_ask()
        future = asyncio.get_running_loop().create_future()
        future.set_result(answer)
        return future

    def notify(self, address: str, ask: Any) -> None:
        """Record a message."""
        self.sent.append((address, ask.verb))


class SilentEntries(Entries):
    """Entries that are linked and give no answer."""

    def heard_ms(self, _: str) -> int | None:
        """Return a time long ago."""
        return 0

    def send_request(self, *_: Any) -> asyncio.Future[Answer] | None:
        """Return an answer that never comes."""
        return asyncio.get_running_loop().create_future()


def core_with(proof: Callable[[], bool]) -> Any:
    """Return a core that has no job, and a proof of its agents."""
    return SimpleNamespace(
        has_volatile_job=lambda _: False, lost_runs_ended=lambda *_: proof()
    )


def claimer_of(
    entries: Entries, clock: Clock, started_ms: int, proof: Callable[[], bool]
) -> JobClaimer:
    """Return the claimer of e0."""

    def holds(since_ms: int) -> bool:
        clock.ms += 10
        return clock.ms >= since_ms and proof()

    claims = JobClaims(PeerVolatileJobs(EXPIRY_MS), "e0:1", started_ms)
    return JobClaimer(
        claims, entries, core_with(proof), clock, LOG, SimpleNamespace(holds=holds)
    )


def add_lost(peer_jobs: PeerVolatileJobs, address: str, lost_ms: int) -> None:
    """Add an entry whose link has closed."""
    greeting = Greeting("entry", address, 5, address)
    peer_jobs.add_entry(greeting)
    peer_jobs.mark_entry_lost(greeting, now_ms=lost_ms)


def test_a_job_that_was_announced_during_the_wait_for_agents_does_not_begin() -> None:
    """The proof tells nothing of the runs of entries that give leases."""
    clock = Clock()
    entries = Entries({"e1:1": None})
    claimer = claimer_of(entries, clock, clock.ms - 1_000, lambda: announce())
    other = Greeting("entry", "e9", 7, "e9:1")
    claimer.claims.peer_jobs.add_entry(other)
    add_lost(claimer.claims.peer_jobs, "e1:1", clock.ms - 900)

    def announce() -> bool:
        claimer.claims.peer_jobs.update(other, VolatileJobs([JOB], []), clock.ms)
        return True

    assert asyncio.run(claimer.claim(JOB)) == LiveHolder("e9:1")


def test_answers_that_are_out_of_date_are_not_used_after_the_last_attempt() -> None:
    """The loop ended with the verdict that it had just discarded."""
    clock = Clock()
    entries = Entries({"e1:1": GRANTED})

    def pause() -> None:
        clock.ms += 3_000

    entries.on_ask = pause
    claimer = claimer_of(entries, clock, 0, lambda: False)
    assert not isinstance(asyncio.run(claimer.claim(JOB)), NoHolder)


def test_a_rejected_job_is_withdrawn_at_all_entries_that_were_asked() -> None:
    """Entries besides the first ones are asked if some have started lately."""
    clock = Clock()
    entries = Entries({f"e{n}:1": LATELY if n < 4 else GRANTED for n in range(1, 9)})
    claimer = claimer_of(entries, clock, 0, lambda: False)

    async def play(job_id: str) -> None:
        assert isinstance(await claimer.claim(job_id), NoHolder)
        claimer.end(job_id)

    for number in range(16):
        entries.sent.clear()
        asyncio.run(play(f"{number:016x}"))
        asked = {address for address, verb in entries.sent if verb == CLAIM}
        withdrawn = {address for address, verb in entries.sent if verb == WITHDRAW}
        assert asked == withdrawn


def test_a_proof_for_an_earlier_loss_says_nothing_of_entries_that_are_silent() -> None:
    """Their links are open, and runs of an entry that is paused go on."""
    clock = Clock()
    claims = JobClaims(PeerVolatileJobs(EXPIRY_MS), "e0:1", 0)
    add_lost(claims.peer_jobs, "e9:1", clock.ms - 1_050)
    entries = SilentEntries({f"e{n}:1": None for n in range(1, 5)})
    core = core_with(lambda: False)
    proof = LostRunsProof(core, entries, clock, LOG)
    proof.proved_ms = clock.ms - 1_000
    claimer = JobClaimer(claims, entries, core, clock, LOG, proof)
    known = entries.known_addresses()
    job_id = next(
        f"{number:016x}"
        for number in range(99)
        if claims.prepare(f"{number:016x}", known, (), 0).ranking[-1] == "e0:1"
    )
    assert not isinstance(asyncio.run(claimer.claim(job_id)), NoHolder)


def test_an_entry_that_is_left_alone_begins_jobs_after_the_longest_wait() -> None:
    """The store may be down too, so that the other entries stay in its list."""
    clock = Clock()
    entries = Entries({f"e{n}:1": None for n in range(1, 4)})
    claimer = claimer_of(entries, clock, 0, lambda: False)
    assert not isinstance(asyncio.run(claimer.claim(JOB)), NoHolder)
    clock.ms += EXPIRY_MS
    assert asyncio.run(claimer.claim(JOB)) == NoHolder()


@pytest.mark.parametrize("kill_ms", [4_500, 4_700])
def test_an_agent_that_is_cut_off_from_an_entry_proves_nothing_to_it(
    kill_ms: int,
) -> None:
    """It lost this entry long ago, but got leases of the lost one since."""
    model = VolatileModel(entries=2, agents=3)
    model.run(SETTLE_MS)
    for machine in model.machines.values():
        machine.run_ms = 6_000
    model.submit("post", job(JOB, count=1, volatile=True), "e0", timeout_ms=9_000)
    model.run(100)
    holder = next(name for name, machine in model.machines.items() if machine.running)
    model.block("e1", holder, 20_000)
    model.block(holder, "e1", 20_000)
    model.run(kill_ms)
    model.kill("e0")
    model.run(5)
    node = model.nodes["e1"]
    node.peer_jobs.mark_entry_lost(
        Greeting("entry", "e0", 1_000, "e0"), now_ms=model.now_ms
    )
    for _ in range(200):
        model.run(10)
        since_ms = node.claims.proof_since_ms()
        if node.host.core.lost_runs_ended(model.now_ms, since_ms):
            assert not any(machine.running for machine in model.machines.values())


class ForwardingRequests:
    """Links over which jobs are forwarded to e4, which says that e3 has them."""

    greeting = SimpleNamespace(data_centre="perth")

    def __init__(self) -> None:
        self.asked: list[str] = []

    def peer_loads(self, _: str) -> list[Any]:
        """Return no load."""
        return []

    def record_forwarding(self, _: str) -> None:
        """Count nothing."""

    async def ask_entry(self, address: str, _: Any) -> Answer:
        """Return the answer of an entry."""
        self.asked.append(address)
        return Answer(1, "elsewhere" if address == "e4:1" else "state", "completed")


def test_an_entry_that_names_another_holder_does_not_stay_the_holder() -> None:
    """A forwarded job that was denied there was looked for there again."""
    peer_jobs = PeerVolatileJobs(EXPIRY_MS)
    holder = Greeting("entry", "e3", 7, "e3:1")
    for greeting in (Greeting("entry", "e4", 7, "e4:1"), holder):
        peer_jobs.add_entry(greeting)
    links = ForwardingRequests()
    core = SimpleNamespace(
        choose_forwarding=lambda *_: "e4:1", answers_volatile_job=lambda _: False
    )
    claimer = SimpleNamespace(claim=lambda _: find_e3())

    async def find_e3() -> LiveHolder:
        return LiveHolder("e3:1")

    requests = VolatileRequests(core, None, peer_jobs, links, Clock(), LOG, claimer)
    spec = job(JOB, count=1, volatile=True)
    assert asyncio.run(requests.submit(spec, 6_000)).outcome == "state"
    assert links.asked == ["e4:1", "e3:1"]
    assert not peer_jobs.may_have_run(JOB)


def test_a_job_that_runs_here_is_not_forwarded() -> None:
    """An entry asked for a job that it runs forwarded the request, as for a new job.

    The other entry began the job beside the runs here.
    """
    peer_jobs = PeerVolatileJobs(EXPIRY_MS)
    peer_jobs.add_entry(Greeting("entry", "e4", 7, "e4:1"))
    links = ForwardingRequests()
    core = SimpleNamespace(
        choose_forwarding=lambda *_: "e4:1",
        answers_volatile_job=lambda _: True,
        submit=lambda _, request, *__, **___: request.set_result(GRANTED),
    )
    loop = SimpleNamespace(schedule_step=lambda: None)
    requests = VolatileRequests(core, loop, peer_jobs, links, Clock(), LOG)
    spec = job(JOB, count=1, volatile=True)
    assert asyncio.run(requests.submit(spec, 6_000)) is GRANTED
    assert links.asked == []


def test_a_given_up_job_with_runs_here_is_asked_for_at_its_holder() -> None:
    """The repeated request waited for these runs, and began the job here again."""
    clock = Clock()
    core = OwnerCore("e0", OwnerLimits(), 7)
    core.update_declarations(clock.ms, Declarations(version=1))
    core.step(clock.ms)
    spec = job(JOB, count=2, volatile=True)
    core.submit(clock.ms, "first", spec, timeout_ms=9_000)
    given_up = core.state.volatile.jobs[JOB]
    agent_info = core.state.agents["u0"] = AgentInfo("u0")
    core.state.assign(next(iter(given_up.all_tasks())), agent_info, 1)
    give_up_and_answer(core.state, given_up, "another entry has a run")
    assert core.has_volatile_job(JOB)
    peer_jobs = PeerVolatileJobs(EXPIRY_MS)
    holder = Greeting("entry", "e3", 7, "e3:1")
    peer_jobs.add_entry(holder)
    peer_jobs.update(holder, VolatileJobs([JOB], []), clock.ms)
    links = ForwardingRequests()
    requests = VolatileRequests(core, None, peer_jobs, links, clock, LOG)
    assert asyncio.run(requests.submit(spec, 9_000)).outcome == "state"
    assert links.asked == ["e3:1"]


class RecordingLink:
    """Open link that keeps what is sent."""

    closed = False

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, message: Any) -> None:
        """Keep a message."""
        self.sent.append(message)


def test_a_request_that_was_read_after_a_pause_begins_no_job_of_another_entry() -> None:
    """It lay in the socket's buffer for 6 s, and the entry that asked began the job."""
    core = OwnerCore("e0", OwnerLimits(), 7)
    link = RecordingLink()

    async def find_e3() -> LiveHolder:
        return LiveHolder("e3:1")

    async def play() -> None:
        requests = VolatileRequests(
            core,
            SimpleNamespace(schedule_step=lambda: None),
            PeerVolatileJobs(EXPIRY_MS),
            ForwardingRequests(),
            Clock(),
            LOG,
            SimpleNamespace(claim=lambda _: find_e3()),
        )
        spec = job(JOB, count=1, volatile=True)
        requests.submit_for_entry((link, 1), spec, 9_000)
        await asyncio.sleep(0.01)

    asyncio.run(play())
    assert link.sent == [Answer(1, "elsewhere")]
    assert not core.has_volatile_job(JOB)
