"""Claims of volatile jobs: links that closed, and majorities of changed entries."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings, strategies as st

from catkincross.dispatch import (
    JobClaims,
    LiveHolder,
    LostHolder,
    NoHolder,
    PeerVolatileJobs,
)
from catkincross.peers import Answer, Greeting, VolatileJobs
from scenarios.claims_model import ClaimsModel
from scenarios.platform_model import job
from scenarios.volatile_requests import Request

from .test_platform_claim_requests import (
    EXPIRY_MS,
    GRANTED,
    JOB,
    LATELY,
    Clock,
    Entries,
    add_lost,
    claimer_of,
)

LATER_MS = 100_000


def named(count: int, *, first: int = 0) -> list[str]:
    """Return the addresses of entries."""
    return [f"10.0.0.{number}:1" for number in range(first, first + count)]


def claims_of(address: str) -> JobClaims:
    """Return the claims of an entry that started long ago."""
    return JobClaims(PeerVolatileJobs(EXPIRY_MS), address, 0)


def ranking_of(names: list[str], job_id: str = JOB) -> list[str]:
    """Return the entries in the order in which they are witnesses."""
    return claims_of(names[0]).prepare(job_id, names, (), LATER_MS).ranking


def play(
    claims: JobClaims, names: list[str], silent: set[str], lately: set[str]
) -> Any:
    """Return the claim of an entry on the job after all answers."""
    return claim_with(JOB, claims, names, silent, lately)


def claim_with(
    job_id: str,
    claims: JobClaims,
    names: list[str],
    silent: set[str],
    lately: set[str] = frozenset(),  # type: ignore[assignment]
) -> Any:
    """Return the claim of an entry after the answers of those that are not silent."""
    claim = claims.prepare(job_id, set(names) - {claims.own_address}, (), LATER_MS)
    while witnesses := claim.next_witnesses():
        for address in witnesses:
            claim.record_asked(address)
            if address in silent:
                claim.record_silence(address)
            else:
                answer = LATELY if address in lately else GRANTED
                claim.record_answer(address, answer)
    return claim


def test_a_lost_entry_and_two_silent_ones_leave_no_job_without_a_witness() -> None:
    """The holder and its two witnesses do not answer, and others are the majority."""
    names = named(6)
    ranking = ranking_of(names)
    holder = claims_of(ranking[0])
    told = play(holder, names, set(), set())
    assert isinstance(told.verdict(), NoHolder)
    next_one = claims_of(ranking[4])
    add_lost(next_one.peer_jobs, ranking[1], LATER_MS - 100)
    claim = play(next_one, names, {ranking[0], ranking[2]}, set())
    knowing = {ranking[0], *told.asked} & claim.answers.keys()
    assert knowing or claim.verdict() is None


def test_entries_that_are_added_do_not_outvote_silent_ones() -> None:
    """They know none of the claims before their start."""
    old, new = named(3), named(2, first=10)
    others = old[:2]
    third = old[2]
    # The third entry stands still while the first one claims the job.
    told = play(claims_of(others[0]), old, {third}, set())
    assert isinstance(told.verdict(), NoHolder)
    claim = play(claims_of(third), [*old, *new], set(others), set(new))
    assert claim.verdict() is None


def test_a_silent_holder_is_not_outvoted_by_a_witness_without_memory() -> None:
    """Its host was restarted; this entry knows only that it has started lately."""
    names = named(3)
    told = play(claims_of(names[0]), names, {names[2]}, set())
    assert isinstance(told.verdict(), NoHolder)
    claim = play(claims_of(names[2]), names, {names[0]}, {names[1]})
    assert claim.verdict() is None


HELD_BY_E1 = Answer(0, "held", "e1:1")


class LinkedEntries(Entries):
    """Entries to which this one has open links."""

    def heard_ms(self, _: str) -> int | None:
        """Return that something was heard."""
        return 0


def test_the_only_other_entry_is_asked_although_its_link_has_closed() -> None:
    """Its channel was reset, it is alive, and the link to it is open."""
    clock = Clock()
    entries = LinkedEntries({"e1:1": HELD_BY_E1})
    claimer = claimer_of(entries, clock, 0, lambda: False)
    add_lost(claimer.claims.peer_jobs, "e1:1", clock.ms - 5)
    assert asyncio.run(claimer.claim(JOB)) == LiveHolder("e1:1")


def test_entries_are_asked_although_all_their_links_have_closed() -> None:
    """All channels of a site were reset; the proof is about lost entries only."""
    clock = Clock()
    entries = LinkedEntries({"e1:1": HELD_BY_E1, "e2:1": GRANTED})
    claimer = claimer_of(entries, clock, 0, lambda: True)
    for address in entries.answers:
        add_lost(claimer.claims.peer_jobs, address, clock.ms - 5)
    assert asyncio.run(claimer.claim(JOB)) == LiveHolder("e1:1")


def test_a_job_that_is_sent_to_both_of_two_entries_after_a_reset_runs_once() -> None:
    """Two entries that have reset links to each other begin it within 500 ms."""
    model = ClaimsModel(entries=2, agents=4)
    for machine in model.machines.values():
        machine.run_ms = 800
    model.run(1_630)
    for entry in list(model.nodes):
        model.reset_channels(entry, silent=False, agents=False)
    for entry, pause_ms in (("e0", 20), ("e1", 50)):
        model.run(pause_ms)
        deadline_ms = model.now_ms + 1_500
        spec = job(JOB, count=2, volatile=True)
        model.receive(entry, Request(entry, spec, deadline_ms, lambda _: None))
    model.run(4_000)
    model.close()
    assert model.overlapping() == []


class BusyLinks(Entries):
    """Entries that are heard all the time, and answer each claim late."""

    late_s = 0.3

    def heard_ms(self, _: str) -> int | None:
        """Return that a message has just arrived, such as an answer for another job."""
        return now_ms()

    def send_request(self, address: str, ask: Any) -> asyncio.Future[Answer]:
        """Answer a request late."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.sent.append((address, ask.verb))
        loop.call_later(self.late_s, future.set_result, self.answers[address])
        return future


