"""Steps about jobs and their answers."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when

from catkincross.effects import JobSubmitted
from catkincross.messages import TaskSpec


@given("entries in {data_centres}")
def _entries(context: Any, data_centres: str) -> None:
    for number, data_centre in enumerate(data_centres.split(", "), 1):
        context.driver.add_entry(f"e{number}", data_centre)
    context.driver.run(1_000)


@given("{count:d} upstreams in {data_centres}")
def _upstreams(context: Any, count: int, data_centres: str) -> None:
    names = data_centres.split(", ")
    for number in range(count):
        context.driver.add_agent(f"u{number + 1}", names[number % len(names)])
    context.driver.run(2_000)


@when('a job "{key}" of {count:d} tasks is submitted at {entry}')
def _submit(context: Any, key: str, count: int, entry: str) -> None:
    job = JobSubmitted(
        request_id=0,
        key=f"team/{key}",
        digest=key.encode(),
        team="team",
        service="s",
        tasks=[TaskSpec(b"%d" % index) for index in range(count)],
        deadline_ms=60_000,
    )
    request = context.driver.submit(entry, job)
    context.requests.setdefault(key, []).append(request)


@then('the job "{key}" ends {state}')
def _ends(context: Any, key: str, state: str) -> None:
    driver, requests = context.driver, context.requests[key]
    assert driver.run_until(lambda: all(r in driver.answers for r in requests))
    answers = [driver.answers[request] for request in requests]
    assert [answer.state for answer in answers] == [state] * len(answers), answers


@then("every task started once")
def _started_once(context: Any) -> None:
    counts = Counter(item.start.task for item in context.driver.starts)
    assert counts and set(counts.values()) == {1}, counts
