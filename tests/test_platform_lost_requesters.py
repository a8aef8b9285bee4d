"""Tests of jobs that an entry runs for another one which it loses."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

from catkincross.clock import SystemClock
from catkincross.daemons._entry import EntryDaemon
from catkincross.daemons._entry_links import (
    LINK_CHECK_MS,
    LINK_TIMEOUT_MS,
    REQUEST_GRACE_MS,
    REQUEST_RELEASE_MS,
)
from catkincross.daemons._log import DecisionLog
from catkincross.dispatch import LiveHolder, LostHolder, NoHolder, PeerVolatileJobs
from catkincross.dispatch._peer_jobs import LOST_ENTRY_RETENTION_MS
from catkincross.jobs import to_fields
from catkincross.peers import Ask, Greeting, Link, VolatileJobs, encode_message
from scenarios.platform_model import job
from tests.test_platform_daemons import free_port, settings_for

JOB = "a" * 16
REQUESTER = Greeting("entry", "e2", 7, "127.0.0.1:9")
# Time in which an entry gives up the jobs of a lost requesting entry, with a reserve.
RELEASE_S = 1.0


class EndlessTransport(asyncio.Transport):
    """Transport of a link that is open until it is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the transport, which also serves as a socket without options."""
        return self

    def setsockopt(self, *_: Any) -> None:
        """Ignore the option."""

    def write(self, data: bytes) -> None:
        """Keep what is written."""
        self.written.append(data)

    def get_write_buffer_size(self) -> int:
        """Return that all data has been sent."""
        return 0

    def close(self) -> None:
        """Do nothing."""


def open_link(entry: EntryDaemon) -> Link:
    """Return a link that the requesting entry has opened to the entry."""
    links = entry.entry_links
    link = Link(links._on_message, links._on_close, entry.log.note_error)
    link.connection_made(EndlessTransport())
    receive(link, REQUESTER)
    return link


def receive(link: Link, message: Any) -> None:
    """Let a message arrive on a link."""
    data = encode_message(message)
    link.data_received(len(data).to_bytes(4, "big") + data)


def ask(link: Link, number: int) -> None:
    """Let the requesting entry submit the job."""
    spec = job(JOB, volatile=True)
    receive(link, Ask(number, "submit", JOB, to_fields(spec), 20_000))


def holds_job(scenario: Callable[[EntryDaemon], Any]) -> bool:
    """Return whether an entry still has the job after a scenario."""

    async def run() -> bool:
        clock = SystemClock()
        log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
        entry = EntryDaemon(
            settings_for("e1", store=f"127.0.0.1:{free_port()}"), clock, log
        )
        # The requesting entry cannot be reached, but the agents have told that no run
        # of a lost entry goes on.
        entry.claimer.claims.started_ms -= 10_000
        entry.claimer.proof.holds = lambda _: True
        # Jobs are accepted without a known worker just after the first step.
        entry.core.step(clock.now_ms())
        watch = asyncio.create_task(entry.entry_links.close_silent_links())
        await scenario(entry)
        watch.cancel()
        return JOB in entry.core.state.volatile.open_jobs

    return asyncio.run(run())


def test_a_job_goes_on_while_the_link_to_its_requester_is_open() -> None:
    """The requesting entry sends its backlog every 500 ms."""

    async def scenario(entry: EntryDaemon) -> None:
        link = open_link(entry)
        ask(link, 1)
        for _ in range(5):
            await asyncio.sleep(0.5)
            receive(link, entry.core.backlog())

    assert holds_job(scenario)


def test_a_job_of_a_lost_asker_does_not_go_on() -> None:
    """The requesting entry began the job too, while this entry still ran it."""

    async def scenario(entry: EntryDaemon) -> None:
        link = open_link(entry)
        ask(link, 1)
        # The job begins once the claim on it has been decided.
        async with asyncio.timeout(1.0):
            while JOB not in entry.core.state.volatile.open_jobs:
                await asyncio.sleep(0.01)
        link.connection_lost(ConnectionResetError())
        await asyncio.sleep(RELEASE_S)

    assert not holds_job(scenario)


def test_a_job_of_a_silent_requester_does_not_go_on() -> None:
    """A cut without a reset closes no link, and the other side may be closed."""

    async def scenario(entry: EntryDaemon) -> None:
        ask(open_link(entry), 1)
        await asyncio.sleep(2.0 + RELEASE_S)

    assert not holds_job(scenario)


def test_a_job_of_a_lost_asker_does_not_go_on_after_a_pause() -> None:
    """The other entry has begun the job in the pause, so no request is kept."""

    async def scenario(entry: EntryDaemon) -> None:
        link = open_link(entry)
        ask(link, 1)
        entry.entry_links.checked_ms = entry.clock.now_ms() - 6_000
        link.connection_lost(ConnectionResetError())

    assert not holds_job(scenario)


def test_a_job_goes_on_if_its_requester_asks_again_on_a_new_link() -> None:
    """A connection that was reset must not cost the runs of its jobs."""

    async def scenario(entry: EntryDaemon) -> None:
        link = open_link(entry)
        ask(link, 1)
        link.connection_lost(ConnectionResetError())
        await asyncio.sleep(0.1)
        new_link = open_link(entry)
        ask(new_link, 1)
        await asyncio.sleep(RELEASE_S)

    assert holds_job(scenario)


def test_a_job_asked_of_an_entry_that_is_cut_off_waits_until_it_is_given_up_there() -> (
    None
):
    """It was begun 2,250 ms after the loss of the link, while the other went on."""
    other = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250, release_ms=REQUEST_RELEASE_MS)
    peer_jobs.add_entry(other)
    assert peer_jobs.record_forwarding("e2:1", JOB)
    peer_jobs.mark_entry_lost(other, now_ms=1_000)
    peer_jobs.record_no_answer("e2:1", JOB, 1_100)
    end_ms = 1_100 + REQUEST_RELEASE_MS + 2_250
    assert peer_jobs.find_holder(JOB, 3_300) == LostHolder(end_ms - 3_300)
    assert peer_jobs.find_holder(JOB, end_ms) == NoHolder()
    peer_jobs.add_entry(Greeting("entry", "e2", 8, "e2:1"))
    assert peer_jobs.find_holder(JOB, 3_300) == NoHolder()


def test_a_job_that_is_asked_again_waits_from_the_last_request_on() -> None:
    """The entry that is cut off keeps a job if the request arrives once more."""
    other = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250, release_ms=REQUEST_RELEASE_MS)
    peer_jobs.add_entry(other)
    peer_jobs.update(other, VolatileJobs([JOB], []), 0)
    peer_jobs.record_no_answer("e2:1", JOB, 500)
    peer_jobs.record_no_answer("e2:1", JOB, 5_000)
    peer_jobs.mark_entry_lost(other, now_ms=5_100)
    end_ms = 5_000 + REQUEST_RELEASE_MS + 2_250
    assert peer_jobs.find_holder(JOB, end_ms - 1) == LostHolder(1)
    assert peer_jobs.find_holder(JOB, end_ms) == NoHolder()


def test_no_entry_waits_less_than_another_one_keeps_its_requests() -> None:
    """Both sides would act in the time between."""
    assert REQUEST_RELEASE_MS > LINK_TIMEOUT_MS + LINK_CHECK_MS + REQUEST_GRACE_MS
    assert LOST_ENTRY_RETENTION_MS > REQUEST_RELEASE_MS + 2_250


def test_an_entry_does_not_count_itself_as_lost() -> None:
    """Another entry that lost the link to it tells the jobs of lost entries."""
    other = PeerVolatileJobs(run_expiry_ms=2_250)
    own = Greeting("entry", "e1", 3, "e1:1")
    other.add_entry(own)
    other.update(own, VolatileJobs(["a" * 16], []), 0)
    other.mark_entry_lost(own, now_ms=10)
    own_view = PeerVolatileJobs(run_expiry_ms=2_250, own_process=("e1", 3))
    for lost in other.lost_jobs(20):
        own_view.add_lost_jobs(lost, 20)
    assert own_view.find_holder("a" * 16, 20) == NoHolder()
    assert not own_view.may_have_run("a" * 16)


def test_a_job_that_ended_while_its_entry_was_cut_off_is_not_held_there() -> None:
    """The end was announced on the closed link, and the job stayed held for good."""
    greeting = Greeting("entry", "e2", 7, "e2:1")
    peer_jobs = PeerVolatileJobs(run_expiry_ms=2_250)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["a" * 16, "b" * 16, "c" * 16], []), 0)
    peer_jobs.record_request("e2:1", "b" * 16, 0)
    peer_jobs.mark_entry_lost(greeting, now_ms=10)
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs(["c" * 16], [], complete=True), 20)
    assert peer_jobs.find_holder("a" * 16, 20) == NoHolder()
    assert peer_jobs.find_holder("b" * 16, 20) == LiveHolder("e2:1")
    assert peer_jobs.find_holder("c" * 16, 20) == LiveHolder("e2:1")
