"""Steps about where work goes."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, then, when

from catkincross.messages import TaskSpec
from scenarios.loads import answer, declare, submit


def _submit(context: Any, key: str, *args: Any, **kwargs: Any) -> None:
    request = submit(context.driver, key, *args, **kwargs)
    context.requests.setdefault(key, []).append(request)


@when(
    'a job "{key}" of {count:d} tasks for service "{service}" is submitted at {entry}'
)
def _submit_service(
    context: Any, key: str, count: int, service: str, entry: str
) -> None:
    _submit(context, key, count, service=service, entry=entry)


@when('a job "{key}" of {count:d} tasks with {memory_mb:d} MB is submitted at {entry}')
def _submit_large(
    context: Any, key: str, count: int, memory_mb: int, entry: str
) -> None:
    _submit(context, key, [TaskSpec(memory_mb=memory_mb)] * count, entry=entry)


@then('the job "{key}" ends {state} within {limit_ms:d} ms')
def _ends_within(context: Any, key: str, state: str, limit_ms: int) -> None:
    for request in context.requests[key]:
        ended = answer(context.driver, request, limit_ms=limit_ms)
        assert ended.state == state, ended


@then('the job "{key}" has truth "{truth}" and reason "{reason}"')
def _has_truth(context: Any, key: str, truth: str, reason: str) -> None:
    for request in context.requests[key]:
        ended = context.driver.answers[request]
        assert (ended.truth, ended.reason) == (truth, reason), ended


@given("the upstream {name} is {factor:d} times slower")
def _slower(context: Any, name: str, factor: int) -> None:
    context.driver.run_ms = lambda agent, start: (
        50 * factor if agent == f"agent/{name}" else 50
    )


@when("{jobs:d} jobs of {count:d} tasks are submitted one after the other")
def _submit_many(context: Any, jobs: int, count: int) -> None:
    for number in range(jobs):
        _submit(context, f"m{number}", count, entry=f"e{number % 3 + 1}")
        context.driver.run(30)


@then("all of these jobs end complete")
def _all_complete(context: Any) -> None:
    for requests in context.requests.values():
        for request in requests:
            assert answer(context.driver, request).state == "complete"


@then("the upstream {name} ran fewer tasks than {other}")
def _ran_fewer(context: Any, name: str, other: str) -> None:
    counts = Counter(start.agent for start in context.driver.starts)
    assert counts[f"agent/{name}"] < counts[f"agent/{other}"] / 2, counts


@when("the data centre {name} is drained for {duration_ms:d} ms")
def _drained_for(context: Any, name: str, duration_ms: int) -> None:
    driver = context.driver
    driver.run_ms = lambda agent, start: 400
    context.drained_ms = driver.now_ms
    declare(driver, "datacentres", name, {"drain": True})
    driver.run(duration_ms - 500)
    context.restored_ms = driver.now_ms
    declare(driver, "datacentres", name, {"drain": False}, generation=1)


@then("nothing started in {name} from {after_ms:d} ms after the drain until its end")
def _nothing_started(context: Any, name: str, after_ms: int) -> None:
    driver = context.driver
    for start in driver.starts:
        settings = driver.nodes[start.agent].core.state.settings
        in_force = context.drained_ms + after_ms < start.at_ms < context.restored_ms
        assert not (settings.data_centre == name and in_force), start


@when("the agent {name} is frozen for {duration_ms:d} ms")
def _frozen_for(context: Any, name: str, duration_ms: int) -> None:
    driver = context.driver
    driver.pause(f"agent/{name}")
    driver.at(driver.now_ms + duration_ms, lambda: driver.resume(f"agent/{name}"))
