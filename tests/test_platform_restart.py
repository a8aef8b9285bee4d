"""Tests of admission after a restart of all processes, and of capacity estimates."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

import orjson
import pytest

from catkincross.clock import SystemClock
from catkincross.daemons._entry import EntryDaemon
from catkincross.daemons._log import DecisionLog
from catkincross.dispatch import (
    Estimates,
    WaitingQueue,
    capacity_share,
    expected_capacity,
)
from catkincross.http11 import HttpClient
from catkincross.jobs import Job, JobAccepted
from catkincross.peers import Backlog
from catkincross.platform import _front
from catkincross.transport._http_server import HttpServer
from scenarios.platform_model import Model, job, ready_model
from standins.platform_http import StoreHttp
from tests.test_platform_daemons import CONFIG, free_port, settings_for

AGENTS = 10
JOBS = 16
TIMEOUT_MS = 2_500


def restarted_model() -> Model:
    """Return a model just after a restart of all processes, workers included.

    Only the worker of the first agent has registered.
    """
    model = ready_model(entries=1, agents=AGENTS)
    for name in [*model.owners, *model.workers]:
        model.kill(name)
    for machine in model.machines.values():
        machine.crash(model.now_ms)
    model.start_entry("e0")
    model.assign()
    for number in range(AGENTS):
        model.start_agent(f"u{number}", registers=number == 0)
    return model


def test_jobs_are_not_rejected_while_most_workers_are_unregistered() -> None:
    """Capacity must not be judged by the first worker that registers.

    29 of 44 jobs were answered with 429 when the first of eleven had registered.
    """
    model = restarted_model()
    for number in range(JOBS):
        spec = job(f"{number:016x}", volatile=True, estimate_ms=400)
        model.submit(f"{number}", spec, "e0", timeout_ms=TIMEOUT_MS)
    model.run(1_100)
    for number in range(1, AGENTS):
        model.register(f"u{number}")
    model.run(3_000)
    outcomes = [model.answers[f"{number}"].outcome for number in range(JOBS)]
    assert outcomes.count("rejected") == 0
    assert model.overlapping() == []


def test_a_backlog_is_rejected_once_all_agents_are_known() -> None:
    """Counting agents without a worker yet as capacity must not disable rejections."""
    model = ready_model(entries=1, agents=1)
    for number in range(JOBS * 2):
        spec = job(f"{number:016x}", volatile=True, estimate_ms=2_000)
        model.submit(f"{number}", spec, "e0", timeout_ms=TIMEOUT_MS)
    model.run(1_000)
    outcomes = [answer.outcome for answer in model.answers.values()]
    assert outcomes.count("rejected") >= JOBS


def test_agents_without_a_worker_count_like_the_average_ready_one() -> None:
    """Expected capacity must include agents whose worker has not registered yet."""
    assert expected_capacity(8_000, ready_agents=1, pending_agents=9) == 80_000
    assert expected_capacity(8_000, ready_agents=1, pending_agents=0) == 8_000
    assert expected_capacity(0, ready_agents=0, pending_agents=5) == 0


def test_capacity_is_shared_in_proportion_to_the_work_of_the_entries() -> None:
    """Idle entries must not count as if they needed their share of the workers.

    85 jobs of one entry were answered with 429 while two other entries were idle.
    """
    assert capacity_share(100.0, [0.0, 0.0], 3) == 1.0
    assert capacity_share(100.0, [100.0, 100.0], 3) == 1 / 3
    assert capacity_share(300.0, [100.0, 0.0], 3) == 0.75
    assert capacity_share(100.0, [], 4) == 0.25
    assert capacity_share(0.0, [500.0], 2) == 0.5


def test_jobs_at_one_entry_are_not_rejected_while_the_others_are_idle() -> None:
    """After a restart all requests go to the entry that is ready first.

    Once it knows the backlogs of the others, it may use their share of the workers.
    """
    rejected = {}
    for backlogs_known in (False, True):
        model = ready_model(entries=3, agents=6)
        core = model.owners["e0"].core
        core.update_peer_backlogs([Backlog({}, {})] * 2 if backlogs_known else [])
        for number in range(20):
            spec = job(f"{number:016x}", volatile=True, estimate_ms=100)
            model.submit(f"{number}", spec, "e0", timeout_ms=700)
        model.run(3_000)
        outcomes = [answer.outcome for answer in model.answers.values()]
        rejected[backlogs_known] = outcomes.count("rejected")
    assert rejected[False] > rejected[True]
    assert rejected[True] == 0


def test_rounding_errors_in_the_work_do_not_divide_by_zero() -> None:
    """Residues of summed work must not break the computation of a share.

    Work of 1e-11 here and -1e-11 elsewhere added up to zero, and 49 requests were
    answered with 500.
    """
    assert capacity_share(1e-11, [-1e-11], 2) == 1.0
    assert capacity_share(-1e-11, [0.0, 0.0], 3) == 1 / 3


def test_the_work_of_an_empty_queue_is_exactly_zero() -> None:
    """A residue of summed fractions would look like a backlog of an idle entry."""
    queue, estimates = WaitingQueue(), Estimates(queue_factors={"q": 1.1 / 3})
    tasks = []
    for number in range(50):
        spec = job(f"{number:016x}", count=3, estimate_ms=100 + number)
        tasks += Job.from_record(JobAccepted(spec, 0, 1), 0).tasks[0]
    for task in tasks:
        queue.add(task, estimates, 0)
    for task in reversed(tasks):
        queue.remove(task)
    assert queue.work_by_service == {"checks": 0}


async def ask_at_start(store_address: str, declare: Callable[[], None]) -> int:
    """Return the status of a request to an unknown queue, sent right after a start.

    Args:
        store_address: Address of the store.
        declare: Called 100 ms after the request was sent.
    """
    front = f"127.0.0.1:{free_port()}"
    ready = f"127.0.0.1:{free_port()}"
    settings = settings_for("e1", store=store_address, front=front, ready=ready)
    clock = SystemClock()
    log = DecisionLog("e1", clock, os.open(os.devnull, os.O_WRONLY))
    entry = EntryDaemon(settings, clock, log)
    await entry.start()
    client = HttpClient(front, keepalive_s=1.0)
    request = asyncio.create_task(client.request("GET", "/unknown/1", silence_s=5.0))
    await asyncio.sleep(0.1)
    declare()
    status, _ = await request
    await client.close()
    await entry.client_server.stop(0.1)
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await entry.store.close()
    return status


def test_requests_wait_for_the_declarations_after_a_start() -> None:
    """After a loss of all power, requests arrive before the declarations are read."""

    async def run() -> int:
        store = StoreHttp()
        server = HttpServer(store.app(), "127.0.0.1:0")
        server.start()
        config = ("config", orjson.dumps(CONFIG))
        status = await ask_at_start(
            server.address, lambda: store.declared.append(config)
        )
        await server.stop(0.1)
        return status

    assert asyncio.run(run()) == 404


def test_requests_are_rejected_at_once_if_the_store_is_away_at_a_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that cannot be served must not be held to its deadline."""
    monkeypatch.setattr(_front, "MAX_DECLARATIONS_WAIT_MS", 600_000)
    monkeypatch.setattr(_front, "DEFAULT_DEADLINE_MS", 600_000)

    async def run() -> int:
        return await ask_at_start(f"127.0.0.1:{free_port()}", lambda: None)

    assert asyncio.run(run()) == 503


