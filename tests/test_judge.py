"""Guards against a judge that misses a broken rule, or names another one."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from scenarios.judge import CHECKERS, NothingJudged, Record, judge
from scenarios.soak_declarations import Probe
from scenarios.soak_findings import Fault, Send
from standins.noted_ends import NotedEnd
from standins.platform_worker import PlatformWorker

JOB = "0000000000000001"
SERVED = "200 {'state': 'completed'}"


def worker(name: str, *events: tuple[int, str, int, int]) -> PlatformWorker:
    """Return a worker with events: time, event, index of the task, and run."""
    made = PlatformWorker(name)
    made.run_events = [
        (at_ms, what, f"{JOB}.0.0.{index}", run) for at_ms, what, index, run in events
    ]
    return made


def sound() -> Record:
    """Return a record of one job with two tasks and one change, without a fault."""
    events = [(1_000, "start", 0, 1), (1_000, "start", 1, 1)]
    events += [(1_100, "done", 0, 1), (1_100, "done", 1, 1)]
    return Record(
        workers=[worker("w0", *events)],
        sends=[Send(JOB, "e0", 990, 1_110, SERVED)],
        sizes={JOB: 2},
        worker_cpu=2_000,
        task_cpu=1_000,
        max_attempts=3,
        completed={JOB},
        acked_ms=[0, 5_000],
        probes=[Probe("e0", 1, 2, 5_100, 5_101, 200)],
    )


BREAKS: dict[str, Callable[[Record], Record]] = {
    "TWICE": lambda record: attrs.evolve(
        record,
        workers=[
            *record.workers,
            worker("w1", (1_050, "start", 0, 2), (1_150, "stopped", 0, 2)),
        ],
    ),
    "LIMIT": lambda record: attrs.evolve(record, worker_cpu=1_500),
    "BUDGET": lambda record: attrs.evolve(
        record,
        workers=[
            *record.workers,
            worker(
                "w1",
                *((at, "start", 0, run) for run, at in enumerate((10, 30, 50))),
                *((at, "failed", 0, run) for run, at in enumerate((20, 40, 60))),
            ),
        ],
    ),
    "REFUSED": lambda record: attrs.evolve(
        record, sends=[Send(JOB, "e0", 990, 1_000, "503 {}")]
    ),
    "UNASKED": lambda record: attrs.evolve(
        record,
        workers=[
            *record.workers,
            worker("w1", (1_000, "start", 2, 1), (1_100, "done", 2, 1)),
        ],
    ),
    "MIXED": lambda record: attrs.evolve(
        record, workers=[worker("w0", *((1_000, "start", n, 1) for n in range(2)))]
    ),
    "LOST": lambda record: attrs.evolve(record, unfinished=[JOB]),
    "RECOVER": lambda record: attrs.evolve(
        record,
        faults=[Fault("kill e0", 2_000, 2_500)],
        sends=[
            *record.sends,
            *(Send(JOB, "e0", 20_000 + n, 21_000, "503 {}") for n in range(12)),
        ],
    ),
    "CONFIG": lambda record: attrs.evolve(
        record, probes=[Probe("e0", 1, 2, 7_001, 7_002, 404)]
    ),
}


def test_a_sound_record_breaks_no_rule() -> None:
    """A judge that finds something in any record shows nothing."""
    assert judge(sound()) == []


def test_each_rule_has_a_record_that_breaks_it() -> None:
    """A rule that no record can break counts as not judged."""
    assert set(BREAKS) == set(CHECKERS)


@pytest.mark.parametrize("name", sorted(BREAKS))
def test_a_broken_rule_is_named_and_no_other(name: str) -> None:
    """A soak that broke a rule without a checker passed."""
    found = judge(BREAKS[name](sound()))
    assert {finding.rule for finding in found} == {name}


@pytest.mark.parametrize(
    "changes",
    [
        {"sends": []},
        {"workers": [PlatformWorker("w0")]},
        {"probes": []},
        {"acked_ms": [0]},
    ],
)
def test_a_record_in_which_nothing_happened_is_an_error(
    changes: dict[str, object],
) -> None:
    """A soak that sent no job or changed nothing passed."""
    with pytest.raises(NothingJudged):
        judge(attrs.evolve(sound(), **changes))


@pytest.mark.parametrize("what", ["kill e0", "silence_all_channels"])
def test_an_entry_that_was_disturbed_lately_may_be_late(what: str) -> None:
    """The time limit holds for hosts in touch."""
    record = BREAKS["CONFIG"](sound())
    record.faults = [Fault(what, 6_000, 6_100)]
    assert judge(record) == []
    record.faults = [Fault(what, 3_000, 4_000), Fault("kill e1", 6_000, 6_100)]
    assert [finding.rule for finding in judge(record)] == ["CONFIG"]


def test_an_entry_that_the_store_turns_away_has_more_time_but_not_without_end() -> None:
    """The bound grows by 5,000 ms while the store is disturbed for some hosts."""
    record = BREAKS["CONFIG"](sound())
    record.faults = [Fault("turn_away e0", 4_000, 16_000)]
    assert judge(record) == []
    record.probes = [Probe("e0", 1, 2, 12_001, 12_002, 404)]
    assert [finding.rule for finding in judge(record)] == ["CONFIG"]


def test_an_answer_by_an_older_version_than_before_is_found() -> None:
    """An entry that goes back within the time limit of a change breaks the rule."""
    record = sound()
    record.probes = [
        Probe("e0", 1, 2, 5_100, 5_101, 200),
        Probe("e0", 1, 2, 5_400, 5_401, 404),
    ]
    assert [finding.rule for finding in judge(record)] == ["CONFIG"]
    # Another process of the entry has read less so far.
    record.probes[1] = attrs.evolve(record.probes[1], process=2)
    assert judge(record) == []


@pytest.mark.parametrize("lapsed", [False, True])
def test_a_start_after_a_noted_end_is_found(lapsed: bool) -> None:
    """review/6: the soak saw only runs that overlap."""
    record = sound()
    task = f"{JOB}.0.0.0"
    first = record.workers[0]
    first.ends.add(1, NotedEnd(task, 1, "done", 1_100))
    if lapsed:
        first.ends.lapse()
    first.ends.acknowledge(1)
    again = worker("w1", (1_200, "start", 0, 2), (1_300, "done", 0, 2))
    record = attrs.evolve(record, workers=[first, again], stored=[JOB])
    found = [finding.rule for finding in judge(record)]
    assert found == ([] if lapsed else ["TWICE"])
