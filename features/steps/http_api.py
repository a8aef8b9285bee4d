"""Steps about the HTTP API in front of the cores."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from catkincross.messages import TaskStatus
from scenarios.gateway import call_entry


def _call(context: Any, entry: str, *arguments: Any) -> None:
    context.answer = call_entry(context.driver, entry, *arguments)


@given("each task runs for {run_ms:d} ms")
def _run_ms(context: Any, run_ms: int) -> None:
    context.driver.run_ms = lambda agent, start: run_ms


@given("each task fails")
def _fails(context: Any) -> None:
    context.driver.outcome = lambda agent, start: TaskStatus.FAILED


@given("{entry} has lost the log and its peers for {duration_ms:d} ms")
def _lost(context: Any, entry: str, duration_ms: int) -> None:
    process = f"entry/{entry}"
    context.driver.log_cut.add(process)
    for other in list(context.driver.nodes):
        if other != process and other.startswith("entry/"):
            context.driver.cut(process, other)
    context.driver.run(duration_ms)


@when('the job "{key}" with tasks {payloads} is posted to {entry}')
def _posted(context: Any, key: str, payloads: str, entry: str) -> None:
    entry, _, wait = entry.partition(" with wait ")
    body = {
        "service": "s",
        "team": "t",
        "tasks": [{"payload": payload} for payload in payloads.split(", ")],
    }
    target = f"/v1/jobs?wait={wait}" if wait else "/v1/jobs"
    _call(context, entry, "POST", target, body, {"Idempotency-Key": key})


@when("a request is posted to {entry}")
def _request(context: Any, entry: str) -> None:
    body = {"service": "s", "team": "t", "payload": "a"}
    _call(context, entry, "POST", "/v1/requests", body)


@when('the job "{key}" is looked up at {entry} with wait {wait_ms:d}')
def _looked_up(context: Any, key: str, entry: str, wait_ms: int) -> None:
    _call(context, entry, "GET", f"/v1/jobs/t/{key}?wait={wait_ms}")


@when('the job "{key}" is cancelled at {entry}')
def _cancelled(context: Any, key: str, entry: str) -> None:
    _call(context, entry, "DELETE", f"/v1/jobs/t/{key}")


@then("the answer is {status:d} with {field} {value}")
def _answered(context: Any, status: int, field: str, value: str) -> None:
    answer = context.answer
    assert (answer.status, answer.json[field]) == (status, value), answer.body


@then("the truth is {truth}")
def _truth(context: Any, truth: str) -> None:
    assert context.answer.json["truth"] == truth, context.answer.body


@then("the results are {payloads}")
def _results(context: Any, payloads: str) -> None:
    results = context.answer.json["results"]
    assert [result["payload"] for result in results] == payloads.split(", ")


@then("{count:d} tasks started")
def _tasks_started(context: Any, count: int) -> None:
    assert len(context.driver.starts) == count, context.driver.starts