def test_the_wait_for_the_declarations_counts_as_part_of_the_time_in_line() -> None:
    """Requests of a restart that are late already must not displace fresh ones.

    They wait for the declarations before the core sees them, and counted as fresh.
    """
    model = ready_model(entries=1, agents=1)
    for machine in model.machines.values():
        machine.run_ms = 400
    core = model.owners["e0"].core
    late_ids = [f"{number:016x}" for number in range(20)]
    for job_id in late_ids:
        core.submit(
            model.now_ms,
            job_id,
            job(job_id, volatile=True),
            arrived_ms=model.now_ms - 600,
            timeout_ms=TIMEOUT_MS,
        )
    fresh_id = f"{99:016x}"
    model.run(10)
    model.submit(fresh_id, job(fresh_id, volatile=True), "e0", timeout_ms=TIMEOUT_MS)
    model.run(TIMEOUT_MS)
    started = [row[2].partition(".")[0] for row in model.runs() if row[1] == "start"]
    # The worker runs four tasks at a time, and had none free when the job arrived.
    assert started.index(fresh_id) == 4


def test_a_request_whose_time_has_passed_at_the_entry_is_answered_at_once() -> None:
    """The time limit of a client account must not start again after a wait."""
    model = ready_model(entries=1, agents=1)
    core = model.owners["e0"].core
    spec = job("a" * 16, volatile=True)
    core.submit(
        model.now_ms, "r", spec, arrived_ms=model.now_ms - 2_000, timeout_ms=1_500
    )
    model.run(200)
    assert model.answers["r"].outcome in ("rejected", "unknown")
