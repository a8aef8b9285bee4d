"""Guards against agents that keep a lost home, or change their home too often."""

from __future__ import annotations

import pytest

from catkincross.messages import JobState
from scenarios.driver import Driver
from scenarios.invariants import violations
from scenarios.matrix import build, submit


def homes(driver: Driver) -> dict[str, str]:
    """Return the home of each agent."""
    return {
        process: node.core.state.home
        for process, node in driver.nodes.items()
        if process.startswith("agent/")
    }


@pytest.mark.parametrize("fault", ["kill", "pause", "cut"])
def test_agents_of_a_lost_home_work_for_another(fault: str) -> None:
    # Guards against agents that stay idle after their home is lost.
    driver = build()
    lost = homes(driver)["agent/u1"]
    if fault == "kill":
        driver.kill(f"entry/{lost}")
    elif fault == "pause":
        driver.pause(f"entry/{lost}")
    else:
        for agent in ("agent/u1", "agent/u3"):
            driver.cut(agent, f"entry/{lost}")
    driver.run(15_000)
    assert lost not in homes(driver).values()
    entry = next(name for name in ("e1", "e2", "e3") if name != lost)
    request = submit(driver, entry, "k0", 60)
    assert driver.run_until(lambda: request in driver.answers)
    assert driver.answers[request].state is JobState.COMPLETE
    assert {item.agent for item in driver.starts} == set(homes(driver))
    assert violations(driver) == []


def test_a_short_break_does_not_change_the_home() -> None:
    # Guards against a new grant for each stream that breaks briefly.
    driver = build()
    before = homes(driver)
    epoch = driver.nodes["agent/u1"].core.state.grant_epoch
    for _ in range(5):
        driver.break_stream("agent/u1", f"entry/{before['agent/u1']}")
        driver.run(600)
    assert homes(driver) == before
    assert driver.nodes["agent/u1"].core.state.grant_epoch == epoch


def test_agents_return_to_a_home_that_is_back() -> None:
    # Guards against agents that stay on a less preferred home after a recovery.
    driver = build()
    before = homes(driver)
    lost = before["agent/u1"]
    for agent in ("agent/u1", "agent/u3"):
        driver.cut(agent, f"entry/{lost}")
    driver.run(15_000)
    driver.heal()
    driver.run(15_000)
    assert homes(driver) == before
