"""Steps about faults of processes, the network and the log, and about load."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import given, step, then

from catkincross.effects import JobSubmitted, LeaveRequested
from catkincross.foundation._rendezvous import choose_by_hash
from catkincross.ids import entry_process, hash_key
from catkincross.messages import StartTasks, TaskSpec, TaskStatus

BOUND_MS = 3_000


def process_name(name: str) -> str:
    """Return the process of a name: e1 is an entry, u1 an agent."""
    return entry_process(name) if name.startswith("e") else f"agent/{name}"


def submit(context: Any, key: str, entry: str, tasks: int, deadline_ms: int) -> int:
    """Submit a job and return the request's number."""
    job = JobSubmitted(
        request_id=0,
        key=f"team/{key}",
        digest=key.encode(),
        team="team",
        service="s",
        tasks=[TaskSpec(b"%d" % index) for index in range(tasks)],
        deadline_ms=deadline_ms,
    )
    request = context.driver.submit(entry, job)
    context.requests.setdefault(key, []).append(request)
    return request


@given("tasks run for {run_ms:d} ms")
def _run_ms(context: Any, run_ms: int) -> None:
    context.driver.run_ms = lambda agent, start: run_ms


@step("{name} is killed")
def _kill(context: Any, name: str) -> None:
    context.driver.kill(process_name(name))


@step("{name} is lost with its host")
def _lose(context: Any, name: str) -> None:
    context.driver.kill(process_name(name), with_host=True)


@step("{name} is paused")
def _pause(context: Any, name: str) -> None:
    context.driver.pause(process_name(name))


@step("{names} are paused as soon as tasks reach them")
def _pause_with_tasks(context: Any, names: str) -> None:
    driver = context.driver
    waiting = {process_name(name) for name in names.split(", ")}

    def observe(process: str, other: str, item: Any) -> None:
        # The process stops before it handles the message.
        if isinstance(item, StartTasks) and other in waiting:
            waiting.discard(other)
            driver.pause(other)

    driver.observers.append(observe)
    driver.run(20)
    assert len(waiting) < len(names.split(", ")), "no task was sent"


@step("{names} resume")
def _resume_all(context: Any, names: str) -> None:
    for name in names.split(", "):
        context.driver.resume(process_name(name))


@step("{name} resumes")
def _resume(context: Any, name: str) -> None:
    context.driver.resume(process_name(name))


@step("{name} is asked to leave")
def _leave(context: Any, name: str) -> None:
    context.driver.deliver(context.driver.nodes[process_name(name)], LeaveRequested())


@step("entry {name} starts in {data_centre}")
def _start_entry(context: Any, name: str, data_centre: str) -> None:
    context.driver.add_entry(name, data_centre)


@step("agent {name} starts in {data_centre}")
def _start_agent(context: Any, name: str, data_centre: str) -> None:
    context.driver.add_agent(name, data_centre)


@step("{name} is cut from {others}")
def _cut(context: Any, name: str, others: str) -> None:
    driver = context.driver
    for other in others.split(", "):
        if other == "the log":
            driver.log_cut.add(process_name(name))
        else:
            driver.cut(process_name(name), process_name(other))


@step("the network is whole again")
def _heal(context: Any) -> None:
    context.driver.heal()


@step("the log is down")
def _log_down(context: Any) -> None:
    context.driver.log_down = True


@step("the log is up")
def _log_up(context: Any) -> None:
    context.driver.log_down = False


@step("jobs of {tasks:d} tasks arrive at {entries} for {seconds:d} seconds")
def _load(context: Any, tasks: int, entries: str, seconds: int) -> None:
    driver = context.driver
    names = entries.split(", ")
    start_ms = driver.now_ms
    for number in range(seconds * 20):
        name = names[number % len(names)]
        key = f"load-{start_ms}-{number}"
        at_ms = start_ms + number * 50
        driver.at(
            at_ms,
            lambda key=key, name=name: (
                submit(context, key, name, tasks, 2_000)
                if driver.nodes[process_name(name)].alive
                else None
            ),
        )
    context.load_ms = start_ms


@step('job "{key}" of {count:d} tasks is submitted at {entry} for {seconds:d} seconds')
def _submit(context: Any, key: str, count: int, entry: str, seconds: int) -> None:
    submit(context, key, entry, count, seconds * 1_000)


@step(
    'job "{key}" owned by {owner} of {count:d} tasks is submitted at {entry} '
    "for {seconds:d} seconds"
)
def _submit_owned(
    context: Any, key: str, owner: str, count: int, entry: str, seconds: int
) -> None:
    # The owner under the first roster, whoever owns the key by now.
    names = ["e1", "e2", "e3"]
    number = next(
        number
        for number in range(100)
        if choose_by_hash(hash_key(f"team/{key}-{number}"), names) == owner
    )
    request = submit(context, f"{key}-{number}", entry, count, seconds * 1_000)
    context.requests.setdefault(key, []).append(request)


