"""Steps about the operators' HTTP API in front of the cores."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from scenarios.gateway import call_entry


def _call(context: Any, entry: str, *arguments: Any) -> None:
    context.answer = call_entry(context.driver, entry, *arguments)


@given("the log is down for {seconds:d} seconds")
def _log_down(context: Any, seconds: int) -> None:
    context.driver.log_down = True
    context.driver.run(seconds * 1_000)


def _put(context: Any, name: str, entry: str, headers: dict[str, str]) -> None:
    target = f"/v1/datacentres/{name}"
    _call(context, entry, "PUT", target, {"spec": {"drain": True}}, headers)


@when("drain of {name} is put at {entry}")
def _drain(context: Any, name: str, entry: str) -> None:
    entry, _, generation = entry.partition(" for generation ")
    _put(context, name, entry, {"If-Match": generation} if generation else {})


@when("the change is asked for at {entry}")
def _asked(context: Any, entry: str) -> None:
    change = context.answer.json["id"]
    _call(context, entry, "GET", f"/v1/changes/{change}")


@when("datacentres {name} is read at {entry}")
def _read(context: Any, name: str, entry: str) -> None:
    _call(context, entry, "GET", f"/v1/datacentres/{name}")


@then("the spec says drain")
def _spec(context: Any) -> None:
    assert context.answer.json["spec"] == {"drain": True}, context.answer.body


@then("the generation is {generation:d}")
def _generation(context: Any, generation: int) -> None:
    assert context.answer.json["metadata"]["generation"] == generation
