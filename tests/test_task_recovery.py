"""No task is lost or run twice when an agent, a home or a stream is lost."""

from __future__ import annotations

from typing import Any

from catkincross.effects import LeaveRequested
from catkincross.ids import entry_process
from catkincross.messages import (
    JobState,
    PlaceTasks,
    StartTasks,
    TaskResults,
    Truth,
)
from scenarios.driver import MESSAGE_DELAY_MS, Driver
from scenarios.invariants import violations
from scenarios.matrix import build, submit

LIMIT_MS = 30_000


def remote_home(driver: Driver) -> str:
    """Return the process of the first home that was sent tasks by another entry."""
    homes = [to for _, _, to, message in driver.sent if isinstance(message, PlaceTasks)]
    return homes[0]


def break_stream_on_first(driver: Driver, kind: type) -> None:
    """Break the stream on which the first message of a class is sent."""

    def observe(process: str, other: str, item: Any) -> None:
        if isinstance(item, kind):
            driver.observers.remove(observe)
            driver.at(driver.now_ms, lambda: driver.break_stream(process, other))

    driver.observers.append(observe)


def final_state(driver: Driver, request: int) -> JobState:
    """Run until a request is answered, check the invariants, return the job's state."""
    assert driver.run_until(lambda: request in driver.answers, limit_ms=LIMIT_MS)
    assert violations(driver) == []
    return driver.answers[request].state


def test_starts_lost_with_a_stream_are_sent_again() -> None:
    driver = build()
    break_stream_on_first(driver, StartTasks)
    assert final_state(driver, submit(driver, "e1", "k")) is JobState.COMPLETE


def test_results_lost_with_a_stream_are_sent_again() -> None:
    driver = build()
    break_stream_on_first(driver, TaskResults)
    assert final_state(driver, submit(driver, "e1", "k")) is JobState.COMPLETE


def test_placements_lost_with_a_stream_are_sent_again() -> None:
    driver = build()
    break_stream_on_first(driver, PlaceTasks)
    assert final_state(driver, submit(driver, "e1", "k")) is JobState.COMPLETE


def test_tasks_of_a_replaced_agent_may_have_run() -> None:
    # The new incarnation does not know the starts of the earlier one.
    driver = build()
    request = submit(driver, "e1", "k", 16)
    driver.run_until(lambda: len(driver.starts) == 16)
    driver.kill("agent/u1")
    driver.run(500)
    driver.add_agent("u1", "perth", slots=4)
    assert final_state(driver, request) is JobState.FAILED
    assert driver.answers[request].truth is not Truth.NOT_RUN


def test_late_refusal_of_an_earlier_attempt_does_not_place_the_task_again() -> None:
    # All results arrive twice, so a second refusal may meet a later attempt.
    driver = build()
    default_route = driver.route

    def duplicate_results(sender: str, to: str, message: Any) -> list[int]:
        delays = default_route(sender, to, message)
        if isinstance(message, TaskResults):
            return [*delays, MESSAGE_DELAY_MS + 30]
        return delays

    driver.route = duplicate_results
    for node in driver.nodes.values():
        if node.process.startswith("agent/"):
            # Fewer slots than announced, so the agents refuse some starts.
            node.core.state.slots = 2
    assert final_state(driver, submit(driver, "e1", "k")) is JobState.COMPLETE


def test_task_of_an_ended_home_is_placed_again_only_when_it_did_not_start() -> None:
    driver = build()
    request = submit(driver, "e3", "k", 40)
    driver.run(2)
    home = remote_home(driver)
    owner = next(
        sender
        for _, sender, _, message in driver.sent
        if isinstance(message, PlaceTasks)
    )
    driver.kill(home)
    driver.run(1_000)
    name = home.removeprefix("entry/")
    data_centre = driver.nodes[home].core.state.settings.data_centre
    driver.add_entry(name, data_centre)
    assert home not in (owner, entry_process("e3"))
    state = final_state(driver, request)
    assert state in (JobState.COMPLETE, JobState.FAILED)
    if state is JobState.FAILED:
        assert driver.answers[request].truth is not Truth.NOT_RUN


def test_task_of_a_dead_agent_may_have_run_at_the_deadline() -> None:
    # Guards against an answer that denies the run of a task without a result.
    driver = build()
    driver.run_ms = lambda agent, start: 100 if agent != "agent/u1" else 60_000
    request = submit(driver, "e1", "k", 16, deadline_ms=4_000)
    driver.run_until(lambda: len(driver.starts) == 16)
    assert "agent/u1" in {item.agent for item in driver.starts}
    driver.kill("agent/u1")
    assert final_state(driver, request) is JobState.FAILED
    assert driver.answers[request].truth is Truth.MAY_HAVE_RUN


def test_leaving_agent_runs_a_start_that_is_in_flight() -> None:
    # The start is sent before the home hears of the leave, and arrives after it.
    driver = build()
    default_route = driver.route

    def delay_messages_to_agents(sender: str, to: str, message: Any) -> list[int]:
        delays = default_route(sender, to, message)
        return [600] if to.startswith("agent/") else delays

    driver.route = delay_messages_to_agents
    driver.run(1_000)
    request = submit(driver, "e1", "k", 8)
    driver.run_until(
        lambda: any(isinstance(message, StartTasks) for *_, message in driver.sent)
    )
    for name in ("u1", "u2", "u3", "u4"):
        driver.deliver(driver.nodes[f"agent/{name}"], LeaveRequested())
    driver.run(550)
    driver.route = default_route
    for name in ("u1", "u2", "u3", "u4"):
        driver.add_agent(f"{name}b", "perth")
    assert final_state(driver, request) is JobState.COMPLETE
