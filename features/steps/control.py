"""Steps about operators' changes, membership and faults."""

from __future__ import annotations

from typing import Any

from behave import given, step, then, when

from catkincross.entry_core._appends import change_status
from catkincross.http_api._resource_status import resource_document
from catkincross.ids import entry_process
from catkincross.protocol._records import ResourcePut
from catkincross.settings import ControlSettings


def entry_state(context: Any, name: str) -> Any:
    """Return the state of an entry's core."""
    return context.driver.nodes[entry_process(name)].core.state


@step("{seconds:d} seconds pass")
def _pass(context: Any, seconds: int) -> None:
    context.driver.run(seconds * 1_000)


@given("the log answers after {delay:d} ms")
def _slow_log(context: Any, delay: int) -> None:
    context.driver.log_delay_ms = delay


@given("the next append loses its answer")
def _lost_answer(context: Any) -> None:
    context.driver.lose_append_answers = 1


@step("appends of {entry} reach the log after {delay:d} ms")
def _late_append(context: Any, entry: str, delay: int) -> None:
    process = entry_process(entry)
    context.driver.append_delay = lambda writer: delay if writer == process else 0


@step("appends arrive at once")
def _prompt_append(context: Any) -> None:
    context.driver.append_delay = lambda writer: 0


def _put(context: Any, change: str, entry: str, kind: str, name: str, **spec: Any):
    context.changes = getattr(context, "changes", {})
    current = entry_state(context, entry).control.resources.get((kind, name))
    generation = 0 if current is None else current.generation
    body = ResourcePut(kind, name, generation, spec)
    context.changes[change] = context.driver.propose(entry, body, record_id=change)
    context.change_bodies = getattr(context, "change_bodies", {})
    context.change_bodies[change] = body


@when('change "{change}" drains {data_centre} at {entry}')
def _drain(context: Any, change: str, data_centre: str, entry: str) -> None:
    _put(context, change, entry, "datacentres", data_centre, drain=True)


@when('change "{change}" sets team {team} to weight {weight:d} at {entry}')
def _team(context: Any, change: str, team: str, weight: int, entry: str) -> None:
    _put(context, change, entry, "teams", team, weight=weight)


@when('change "{change}" is sent again at {entry} as "{again}"')
def _repeat(context: Any, change: str, entry: str, again: str) -> None:
    body = context.change_bodies[change]
    context.changes[again] = context.driver.propose(entry, body, record_id=again)
    context.change_bodies[again] = body


@then('change "{change}" is answered {outcome}')
def _answered(context: Any, change: str, outcome: str) -> None:
    driver, request = context.driver, context.changes[change]
    assert driver.run_until(lambda: request in driver.change_replies, limit_ms=10_000)
    reply = driver.change_replies[request]
    expected = {f"{reply.outcome}", f"{reply.outcome} {reply.reason}"}
    assert outcome in expected, reply


@then('change "{change}" is known as {outcome} at {entry}')
def _known(context: Any, change: str, outcome: str, entry: str) -> None:
    status = change_status(entry_state(context, entry), change)
    assert outcome in (status.outcome, f"{status.outcome} {status.reason}"), status


@then("{kind} {name} has generation {generation:d} at every entry")
def _generation(context: Any, kind: str, name: str, generation: int) -> None:
    context.driver.run(500)
    for node in context.driver.nodes.values():
        if node.process.startswith("entry/") and node.alive:
            resource = node.core.state.control.resources.get((kind, name))
            assert resource is not None, node.process
            assert resource.generation == generation, (node.process, resource)


@then("{kind} {name} is shown as drained at {entry}")
def _shown_drained(context: Any, kind: str, name: str, entry: str) -> None:
    document = resource_document(entry_state(context, entry), kind, name)
    status = document["status"]
    assert status["drained"] and status["agents"], status
    assert status["observed"] == status["processes"], status
    assert status["observed_generation"] == document["metadata"]["generation"], status


@given("entries in {data_centres} with a snapshot every {count:d} records")
def _entries(context: Any, data_centres: str, count: int) -> None:
    for number, data_centre in enumerate(data_centres.split(", "), 1):
        control = ControlSettings(snapshot_records=count)
        context.driver.add_entry(f"e{number}", data_centre, control=control)
    context.driver.run(1_000)


@step("{count:d} changes of team {team} are made at {entry}")
def _many(context: Any, count: int, team: str, entry: str) -> None:
    for number in range(count):
        change = f"many-{number}"
        _put(context, change, entry, "teams", team, weight=number)
        _answered(context, change, "accepted")


@step("all records but the last {count:d} expire")
def _expire(context: Any, count: int) -> None:
    log = context.driver.log
    log.expire(log.tail - count + 1)


@step("entry {name} starts in {data_centre} and knows {other}")
def _start_knowing(context: Any, name: str, data_centre: str, other: str) -> None:
    node = context.driver.add_entry(name, data_centre)
    process = entry_process(other)
    node.peers = {process: context.driver.nodes[process].address}
    context.driver._connect_all(node)


@then("the state of {one} equals that of {other}")
def _equal(context: Any, one: str, other: str) -> None:
    documents = []
    for name in (one, other):
        control = entry_state(context, name).control
        kept = {
            "entries": sorted(control.entries),
            "outcomes": control.outcomes,
            "resources": control.resources,
            "sequences": control.sequences,
            "members": {str(agent): row.home for agent, row in control.members.items()},
        }
        documents.append(kept)
    assert documents[0] == documents[1], documents


@step("{count:d} changes of one team each are made at {entry} at once")
def _burst(context: Any, count: int, entry: str) -> None:
    for number in range(count):
        _put(context, f"burst-{number}", entry, "teams", f"t{number}", weight=1)


def _appended(context: Any, seconds: int) -> int:
    driver = context.driver
    since_ms = driver.now_ms - seconds * 1_000
    return sum(time_ms >= since_ms for time_ms in driver.append_times.values())


@then("at most {count:d} records were appended in the last {seconds:d} seconds")
def _at_most(context: Any, count: int, seconds: int) -> None:
    found = _appended(context, seconds)
    assert found <= count, found


@then("at least {count:d} records were appended in the last {seconds:d} seconds")
def _at_least(context: Any, count: int, seconds: int) -> None:
    found = _appended(context, seconds)
    assert found >= count, found
