"""Tests of processes that are paused or slow for less than a second.

Their runs must be neither given up nor started elsewhere, and must not outlive the time
after which another entry may start them.
"""

from __future__ import annotations

import pytest

from scenarios.platform_model import Host, Model, job, ready_model

JOB = "5c0e7a21d94b36f8"
RUN_MS = 3_000
# The job starts at another moment of the interval at which agents send their states.
START_DELAYS_MS = (300, 350, 400, 450, 500)


def started_model(delay_ms: int) -> Model:
    """Return a model in which e1 has started a job of four long tasks."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = RUN_MS
    model.submit("post", job(JOB, volatile=True), "e1", timeout_ms=9_000)
    model.run(delay_ms)
    return model


def busy_agents(model: Model) -> list[Host]:
    """Return the agents whose workers have runs."""
    return [host for host in model.workers.values() if host.core.state.runs]


@pytest.mark.parametrize("delay_ms", START_DELAYS_MS)
@pytest.mark.parametrize("pause_ms", [600, 700, 800])
def test_an_entry_that_was_paused_renews_its_leases_at_once(
    pause_ms: int, delay_ms: int
) -> None:
    """Its agents stopped runs again up to 200 ms after it was back.

    Of the states that had queued up meanwhile, it answered the oldest one, and that
    lease had nearly ended. Each task may be stopped once, by an agent whose lease ended
    in the pause.
    """
    model = started_model(delay_ms)
    entry = model.owners["e1"]
    entry.frozen_until_ms = model.now_ms + pause_ms
    model.run(pause_ms + 2 * RUN_MS)
    assert model.answers["post"].detail == "completed"
    assert model.count("stopped") <= 4
    assert model.overlapping() == []


@pytest.mark.parametrize("delay_ms", START_DELAYS_MS)
@pytest.mark.parametrize("pause_ms", [500, 600, 700])
def test_an_agent_that_was_paused_keeps_its_runs(pause_ms: int, delay_ms: int) -> None:
    """It took its own pause for the silence of the entry and stopped sound runs."""
    model = started_model(delay_ms)
    for host in busy_agents(model):
        host.frozen_until_ms = model.now_ms + pause_ms
    model.run(2 * RUN_MS)
    assert model.answers["post"].detail == "completed"
    assert (model.count("stopped"), model.count("lapsed")) == (0, 0)


@pytest.mark.parametrize("delay_ms", START_DELAYS_MS)
@pytest.mark.parametrize("pause_ms", [500, 700, 900, 1_500])
def test_runs_of_a_paused_agent_end_if_their_entry_is_lost(
    pause_ms: int, delay_ms: int
) -> None:
    """Another entry starts the job 2,250 ms after the loss of the first one."""
    model = started_model(delay_ms)
    for host in busy_agents(model):
        host.frozen_until_ms = model.now_ms + pause_ms
    model.kill("e1")
    model.run(2_250)
    ended = sum(model.count(how) for how in ("stopped", "lapsed"))
    assert ended == 4
    model.submit("again", job(JOB, volatile=True), "e0", timeout_ms=9_000)
    model.run(3 * RUN_MS)
    assert model.answers["again"].detail == "completed"
    assert model.overlapping() == []


@pytest.mark.parametrize("how", ["done", "stopped"])
def test_an_owner_that_was_paused_hears_its_agents_before_it_gives_up_runs(
    how: str,
) -> None:
    """review/6: it looked at the clock first, and ran tasks again that had ended."""
    model = ready_model()
    for machine in model.machines.values():
        machine.run_ms = 30_000
    spec = job(JOB)
    owner = model.owner_of(spec)
    model.submit("post", spec, owner)
    model.run(300)
    for machine in model.machines.values():
        for run in machine.running.values():
            run.ends_ms = model.now_ms + 1_000
            run.how = how
    host = model.owners[owner]
    host.frozen_until_ms = model.now_ms + 4_000
    model.cut |= {(owner, agent) for agent in model.workers}
    for agent in model.workers:
        model.workers[agent].core.handle_entry_lost(model.now_ms, owner)
        host.core.handle_agent_lost(model.now_ms, agent)
    model.run(4_000)
    model.cut.clear()
    # The agents try again within half a second.
    model.run(2_000)
    starts = model.count("start", JOB)
    assert starts == (4 if how == "done" else 8)
    assert not any(
        event == "run of a lost agent given up" for _, _, event, _ in model.notes
    )