def now_ms() -> int:
    """Return the time of the machine, which the pauses of a claim follow."""
    return LATER_MS + time.monotonic_ns() // 1_000_000


def test_a_late_answer_counts_although_the_entry_is_heard_meanwhile() -> None:
    """Each new question replaced the one whose answer was on its way."""
    entries = BusyLinks({"e1:1": GRANTED, "e2:1": GRANTED})
    clock = SimpleNamespace(now_ms=now_ms)
    claimer = claimer_of(entries, clock, 0, lambda: False)  # type: ignore[arg-type]
    assert isinstance(asyncio.run(claimer.claim(JOB)), NoHolder)


def test_a_late_answer_of_the_holder_counts_although_it_is_heard_meanwhile() -> None:
    """The request would wait for nobody, and not be passed to the holder."""
    entries = BusyLinks({"e1:1": HELD_BY_E1, "e2:1": HELD_BY_E1})
    clock = SimpleNamespace(now_ms=now_ms)
    claimer = claimer_of(entries, clock, 0, lambda: False)  # type: ignore[arg-type]
    assert asyncio.run(claimer.claim(JOB)) == LiveHolder("e1:1")


@settings(max_examples=600, deadline=None)
@given(
    count=st.sampled_from([2, 3, 4, 5, 6, 7, 9, 35]),
    lost_count=st.integers(0, 2),
    silent_first=st.integers(0, 3),
    silent_second=st.integers(0, 4),
    draw=st.randoms(use_true_random=False),
)
def test_of_two_claims_with_silent_and_lost_entries_one_learns_of_the_other(
    count: int, lost_count: int, silent_first: int, silent_second: int, draw: Any
) -> None:
    """Up to two entries are lost after the first claim, and any may be silent."""
    names = named(count)
    job_id = f"{draw.getrandbits(64):016x}"
    first, second = draw.sample(names, 2)
    others = [name for name in names if name != first]
    told = claim_with(
        job_id,
        claims_of(first),
        names,
        set(draw.sample(others, min(silent_first, count - 1))),
    )
    if not isinstance(told.verdict(), NoHolder):
        return
    knowing = {first, *told.answers}
    rest = [name for name in names if name != second]
    lost = set(draw.sample(rest, min(lost_count, count - 1)))
    claims = claims_of(second)
    for address in lost:
        add_lost(claims.peer_jobs, address, LATER_MS - 100)
    silent = set(draw.sample(rest, min(silent_second, count - 1))) - lost
    claim = claim_with(job_id, claims, names, silent)
    learns = knowing & {second, *claim.answers}
    assert learns or not isinstance(claim.verdict(), NoHolder), (
        f"ranking {claim.ranking}, holder {first}, knowing {sorted(knowing)}, "
        f"claimant {second}, lost {sorted(lost)}, silent {sorted(silent)}"
    )


def claim_behind_cut(
    job_id: str, own: str, names: list[str], far_side: set[str]
) -> Any:
    """Return the claim of an entry that has no link to those on the far side of a cut.

    The store names all entries.
    """
    claims = claims_of(own)
    claims.peer_jobs.named = lambda: names
    claim = claims.prepare(job_id, set(names) - {own}, (), LATER_MS)
    while witnesses := claim.next_witnesses():
        for address in witnesses:
            claim.record_asked(address)
            claim.record_answer(address, None if address in far_side else GRANTED)
    return claim


