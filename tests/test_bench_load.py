"""Guards against load figures that hide waste, queueing or a missed target."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest

from catkincross.ids import Incarnation, TaskId
from catkincross.messages import (
    AgentHeartbeat,
    CancelTasks,
    OwnedTask,
    PlacedTask,
    PlaceTasks,
    Reason,
    StartTasks,
    TaskResult,
    TaskResults,
    TaskSpec,
    TaskStart,
    TaskStatus,
)
from catkincross_bench._cores_run import steady_round
from catkincross_bench._drain_shares import TaskRun, last_start_ms, work_shares
from catkincross_bench._ideal import idle_ideal_ms, loaded_ideal_ms
from catkincross_bench._processes import socket_bytes
from catkincross_bench._summary import Measure, summarize
from catkincross_bench._times import ratios
from catkincross_bench._waste import count_messages
from catkincross_bench._workload import (
    DrainPhase,
    JobPlan,
    UpstreamSpec,
    Workload,
    plan_arrivals,
    read_workload,
)

OWNER = Incarnation("e1", 1)
TASK = TaskId(b"k" * 16, 0)


def placed(attempt: int = 1) -> PlacedTask:
    return PlacedTask(OWNER, TASK, "s", "team", TaskSpec(), 1_000, attempt=attempt)


def result(attempt: int = 1, *, declined: bool = False) -> TaskResult:
    if declined:
        refused = TaskStatus.REFUSED
        return TaskResult(OWNER, TASK, refused, True, Reason.NO_SLOT, attempt=attempt)
    return TaskResult(OWNER, TASK, TaskStatus.OK, attempt=attempt)


def wasted(*messages: tuple[str, str, object]) -> dict[str, int]:
    counted = count_messages((0, *message) for message in messages)
    return {cause: count for cause, count in counted.causes.items() if count}


def test_one_dispatch_and_one_answer_a_hop_are_not_waste() -> None:
    start = TaskStart(OWNER, TASK, "s", TaskSpec(), 1, 0, 0)
    assert not wasted(
        ("entry/e1", "entry/e2", PlaceTasks([placed()])),
        ("entry/e2", "agent/u1", StartTasks([start])),
        ("agent/u1", "entry/e2", TaskResults([result()])),
        ("entry/e2", "entry/e1", TaskResults([result()])),
    )


def test_a_decline_costs_its_answer_and_the_second_dispatch() -> None:
    assert wasted(
        ("entry/e1", "entry/e2", PlaceTasks([placed()])),
        ("entry/e2", "entry/e1", TaskResults([result(declined=True)])),
        ("entry/e1", "entry/e3", PlaceTasks([placed(2)])),
        ("entry/e3", "entry/e1", TaskResults([result(2)])),
    ) == {"declines": 2}


def test_a_repeated_batch_counts_each_of_its_tasks() -> None:
    other = attrs.evolve(placed(), task=TaskId(b"k" * 16, 1))
    batch = PlaceTasks([placed(), other])
    message = ("entry/e1", "entry/e2", batch)
    assert wasted(message, message) == {"repeats": 2}


def test_heartbeats_are_kept_apart_from_waste() -> None:
    heartbeat = AgentHeartbeat(OWNER, 1, 0, 0, 0)
    cancel = CancelTasks([OwnedTask(OWNER, TASK)])
    assert wasted(
        ("agent/u1", "entry/e1", heartbeat), ("entry/e1", "agent/u1", cancel)
    ) == {"cancellations": 1}


def small() -> Workload:
    workload = read_workload(Path("hanbit.ini"))
    upstreams = [UpstreamSpec("fast", "a", "r", 2.0), UpstreamSpec("slow", "a", "r", 1)]
    return attrs.evolve(workload, upstreams=upstreams, slots=1)


def test_the_ideal_uses_a_slow_upstream_only_when_that_is_sooner() -> None:
    assert idle_ideal_ms(small(), [100, 100]) == 100
    assert idle_ideal_ms(small(), [100, 400]) == 200
    assert idle_ideal_ms(small(), [100]) == 50


def test_waiting_under_load_counts_from_the_intended_arrival() -> None:
    plans = [
        JobPlan(0, 0, [200, 100], [200, 100], 0, False, 1_000),
        JobPlan(1, 10, [100], [100], 0, True, 1_000),
    ]
    assert loaded_ideal_ms(small(), plans) == [100, 140]


@pytest.mark.parametrize("name", ["hanbit", "strathbeag"])
def test_arrivals_bring_the_stated_load_and_do_not_change(name: str) -> None:
    workload = read_workload(Path(f"{name}.ini"))
    plans = [
        plan_arrivals(workload, load=0.7, duration_ms=20_000, seed=3) for _ in range(2)
    ]
    assert plans[0] == plans[1]
    work = sum(sum(plan.works) for plan in plans[0])
    assert work / (workload.capacity() * 20_000) == pytest.approx(0.7, rel=0.05)
    assert workload.capacity(without=workload.drain.data_centre) < workload.capacity()


def test_one_bad_round_of_a_safety_count_is_not_met() -> None:
    rounds = {"a": [{"drain": {"lost": n}} for n in (0, 1, 0)]}
    row = next(r for r in summarize(rounds) if r["measure"] == "drain: lost")
    assert row["subjects"]["a"] == {"median": 0, "range": [0, 1], "met": False}


def test_a_bound_from_below_is_not_read_as_one_from_above() -> None:
    assert not Measure("share", (), 0.95, at_least=True).met(0.9)
    assert Measure("ms", (), 3_000).met(2_999)


def test_a_ratio_compares_the_same_percentile() -> None:
    assert ratios([110.0] * 100, [100.0] * 100)["p99"] == pytest.approx(1.1, rel=0.01)


def test_socket_bytes_count_both_directions_and_headers() -> None:
    line = "ESTAB 0 0 127.0.0.1:1 127.0.0.1:2 bytes_sent:100 bytes_acked:100 "
    line += "bytes_received:40 segs_out:3 segs_in:2 data_segs_out:1"
    assert socket_bytes(line) == 140 + 5 * 52


def test_work_that_ran_before_a_span_does_not_count_in_it() -> None:
    workload = attrs.evolve(
        small(),
        drain=DrainPhase("b", 1.0, at_ms=6_000, restore_ms=16_000, duration_ms=22_000),
    )
    works = [44_000.0, 22_000.0]
    plans = [JobPlan(0, 0, works, [0, 0], 0, False, 100_000)]
    # The fast upstream has speed 2 and the slow one, which runs late, 1.
    runs = [TaskRun("fast", 0, 22_000), TaskRun("slow", 9_000, 22_000)]
    shares = work_shares(workload, plans, runs)
    assert shares == {"before": 0.6667, "during": 1.0, "after": 1.0}
    assert last_start_ms(workload, runs, 6_000, 16_000) == 0


def test_a_round_on_the_cores_is_the_same_when_it_is_run_again() -> None:
    workload = attrs.evolve(
        read_workload(Path("strathbeag.ini")),
        warm_up_ms=200.0,
        duration_ms=800.0,
        drain_out_ms=8_000.0,
    )
    rounds = [steady_round(workload, policy="two_choices", seed=5) for _ in range(2)]
    assert rounds[0] == rounds[1]
    assert rounds[0]["ends"].keys() == {"complete", "lost"}
    assert (rounds[0]["ends"]["lost"], rounds[0]["started_twice"]) == (0, 0)
