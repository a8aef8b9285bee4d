"""Drivers and jobs for tests of dispatch under load."""

from __future__ import annotations

from typing import Any

from catkincross.effects import JobSubmitted
from catkincross.messages import JobAnswer, TaskSpec
from catkincross.protocol._records import encode_record
from catkincross.records import Record, ResourcePut
from catkincross.settings import PlacementSettings

from .driver import Driver

DATA_CENTRES = ("perth", "stirling", "dundee")


def cluster(
    agents: int = 4,
    *,
    entries: int = 3,
    seed: int = 1,
    policy: str = "expected_finish",
    **agent: Any,
) -> Driver:
    """Return a driver with entries and agents in three data centres, all ready."""
    placement = PlacementSettings(policy=policy)
    driver = Driver(seed=seed)
    for number in range(entries):
        data_centre = DATA_CENTRES[number % 3]
        driver.add_entry(f"e{number + 1}", data_centre, placement=placement)
    driver.run(1_000)
    for number in range(agents):
        driver.add_agent(f"u{number + 1}", DATA_CENTRES[number % 3], **agent)
    driver.run(2_000)
    return driver


def submit(
    driver: Driver,
    key: str,
    tasks: int | list[TaskSpec] = 1,
    *,
    entry: str = "e1",
    team: str = "team",
    service: str = "s",
    deadline_ms: int = 60_000,
    **flags: bool,
) -> int:
    """Submit a job of equal or given tasks; return the request's number."""
    specs = [TaskSpec(b"x")] * tasks if isinstance(tasks, int) else tasks
    job = JobSubmitted(
        request_id=0,
        key=f"{team}/{key}" if key else "",
        digest=key.encode(),
        team=team,
        service=service,
        tasks=specs,
        deadline_ms=deadline_ms,
        **flags,
    )
    return driver.submit(entry, job)


def declare(
    driver: Driver, kind: str, name: str, spec: dict[str, Any], *, generation: int = 0
) -> None:
    """Append a version of a resource to the log and let all entries read it."""
    author = driver.nodes["entry/e1"].core.state.incarnation
    body = ResourcePut(kind, name, generation, spec)
    record = Record(f"{kind} {name} {generation}", author, body)
    driver.log.append(encode_record(record))
    driver.run(500)


def answer(driver: Driver, request: int, *, limit_ms: int = 60_000) -> JobAnswer:
    """Run until a request is answered and return its answer."""
    assert driver.run_until(lambda: request in driver.answers, limit_ms=limit_ms)
    return driver.answers[request]
