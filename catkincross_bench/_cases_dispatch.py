"""Capacity cases of dispatch: rows that are kept, placements and task messages."""

from __future__ import annotations

import random

from catkincross import effects as fx
from catkincross.entry_core._entry_core import EntryCore
from catkincross.ids import agent_process, entry_process
from catkincross.messages import (
    PlaceTasks,
    StartTasks,
    TaskResult,
    TaskResults,
    TaskSpec,
    TaskStatus,
)
from catkincross.placement._fit import TaskNeed
from catkincross.placement._placement import PLACEMENT_POLICIES
from catkincross.placement._upstream import Upstream
from catkincross.policies._service_slots import ServiceSlots

from . import _fixtures as fix
from ._case import case
from ._cases_control import all_started, from_wire, sent, to_wire
from ._meter import best_us, kept_bytes

CHOSEN_POLICY = "expected_finish"
PLACEMENT_SIZES = (11, 120, 1_200, 12_000, 35_000)
PLACED_TASKS = {11: 2_000, 120: 2_000, 1_200: 1_000, 12_000: 40, 35_000: 20}
BATCH = 100


def _job(number: int, tasks: int) -> fx.JobSubmitted:
    return fx.JobSubmitted(
        request_id=number + 1,
        key=f"team-0/job-{number:012d}",
        digest=b"d" * 16,
        team="team-0",
        service=fix.SERVICE,
        tasks=[TaskSpec(fix.PAYLOAD, run_ms=200) for _ in range(tasks)],
        deadline_ms=600_000,
    )


def _result(start: object, name: str) -> TaskResult:
    return TaskResult(
        start.owner,
        start.task,
        TaskStatus.OK,
        payload=b"r" * 64,
        run_ms=200,
        upstream=name,
        attempt=start.attempt,
    )


def _answer_starts(core: EntryCore, effects: list) -> None:
    """Play the agents: pass every start over the wire and answer it at once."""
    while True:
        starts = sent(effects, StartTasks)
        if not starts:
            return
        effects = []
        for effect in starts:
            (message,) = from_wire(to_wire(effect.message))
            name = effect.to.partition("/")[2]
            results = [_result(start, name) for start in message.starts]
            (message,) = from_wire(to_wire(TaskResults(results)))
            item = fx.Received(agent_process(name), message)
            effects += core.step(fix.START_MS, [item])


def _run_jobs(core: EntryCore, jobs: list[fx.JobSubmitted]) -> EntryCore:
    for job in jobs:
        _answer_starts(core, core.step(fix.START_MS, [job]))
    if any(row.answer is None for row in core.state.jobs):
        raise RuntimeError("a job of the capacity measurement has not ended")
    return core


def _entry(slots: int = 1_000) -> EntryCore:
    return fix.joined_entry(agents=4, slots=slots)


@case("key_kept_bytes", "bytes", per="finished job of one task, owner and home")
def _key_kept_bytes(count: int) -> float:
    jobs = [_job(number, 1) for number in range(count)]
    return kept_bytes(_entry, lambda core: _run_jobs(core, jobs))


@case(
    "task_kept_bytes",
    "bytes",
    per="finished task of a large job, owner and home",
    sizes=(90, 180, 360),
)
def _task_kept_bytes(tasks: int) -> float:
    jobs = [_job(number, tasks) for number in range(4)]
    return kept_bytes(_entry, lambda core: _run_jobs(core, jobs)) / len(jobs)


@case("home_task_bytes", "bytes", per="finished task kept at a home")
def _home_task_bytes(count: int) -> float:
    owner = fix.joined_entry(entries=2).state.control.entries["entry-001"].incarnation

    def action(core: EntryCore) -> EntryCore:
        for first in range(0, count, BATCH):
            placed = [
                fix.placed_task(n, owner)
                for n in range(first, min(first + BATCH, count))
            ]
            data = to_wire(PlaceTasks(placed))
            items = [fx.Received("entry/entry-001", m) for m in from_wire(data)]
            _answer_starts(core, core.step(fix.START_MS, items))
        return core

    return kept_bytes(
        lambda: fix.joined_entry(entries=2, agents=4, slots=1_000), action
    )


@case("start_kept_bytes", "bytes", per="finished start kept at an agent")
def _start_kept_bytes(count: int) -> float:
    owner = fix.roster(1)[0].incarnation
    process = entry_process(fix.ENTRY_NAME)

    def action(core: object) -> object:
        for number in range(count):
            start = fix.task_start(number, owner, now_ms=fix.START_MS)
            items = from_wire(to_wire(StartTasks([start])))
            effects = core.step(fix.START_MS, [fx.Received(process, m) for m in items])
            for effect in effects:
                if isinstance(effect, fx.CallUpstream):
                    answer = fx.UpstreamAnswered(effect.start, TaskStatus.OK, bytes(64))
                    core.step(fix.START_MS, [answer])
        return all_started(core, count)

    return kept_bytes(lambda: fix.granted_agent(slots=64), action)


