"""Claims of volatile jobs: which entries are asked, and who decides."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from catkincross.dispatch import (
    Claim,
    Contested,
    JobClaims,
    LiveHolder,
    LostHolder,
    NoHolder,
    PeerVolatileJobs,
)
from catkincross.peers import Answer, Greeting, VolatileJobs

JOB = "5c0e7a21d94b36f8"
EXPIRY_MS = 2_250
LATER_MS = 100_000
GRANTED = Answer(0, "granted")
LATELY = Answer(0, "granted", "started lately")


def claims_of(address: str, started_ms: int = 0) -> JobClaims:
    """Return the claims of an entry that knows no other one yet."""
    return JobClaims(PeerVolatileJobs(EXPIRY_MS), address, started_ms)


def asked_by(
    claimant: str, others: set[str], lost: set[str], young: set[str], job_id: str
) -> Claim:
    """Return the claim of an entry after the answers of all that it asked."""
    started_ms = LATER_MS if claimant in young else 0
    claims = claims_of(claimant, started_ms)
    if claimant not in young:
        # It has seen the links of the earlier processes close.
        for address in young:
            earlier = Greeting("entry", address, 1, address)
            claims.peer_jobs.add_entry(earlier)
            claims.peer_jobs.mark_entry_lost(earlier, now_ms=LATER_MS - 100)
            claims.peer_jobs.add_entry(Greeting("entry", address, 2, address))
    claim = claims.prepare(job_id, others | lost, lost, LATER_MS)
    while witnesses := claim.next_witnesses():
        for address in witnesses:
            claim.record_asked(address)
            claim.record_answer(address, LATELY if address in young else GRANTED)
    return claim


@settings(max_examples=300, deadline=None)
@given(
    count=st.integers(2, 9),
    lost_count=st.integers(1, 4),
    restarted=st.booleans(),
    draw=st.randoms(use_true_random=False),
)
def test_the_next_entry_asks_one_that_knows_of_the_claim(
    count: int, lost_count: int, restarted: bool, draw: object
) -> None:
    """The entry that claimed a job is lost with others, which may have come back.

    Either an entry that is asked knows of the claim, or the claim is not granted.
    """
    names = [f"10.0.0.{number}:1" for number in range(count)]
    job_id = f"{draw.getrandbits(64):016x}"
    first = draw.choice(names)
    told = asked_by(first, set(names) - {first}, set(), set(), job_id).asked
    lost = {first, *draw.sample(names, min(lost_count, count - 1) - 1)}
    survivors = [name for name in names if name not in lost]
    young = lost if restarted else set()
    gone = set() if restarted else lost
    second = draw.choice(names if restarted else survivors)
    claim = asked_by(second, set(names) - gone - {second}, gone, young, job_id)
    knowing = (told - lost) & (claim.asked | {second})
    assert knowing or claim.verdict() is None


def test_few_entries_are_asked_while_none_is_lost() -> None:
    """A claim that goes to all entries would cost messages with their number."""
    names = {f"10.0.0.{number}:1" for number in range(35)}
    assert len(asked_by("10.0.0.0:1", names, set(), set(), JOB).asked) <= 3


def test_a_job_of_an_entry_that_is_lost_is_denied_until_its_runs_have_ended() -> None:
    """A witness that forgot the job with its entry would let it begin at once."""
    claims = claims_of("e0:1")
    holder, claimant = Greeting("entry", "e1", 7, "e1:1"), Greeting("entry", "e2", 8)
    for greeting in (holder, claimant):
        claims.peer_jobs.add_entry(greeting)
    assert claims.answer(holder, JOB, has_job=False, now_ms=5_000).outcome == "granted"
    held = claims.answer(claimant, JOB, has_job=False, now_ms=5_010)
    assert held == Answer(0, "held", "e1:1")
    claims.peer_jobs.mark_entry_lost(holder, now_ms=5_020)
    held = claims.answer(claimant, JOB, has_job=False, now_ms=5_030)
    assert held == Answer(0, "held", "", EXPIRY_MS - 10)
    granted = claims.answer(claimant, JOB, has_job=False, now_ms=5_020 + EXPIRY_MS)
    assert granted.outcome == "granted"


def test_the_earlier_process_of_an_entry_counts_as_lost_when_the_next_one_greets() -> (
    None
):
    """No link closes when a host is turned off, so its jobs seemed to be alive."""
    peer_jobs = PeerVolatileJobs(EXPIRY_MS)
    earlier = Greeting("entry", "e1", 7, "e1:1")
    peer_jobs.add_entry(earlier)
    peer_jobs.update(earlier, VolatileJobs([JOB], []), 0)
    peer_jobs.end_earlier_processes(Greeting("entry", "e1", 8, "e1:1"), 1_000)
    assert peer_jobs.find_holder(JOB, 1_100) == LostHolder(EXPIRY_MS - 100)


def test_a_withdrawn_claim_leaves_the_job_to_others() -> None:
    """A job that was rejected would be asked for at the entry that rejected it."""
    claims = claims_of("e0:1")
    claimant, other = Greeting("entry", "e1", 7, "e1:1"), Greeting("entry", "e2", 8)
    for greeting in (claimant, other):
        claims.peer_jobs.add_entry(greeting)
    claims.answer(claimant, JOB, has_job=False, now_ms=5_000)
    claims.withdraw(claimant, JOB, 5_001)
    answer = claims.answer(other, JOB, has_job=False, now_ms=5_002)
    assert answer.outcome == "granted"


def test_the_first_witness_decides_between_two_claims() -> None:
    """Two entries must neither both begin a job nor both give it up."""
    ranking = ["w0", "w1", "e0", "e1"]
    won, lost = Claim("e0", ranking), Claim("e1", ranking)
    won.record_answer("w0", GRANTED)
    won.record_answer("w1", Answer(0, "held", "e1"))
    lost.record_answer("w0", Answer(0, "held", "e0"))
    lost.record_answer("w1", GRANTED)
    assert won.verdict() == Contested()
    assert lost.verdict() == LiveHolder("e0")


def test_an_entry_alone_waits_after_its_start() -> None:
    """Its earlier process may have left runs, and no other entry can tell."""
    assert asked_by("e0", set(), set(), {"e0"}, JOB).verdict() is None
    assert asked_by("e0", set(), set(), set(), JOB).verdict() == NoHolder()


def test_new_entries_do_not_count_as_lost_witnesses() -> None:
    """Jobs waited for 2,250 ms when entries were added, as after a loss of several."""
    names = {f"10.0.0.{number}:1" for number in range(8)}
    claims = claims_of("10.0.0.0:1")
    claim = claims.prepare(JOB, names, [], LATER_MS)
    new = set(claim.ranking[:5]) - {"10.0.0.0:1"}
    while witnesses := claim.next_witnesses():
        for address in witnesses:
            claim.record_asked(address)
            claim.record_answer(address, LATELY if address in new else GRANTED)
    assert claim.verdict() == NoHolder()
    assert len(claim.asked - new) >= 2


def test_an_entry_that_reaches_no_other_one_begins_no_job() -> None:
    """It was cut off after a pause, and the others began its jobs meanwhile."""
    others = {f"10.0.0.{number}:1" for number in range(1, 4)}
    for number in range(16):
        claims = claims_of("10.0.0.0:1")
        claim = claims.prepare(f"{number:016x}", others, [], LATER_MS)
        while witnesses := claim.next_witnesses():
            for address in witnesses:
                claim.record_asked(address)
                claim.record_answer(address, None)
        assert claim.verdict() is None


def test_the_last_of_two_entries_begins_jobs_after_the_other_one_has_ended() -> None:
    """It knows the jobs of the other one, since it was its only witness."""
    claims = claims_of("e0:1")
    other = Greeting("entry", "e1", 7, "e1:1")
    claims.peer_jobs.add_entry(other)
    claims.peer_jobs.mark_entry_lost(other, now_ms=LATER_MS - 10)
    claim = claims.prepare(JOB, [], [], LATER_MS)
    assert claim.next_witnesses() == []
    assert claim.verdict() == NoHolder()