@then('the last request for "{key}" is answered {answer}')
def _last_answer(context: Any, key: str, answer: str) -> None:
    driver, request = context.driver, context.requests[key][-1]
    found = driver.run_until(lambda: request in driver.answers, limit_ms=120_000)
    assert found, "no answer"
    reply = driver.answers[request]
    shown = f"{reply.state} {reply.truth} {reply.reason}".split()
    assert shown == answer.split(), reply


@then("no task started twice")
def _at_most_once(context: Any) -> None:
    counts = Counter(item.start.task for item in context.driver.starts)
    twice = {str(task): count for task, count in counts.items() if count > 1}
    assert counts and not twice, twice


@then("tasks started in the last {seconds:d} seconds")
def _started(context: Any, seconds: int) -> None:
    driver = context.driver
    since_ms = driver.now_ms - seconds * 1_000
    late = [item for item in driver.starts if item.at_ms >= since_ms]
    assert late, f"{len(driver.starts)} starts, none of them since {since_ms}"


@then("no task started in the last {seconds:d} seconds")
def _not_started(context: Any, seconds: int) -> None:
    driver = context.driver
    since_ms = driver.now_ms - seconds * 1_000
    late = [item.at_ms for item in driver.starts if item.at_ms >= since_ms]
    assert not late, f"{len(late)} starts since {since_ms}, the last at {late[-1]}"


@then('no task started in {data_centre} 3 s after change "{change}" was accepted')
def _drained(context: Any, data_centre: str, change: str) -> None:
    driver = context.driver
    accepted_ms = driver.append_times[change]
    assert driver.now_ms > accepted_ms + BOUND_MS
    starts = [
        item.at_ms - accepted_ms
        for item in driver.starts
        if driver.nodes[item.agent].core.state.settings.data_centre == data_centre
    ]
    assert starts, "no task ever started there"
    late = [after_ms for after_ms in starts if after_ms > BOUND_MS]
    assert not late, f"{len(late)} starts, the last {max(late)} ms after acceptance"


@then("no submitted job failed but by its deadline")
def _no_failures(context: Any) -> None:
    driver = context.driver
    driver.run(4_000)
    answers = [driver.answers.get(r) for rs in context.requests.values() for r in rs]
    missing = sum(answer is None for answer in answers)
    failed = [a for a in answers if a is not None and a.state != "complete"]
    assert not missing and not failed, (missing, len(failed), failed[:3])


@then("{entry} is {status} on the roster of {other}")
def _roster(context: Any, entry: str, status: str, other: str) -> None:
    control = context.driver.nodes[process_name(other)].core.state.control
    found = control.entries.get(entry)
    shown = "absent" if found is None else "leaving" if found.leaving else "present"
    assert shown == status, control.entries


@given("the upstreams fail everything")
def _fail(context: Any) -> None:
    context.driver.outcome = lambda agent, start: TaskStatus.FAILED


@then("agent {name} is registered at {entry}")
def _registered(context: Any, name: str, entry: str) -> None:
    assert _is_registered(context, name, entry)


@then("agent {name} is not registered at {entry}")
def _not_registered(context: Any, name: str, entry: str) -> None:
    assert not _is_registered(context, name, entry)


def _is_registered(context: Any, name: str, entry: str) -> bool:
    nodes = context.driver.nodes
    control = nodes[process_name(entry)].core.state.control
    return control.is_registered(nodes[process_name(name)].core.state.incarnation)


@then("agent {name} started a task in the last {seconds:d} seconds")
def _agent_started(context: Any, name: str, seconds: int) -> None:
    driver = context.driver
    since_ms = driver.now_ms - seconds * 1_000
    agents = {item.agent for item in driver.starts if item.at_ms >= since_ms}
    assert process_name(name) in agents, agents


@then("the hold of {name} is {seconds:d} seconds")
def _hold(context: Any, name: str, seconds: int) -> None:
    driver = context.driver
    control = driver.nodes["entry/e1"].core.state.control
    ended_ms = max(row.folded_ms for row in control.ended.values())
    joined = driver.run_until(lambda: name in control.entries, limit_ms=60_000)
    state = driver.nodes[process_name(name)].core.state
    own_ms = max(row.folded_ms for row in state.control.ended.values())
    held_ms = driver.now_ms - max(own_ms, ended_ms)
    assert joined and seconds * 1_000 <= held_ms <= seconds * 1_000 + 600, held_ms


@given("an entry {name} in {data_centre}, and one report per data centre is enough")
def _looser(context: Any, name: str, data_centre: str) -> None:
    context.driver.add_entry(name, data_centre)
    context.driver.run(1_000)
    for node in context.driver.nodes.values():
        node.core.state.settings.freshness.outage_quorum = "one_per_data_centre"