# Processor time of a task


@case("task_entry_us", "us", per="task through one entry, jobs of 100, with codec")
def _task_entry_us(count: int) -> float:
    jobs = [_job(number, BATCH) for number in range(count // BATCH)]
    return best_us(_entry, lambda core: _run_jobs(core, jobs))


@case("request_entry_us", "us", per="single request through one entry, with codec")
def _request_entry_us(count: int) -> float:
    jobs = [_job(number, 1) for number in range(count)]
    return best_us(_entry, lambda core: _run_jobs(core, jobs))


@case("task_agent_us", "us", per="task at an agent, one a message, with codec")
def _task_agent_us(count: int) -> float:
    owner = fix.roster(1)[0].incarnation
    process = entry_process(fix.ENTRY_NAME)
    frames = [
        to_wire(StartTasks([fix.task_start(n, owner, now_ms=fix.START_MS)]))
        for n in range(count)
    ]

    def action(core: object) -> None:
        for data in frames:
            items = [fx.Received(process, m) for m in from_wire(data)]
            for effect in core.step(fix.START_MS, items):
                if isinstance(effect, fx.CallUpstream):
                    answer = fx.UpstreamAnswered(effect.start, TaskStatus.OK)
                    for reply in sent(core.step(fix.START_MS, [answer]), TaskResults):
                        to_wire(reply.message)
        all_started(core, count)

    return best_us(lambda: fix.granted_agent(slots=64), action)


# Codec


def _starts(count: int) -> StartTasks:
    owner = fix.roster(1)[0].incarnation
    return StartTasks(
        [fix.task_start(n, owner, now_ms=fix.START_MS) for n in range(count)]
    )


@case("start_encode_us", "us", per="task encoded in StartTasks")
def _start_encode_us(count: int) -> float:
    return best_us(lambda: _starts(count), to_wire)


@case("start_decode_us", "us", per="task decoded from StartTasks")
def _start_decode_us(count: int) -> float:
    return best_us(lambda: to_wire(_starts(count)), from_wire)


@case("start_bytes", "bytes", per="task in StartTasks, 64-byte payload, wire")
def _start_bytes(count: int) -> float:
    return float(len(to_wire(_starts(count))))


# Placement


def _place(core: EntryCore, count: int) -> None:
    owner = core.state.control.entries["entry-001"].incarnation
    placed = [fix.placed_task(n, owner) for n in range(count)]
    item = fx.Received("entry/entry-001", PlaceTasks(placed))
    effects = core.step(fix.START_MS, [item])
    started = sum(len(effect.message.starts) for effect in sent(effects, StartTasks))
    if started != count:
        raise RuntimeError(f"{started} of {count} tasks were placed")


def _placement_case(policy: str) -> None:
    cores: dict[int, EntryCore] = {}

    def core_of(upstreams: int) -> EntryCore:
        core = fix.joined_entry(entries=2, agents=upstreams, slots=1_000)
        core.state.settings.placement.policy = policy
        cores[upstreams] = core
        return core

    @case(
        f"placement_{policy}_us",
        "us",
        per=f"placement by {policy} at a home with n upstreams",
        sizes=PLACEMENT_SIZES if policy == CHOSEN_POLICY else PLACEMENT_SIZES[:3],
        form="each",
    )
    def measure(upstreams: int) -> float:
        count = PLACED_TASKS[upstreams]
        repeats = 3 if upstreams <= 1_200 else 1
        total = best_us(
            lambda: core_of(upstreams),
            lambda core: _place(core, count),
            repeats=repeats,
        )
        return total / count


def _service_slots(upstreams: int) -> ServiceSlots:
    slots = ServiceSlots(CHOSEN_POLICY)
    for number in range(upstreams):
        slots.put(
            Upstream(
                name=fix.agent_name(number),
                service=fix.SERVICE,
                data_centre=fix.data_centre_name(number),
                slots=1_000,
                speed_class=number % 13 - 6,
                memory_free_mb=100_000_000,
                accelerators_free=8,
            )
        )
    return slots


@case(
    "choice_us",
    "us",
    per=f"choice by {CHOSEN_POLICY} with its count, among n upstreams",
    sizes=PLACEMENT_SIZES,
    form="each",
)
def _choice_us(upstreams: int) -> float:
    count = 5_000
    need = TaskNeed(200.0, 512, 0)
    rng = random.Random(1)

    def action(slots: ServiceSlots) -> None:
        for _ in range(count):
            chosen = slots.policy.choose(need, rng)
            slots.allocate(chosen.name, 1, 512, 0)

    return best_us(lambda: _service_slots(upstreams), action) / count


for _policy in sorted(PLACEMENT_POLICIES):
    _placement_case(_policy)
