"""Volatile jobs whose claim is forgotten, with the daemons' own claims and links."""

from __future__ import annotations

import pytest

from scenarios.claims_model import ClaimsModel
from scenarios.platform_model import job
from scenarios.volatile_requests import Request

JOB = "5c0e7a21d94b36f8"
SETTLE_MS = 1_500
LAG_MS = 150


class Resending:
    """Three entries, and a client account that sends a job again and again."""

    def __init__(self) -> None:
        self.model = ClaimsModel(entries=3, agents=4)
        for machine in self.model.machines.values():
            machine.run_ms = 1_500
        self.model.run(SETTLE_MS)
        self.sent = 0

    def send(self, entry: str) -> Request:
        """Send the job to an entry."""
        self.sent += 1
        spec = job(JOB, count=3, volatile=True)
        deadline_ms = self.model.now_ms + 6_000
        request = Request(f"{self.sent}", spec, deadline_ms, lambda _: None)
        self.model.receive(entry, request)
        return request

    def run_until_begun(self, entry: str) -> None:
        """Let time pass until an entry has begun the job."""
        for _ in range(1_000):
            self.model.run(1)
            if self.model.owners[entry].core.answers_volatile_job(JOB):
                return
        raise AssertionError("not begun")


def begin_a_given_up_job_again(play: Resending) -> None:
    """Let e0 give up the job, and begin it again while it announces the end.

    The third entry answers the claim late, so that the announcement comes after it.
    """
    first = play.send("e0")
    play.model.run(100)
    play.model.leave("e0", first)
    play.model.run(300)
    play.model.nodes["e2"].lag_ms = LAG_MS
    play.send("e0")
    play.run_until_begun("e0")
    play.model.run(5)


def test_a_job_that_began_again_does_not_run_twice_when_its_entry_is_killed() -> None:
    """The announcement that its earlier life had ended removed the new claim."""
    play = Resending()
    begin_a_given_up_job_again(play)
    play.model.kill("e0")
    play.model.run(50)
    play.send("e1")
    play.model.run(5_000)
    play.model.close()
    assert play.model.overlapping() == []


@pytest.mark.parametrize("pause_ms", [300, 700])
def test_a_job_that_began_again_does_not_run_twice_when_its_entry_is_late(
    pause_ms: int,
) -> None:
    """It stood still for less than a lease, and another entry began the job."""
    play = Resending()
    begin_a_given_up_job_again(play)
    play.model.owners["e0"].frozen_until_ms = play.model.now_ms + pause_ms
    play.model.run(50)
    play.send("e1")
    play.model.run(5_000)
    play.model.close()
    assert play.model.overlapping() == []


def test_a_job_does_not_run_twice_when_the_only_entry_that_knows_it_restarts() -> None:
    """The channels between its entry and the next one had fallen silent before."""
    play = Resending()
    model = play.model
    for end in model.nodes["e1"].ends:
        if end.other.owner is model.nodes["e0"]:
            end.silent = end.other.silent = True
    play.send("e1")
    model.run(300)
    assert model.owners["e1"].core.answers_volatile_job(JOB)
    model.kill("e2")
    model.run(350)
    model.start_entry("e2")
    model.assign()
    model.run(150)
    play.send("e0")
    model.run(5_000)
    model.close()
    assert model.overlapping() == []