CUT_SITES = given(
    count=st.sampled_from([2, 3, 4, 5, 6, 7, 9, 35]),
    share=st.floats(0, 1),
    draw=st.randoms(use_true_random=False),
)


def draw_cut(count: int, share: float, draw: Any) -> tuple[list[str], set[str]]:
    """Return all entries, and those on one side of a cut."""
    names = named(count)
    size = min(max(1, round(share * count)), count - 1)
    return names, set(draw.sample(names, size))


@settings(max_examples=600, deadline=None)
@CUT_SITES
def test_of_two_claims_on_both_sides_of_a_cut_at_most_one_is_granted(
    count: int, share: float, draw: Any
) -> None:
    """Each side counted the entries of the other one as ended after 2,250 ms."""
    names, one_side = draw_cut(count, share, draw)
    other_side = set(names) - one_side
    job_id = f"{draw.getrandbits(64):016x}"
    claims = [
        claim_behind_cut(job_id, draw.choice(sorted(near)), names, far)
        for near, far in ((one_side, other_side), (other_side, one_side))
    ]
    assert any(claim.may_be_held_behind_cut for claim in claims), claims


@settings(max_examples=600, deadline=None)
@CUT_SITES
def test_a_claim_behind_a_cut_learns_of_a_job_from_before(
    count: int, share: float, draw: Any
) -> None:
    """The entry that has the job is on the other side, and its runs go on."""
    names, near = draw_cut(count, share, draw)
    far = set(names) - near
    job_id = f"{draw.getrandbits(64):016x}"
    holder = draw.choice(sorted(far))
    told = claim_with(job_id, claims_of(holder), names, set())
    own = draw.choice(sorted(near))
    claim = claim_behind_cut(job_id, own, names, far)
    knowing = {holder, *told.answers}
    learns = knowing & {own, *claim.answers}
    assert learns or claim.may_be_held_behind_cut, (claim, holder)


def test_a_job_of_an_entry_that_is_cut_off_is_not_begun_elsewhere() -> None:
    """Its runs counted as ended after 2,250 ms, although it was alive."""
    peer_jobs = PeerVolatileJobs(EXPIRY_MS)
    greeting = Greeting("entry", "e1", 7, "e1:1")
    peer_jobs.add_entry(greeting)
    peer_jobs.update(greeting, VolatileJobs([JOB], []), 1_000)
    peer_jobs.mark_entry_lost(greeting, now_ms=1_000)
    peer_jobs.named = lambda: {"e1:1"}
    assert isinstance(peer_jobs.find_holder(JOB, 60_000), LostHolder)
    peer_jobs.named = lambda: set()
    assert peer_jobs.find_holder(JOB, 60_000) == NoHolder()


def test_a_request_that_a_cut_keeps_from_being_claimed_is_answered_at_once() -> None:
    """It was held until its time limit, though no answer could come."""
    claims = claims_of("e0:1")
    claims.peer_jobs.named = lambda: {"e0:1", "e1:1", "e2:1"}
    claims.record_reached("e1:1", reached=False, now_ms=LATER_MS - 4_000)
    claim = claim_behind_cut(JOB, "e0:1", ["e0:1", "e1:1", "e2:1"], {"e1:1", "e2:1"})
    assert claim.verdict() is None
    assert claims.wait_behind_cut_ms(claim, LATER_MS) > 5_000


def test_two_entries_do_not_both_begin_a_job_after_their_links_were_reset() -> None:
    """Each took the other one for ended, although it had a link to it."""
    for own, other in (("e0", "e1"), ("e1", "e0")):
        claims = claims_of(f"{own}:1")
        add_lost(claims.peer_jobs, f"{other}:1", LATER_MS - 5)
        claim = claims.prepare(JOB, [f"{other}:1"], (), LATER_MS)
        assert claim.next_witnesses() or claim.lost_to_ask() == [f"{other}:1"]


@pytest.mark.parametrize("entries", [2, 3, 4])
def test_entries_on_both_sides_of_a_cut_do_not_both_begin_a_job(entries: int) -> None:
    """The lapse of time ends the runs of entries that have ended, not of live ones."""
    model = ClaimsModel(entries=entries, agents=4)
    for machine in model.machines.values():
        machine.run_ms = 800
    model.run(2_000)
    names = list(model.nodes)
    sides = names[: entries // 2], names[entries // 2 :]
    for one in sides[0]:
        for other in sides[1]:
            model.block(one, other, 9_000)
            model.block(other, one, 9_000)
    model.run(3_000)
    for side in sides:
        spec = job(JOB, count=2, volatile=True)
        deadline_ms = model.now_ms + 1_500
        model.receive(side[0], Request(side[0], spec, deadline_ms, lambda _: None))
        model.run(50)
    model.run(4_000)
    model.close()
    assert model.overlapping() == []
