"""Tests of jobs that an entry hands to a less loaded one."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import pytest

from catkincross.clock import ManualClock, SystemClock
from catkincross.daemons._entry import DRAIN_S, EntryDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.daemons._owner_requests import LINK_CLOSED
from catkincross.daemons._volatile_requests import VolatileRequests
from catkincross.dispatch import (
    LiveHolder,
    LostHolder,
    NoHolder,
    PeerLoad,
    PeerVolatileJobs,
    choose_forwarding,
)
from catkincross.operations import Declarations, Service
from catkincross.peers import Answer, Ask, Greeting, LostVolatileJobs, VolatileJobs
from scenarios.platform_model import SERVICE, Model, job, ready_model
from tests.test_platform_daemons import free_port, settings_for

IDLE = PeerLoad("e1", "perth", 0)
OTHER_IDLE = PeerLoad("e2", "fife", 0)
# Objective of the model's jobs: 1.6 times the run time of 400 ms plus 60 ms.
OBJECTIVE_MS = 700
# A job of 2 tasks of 400 ms at this interval is 0.83 times the load that the 32 cores
# of the model can run.
INTERVAL_MS = 30


def choose(peers: list[PeerLoad], wait_ms: float = 400) -> str | None:
    """Return the entry that gets a job with 300 ms of slack."""
    return choose_forwarding(
        "a" * 16, wait_ms=wait_ms, slack_ms=300, data_centre="perth", peers=peers
    )


def test_a_job_is_forwarded_only_to_a_much_shorter_queue() -> None:
    """Entries that forward to queues like their own would only add a hop."""
    assert choose([IDLE]) == "e1"
    assert choose([IDLE], wait_ms=140) is None
    assert choose([PeerLoad("e1", "perth", 120)]) is None
    assert choose([]) is None


def test_entries_of_the_same_data_centre_come_first() -> None:
    """Traffic between data centres is priced."""
    assert choose([OTHER_IDLE, IDLE]) == "e1"
    assert choose([OTHER_IDLE]) == "e2"


def test_few_jobs_are_forwarded_on_one_report() -> None:
    """A single idle entry must not get the jobs of all others at once."""
    assert choose([PeerLoad("e1", "perth", 0, forwarded=4)]) is None
    assert choose([PeerLoad("e1", "perth", 0, forwarded=4), OTHER_IDLE]) == "e2"


def play_uneven_load(*, forwarding: bool) -> tuple[int, Model]:
    """Send all requests of a burst to one of eight entries.

    Returns:
        The number of jobs in time, and the model.
    """
    model = ready_model(entries=8, agents=8)
    for machine in model.machines.values():
        machine.run_ms = 400
    declared = Declarations(version=2, services={SERVICE: Service(SERVICE)})
    for host in model.owners.values():
        host.core.update_declarations(model.now_ms, declared)
    model.run(1_000)
    core = model.owners["e0"].core
    forwarded: dict[str, int] = {}
    waits: dict[str, int] = {}
    sent_ms = {}
    for number in range(100):
        if number % 20 == 0:
            forwarded.clear()
            waits = {
                name: host.core.backlog().wait_ms.get(SERVICE, 0)
                for name, host in model.owners.items()
                if name != "e0"
            }
        spec = job(f"{number:016x}", count=2, volatile=True, estimate_ms=400)
        peers = [
            PeerLoad(name, "", wait_ms, forwarded.get(name, 0))
            for name, wait_ms in waits.items()
        ]
        target = core.choose_forwarding(model.now_ms, spec, "", peers)
        entry = target if forwarding and target else "e0"
        forwarded[entry] = forwarded.get(entry, 0) + 1
        sent_ms[spec.id] = model.now_ms
        model.submit(spec.id, spec, entry, timeout_ms=2_500)
        model.run(INTERVAL_MS)
    model.run(3_000)
    ended_ms: dict[str, int] = {}
    for at_ms, what, task, _, _ in model.runs():
        if what == "done":
            ended_ms[task.partition(".")[0]] = at_ms
    in_time = sum(
        ended_ms.get(name, sent + OBJECTIVE_MS + 1) - sent <= OBJECTIVE_MS
        for name, sent in sent_ms.items()
    )
    return in_time, model


def test_an_entry_with_most_of_the_load_uses_the_workers_of_the_others() -> None:
    """One of twelve entries gave 310 of 374 rejections while workers were free."""
    without, _ = play_uneven_load(forwarding=False)
    with_forwarding, model = play_uneven_load(forwarding=True)
    assert with_forwarding >= 90
    assert with_forwarding > without * 1.2
    assert model.overlapping() == []


class Core:
    """Core that forwards each job to e2, and counts the jobs that it runs itself."""

    def __init__(self) -> None:
        self.run_here: list[str] = []
        self.outcome = "state"
        self.jobs: set[str] = set()

    def answers_volatile_job(self, job_id: str) -> bool:
        """Whether the entry has a job."""
        return job_id in self.jobs

    def choose_forwarding(self, *_: Any) -> str:
        """Choose e2."""
        return "e2:1"

    def submit(self, _: int, request: Any, spec: Any, **_more: Any) -> None:
        """Answer a job at once."""
        self.run_here.append(spec.id)
        request.set_result(Answer(0, self.outcome, "completed"))

    def abandon(self, *_: Any) -> None:
        """Ignore that a client account has left."""


class Requests:
    """Links to the other entries, which give a list of answers."""

    def __init__(self, answers: list[Answer | None]) -> None:
        self.answers = answers
        self.asked: list[str] = []
        self.greeting = Greeting("entry", "e1", 1)

    def peer_loads(self, _: str) -> list[PeerLoad]:
        """Return no load; the core of this test chooses without it."""
        return []

    def record_forwarding(self, _: str) -> None:
        """Count nothing."""

    async def ask_entry(self, address: str, _: Ask) -> Answer | None:
        """Return the next answer."""
        self.asked.append(address)
        return self.answers.pop(0)


class CoreLoop:
    """Loop that runs no steps."""

    def schedule_step(self) -> None:
        """Run no step."""


@pytest.mark.parametrize(
    ("answers", "outcome"),
    [
        ([Answer(1, "state", "completed")], "state"),
        ([Answer(1, "rejected", "backlog", 900)], "rejected"),
        ([Answer(1, "unknown", "deadline")], "unknown"),
        ([LINK_CLOSED, None, Answer(1, "state", "completed")], "state"),
    ],
)
def test_a_forwarded_job_runs_nowhere_else(
    answers: list[Answer | None], outcome: str
) -> None:
    """The other entry may have begun the job even if its answer is lost."""
    core, requests = Core(), Requests(answers)
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(Greeting("entry", "e2", 7, "e2:1"))

    async def run() -> Answer:
        clock = ManualClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        volatile = VolatileRequests(core, CoreLoop(), peer_jobs, requests, clock, log)
        return await volatile.submit(job("a" * 16, volatile=True), 2_000)

    assert asyncio.run(run()).outcome == outcome
    assert core.run_here == []
    assert requests.answers == []


def test_a_job_is_not_forwarded_to_an_entry_that_cannot_announce_it() -> None:
    """If that entry were lost, nobody would know that it may have run the job."""
    core, requests = Core(), Requests([])

    async def run() -> Answer:
        clock = ManualClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        volatile = VolatileRequests(
            core, CoreLoop(), PeerVolatileJobs(2_250), requests, clock, log
        )
        return await volatile.submit(job("a" * 16, volatile=True), 2_000)

    assert asyncio.run(run()).outcome == "state"
    assert core.run_here == ["a" * 16]


def submit_with(
    peer_jobs: PeerVolatileJobs, core: Core, answers: list[Answer | None]
) -> Answer:
    """Submit a job to an entry that knows of the jobs of others; return the answer."""

    async def run() -> Answer:
        clock = ManualClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        volatile = VolatileRequests(
            core, CoreLoop(), peer_jobs, Requests(answers), clock, log
        )
        return await volatile.submit(job("a" * 16, volatile=True), 2_000)

    return asyncio.run(run())


def test_a_job_whose_answer_was_lost_is_not_run_again() -> None:
    """The client account sends a job again if its connection broke before the answer.

    The entry that ran it still has the answer, but the job was begun at another one.
    """
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16], []), 0)
    peer_jobs.update(greeting, VolatileJobs([], ["a" * 16]), 0)
    core = Core()
    answer = submit_with(peer_jobs, core, [Answer(1, "state", "completed")])
    assert (answer.detail, core.run_here) == ("completed", [])
    assert peer_jobs.find_holder("a" * 16, 3_600) == NoHolder()
    peer_jobs.update(greeting, VolatileJobs(["b" * 16], []), 3_600)
    assert not peer_jobs.may_have_run("a" * 16)


def test_a_job_that_another_entry_gave_up_is_begun_here() -> None:
    """The other entry has no answer, and gave the job up since its queue is long.

    A rejection here must not say that the job has not run if its tasks were sent there.
    """
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16, "b" * 16], []), 0)
    peer_jobs.update(greeting, VolatileJobs([], [], ["a" * 16], ["b" * 16]), 0)
    assert peer_jobs.find_holder("a" * 16, 0) == NoHolder()
    assert peer_jobs.find_holder("b" * 16, 0) == NoHolder()
    assert peer_jobs.may_have_run("a" * 16)
    assert not peer_jobs.may_have_run("b" * 16)


@pytest.mark.parametrize("ended", [True, False])
def test_a_job_of_a_lost_entry_is_not_rejected_as_not_run(ended: bool) -> None:
    """A rejection says that no task has run, and the lost entry may have begun it."""
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=0)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16], []), 0)
    if ended:
        peer_jobs.update(greeting, VolatileJobs([], ["a" * 16]), 0)
    peer_jobs.mark_entry_lost(greeting, now_ms=0)
    core = Core()
    core.outcome = "rejected"
    assert submit_with(peer_jobs, core, []).outcome == "unknown"
    assert core.run_here == ["a" * 16]


def test_an_entry_that_has_started_learns_of_the_jobs_of_lost_entries() -> None:
    """It began such a job again while workers still ran its tasks."""
    lost = Greeting("entry", "e2", 7, "e2:1")
    other, started = PeerVolatileJobs(2_250), PeerVolatileJobs(2_250)
    other.add_entry(lost)
    other.update(lost, VolatileJobs(["a" * 16], []), 0)
    assert other.lost_jobs(1_000) == []
    other.mark_entry_lost(lost, now_ms=1_000)
    for message in other.lost_jobs(1_400):
        started.add_lost_jobs(message, 50_000)
    assert started.find_holder("a" * 16, 50_000) == LostHolder(1_850)
    assert started.may_have_run("a" * 16)
    assert other.lost_jobs(3_250) == []


def test_a_connected_entry_is_not_lost_because_another_one_says_so() -> None:
    """The other entry may only have lost its own link to it."""
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16], []), 0)
    peer_jobs.add_lost_jobs(LostVolatileJobs("e2", 7, "e2:1", 10, ["a" * 16]), 100)
    assert peer_jobs.find_holder("a" * 16, 100) == LiveHolder("e2:1")


def test_an_entry_that_was_asked_for_a_job_holds_it_until_it_answers() -> None:
    """The request may arrive after the entry has given up an earlier begin of it."""
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16], []), 0)
    peer_jobs.record_request("e2:1", "a" * 16, 10)
    peer_jobs.update(greeting, VolatileJobs([], [], ["a" * 16]), 20)
    assert peer_jobs.find_holder("a" * 16, 20) == LiveHolder("e2:1")
    peer_jobs.mark_entry_lost(greeting, now_ms=100)
    assert peer_jobs.find_holder("a" * 16, 100) == LostHolder(2_250)
    peer_jobs.record_answer("e2:1", "a" * 16)
    assert peer_jobs.find_holder("a" * 16, 100) == NoHolder()


def test_a_rejection_after_a_lost_answer_is_not_passed_on() -> None:
    """A new process of the entry rejects a job that the earlier one may have begun."""
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16], []), 0)
    answers = [LINK_CLOSED, Answer(1, "rejected", "backlog", 900)]
    assert submit_with(peer_jobs, Core(), answers).outcome == "unknown"


def test_a_job_that_was_asked_of_another_entry_is_not_rejected_as_not_run() -> None:
    """The other entry may have begun it, and may not be remembered any more."""
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16], []), 0)

    class ForgettingRequests(Requests):
        """Loses the answer of an entry, and all that is known of it."""

        async def ask_entry(self, address: str, _: Ask) -> Answer | None:
            """Return no answer."""
            peer_jobs.entries.clear()
            return LINK_CLOSED

    core = Core()
    core.outcome = "rejected"

    async def run() -> Answer:
        clock = ManualClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        volatile = VolatileRequests(
            core, CoreLoop(), peer_jobs, ForgettingRequests([]), clock, log
        )
        return await volatile.submit(job("a" * 16, volatile=True), 2_000)

    assert asyncio.run(run()).outcome == "unknown"
    assert core.run_here == ["a" * 16]


class StoppedServer:
    """Server of client accounts that has no open requests."""

    async def stop(self, _: float) -> None:
        """Return at once."""


def test_an_entry_that_leaves_finishes_the_jobs_of_other_entries() -> None:
    """The other entry would wait for the runs to end, and begin the job anew."""

    async def run() -> None:
        clock = SystemClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        settings = settings_for("e1", store=f"127.0.0.1:{free_port()}")
        entry = EntryDaemon(settings, clock, log)
        entry.client_server = StoppedServer()
        requests = entry.core.state.volatile.requests
        requests["a" * 16] = [("link", 1)]
        leaving = asyncio.create_task(entry.leave())
        await asyncio.sleep(DRAIN_S + 0.5)
        assert not leaving.done()
        requests.clear()
        await leaving
        assert entry.stopped.is_set()

    asyncio.run(run())
