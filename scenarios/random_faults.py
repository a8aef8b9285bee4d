"""A randomised run of the cores under faults, as a hypothesis state machine."""

from __future__ import annotations

import click
from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from .faults import restart
from .invariants import violations
from .matrix import build, submit

SETTLE_MS = 45_000

entries = st.sampled_from(["e1", "e2", "e3"])
agents = st.sampled_from(["u1", "u2", "u3", "u4"])
keys = st.sampled_from([f"k{number}" for number in range(5)])
durations_ms = st.sampled_from([20, 150, 700, 1_500, 2_500, 6_000])
centres = st.sampled_from(["perth", "stirling"])


class FaultMachine(RuleBasedStateMachine):
    """Callers, operators and faults in any order; the invariants hold at the end."""

    @initialize(seed_=st.integers(1, 1_000))
    def start(self, seed_: int) -> None:
        """Start a ready system."""
        self.driver = build(seed=seed_)
        self.seed = seed_

    def _is_up(self, process: str) -> bool:
        node = self.driver.nodes[process]
        return node.alive and not node.paused

    @rule(entry=entries, key=keys, count=st.integers(1, 24))
    def submit_job(self, entry: str, key: str, count: int) -> None:
        """Submit a job, or submit it again."""
        if self._is_up(f"entry/{entry}"):
            submit(self.driver, entry, key, count)

    @rule(entry=entries, centre=centres, drain=st.booleans())
    def change_drain(self, entry: str, centre: str, drain: bool) -> None:
        """Drain or restore a data centre."""
        node = self.driver.nodes[f"entry/{entry}"]
        if self._is_up(node.process) and node.core.state.incarnation is not None:
            self.driver.drain(entry, centre, drain=drain)

    @rule(duration_ms=durations_ms)
    def wait(self, duration_ms: int) -> None:
        """Let time pass."""
        self.driver.run(duration_ms)

    @rule(entry=entries, wait_ms=st.sampled_from([0, 400, 3_000]))
    def replace_entry(self, entry: str, wait_ms: int) -> None:
        """Kill an entry and start its replacement."""
        self._replace(f"entry/{entry}", wait_ms)

    @rule(agent=agents, wait_ms=st.sampled_from([0, 400, 3_000]))
    def replace_agent(self, agent: str, wait_ms: int) -> None:
        """Kill an agent and start its replacement."""
        self._replace(f"agent/{agent}", wait_ms)

    def _replace(self, process: str, wait_ms: int) -> None:
        if not self.driver.nodes[process].alive:
            return
        self.driver.kill(process)
        self.driver.run(wait_ms)
        restart(self.driver, process)

    @rule(name=st.one_of(entries, agents), duration_ms=durations_ms)
    def pause(self, name: str, duration_ms: int) -> None:
        """Pause a process for a time."""
        process = f"entry/{name}" if name.startswith("e") else f"agent/{name}"
        if not self._is_up(process):
            return
        node = self.driver.nodes[process]
        self.driver.pause(process)

        def resume() -> None:
            if self.driver.nodes[process] is node and node.alive:
                self.driver.resume(process)

        self.driver.at(self.driver.now_ms + duration_ms, resume)

    @rule(one=entries, other=st.one_of(entries, agents), duration_ms=durations_ms)
    def cut(self, one: str, other: str, duration_ms: int) -> None:
        """Cut two processes, and the first one from the log, for a time."""
        if one == other:
            return
        peer = f"entry/{other}" if other.startswith("e") else f"agent/{other}"
        self.driver.cut(f"entry/{one}", peer)
        self.driver.log_cut.add(f"entry/{one}")
        self.driver.at(self.driver.now_ms + duration_ms, self.driver.heal)

    @rule(duration_ms=durations_ms)
    def log_outage(self, duration_ms: int) -> None:
        """Take the log down for a time."""
        self.driver.log_down = True

        def back() -> None:
            self.driver.log_down = False

        self.driver.at(self.driver.now_ms + duration_ms, back)

    @rule()
    def lose_append_answer(self) -> None:
        """Lose the answer to the next append."""
        self.driver.lose_append_answers += 1

    @rule(one=entries, other=st.one_of(entries, agents))
    def break_stream(self, one: str, other: str) -> None:
        """Break a stream with all that is under way on it."""
        peer = f"entry/{other}" if other.startswith("e") else f"agent/{other}"
        self.driver.break_stream(f"entry/{one}", peer)

    def teardown(self) -> None:
        """Let everything settle and check all invariants."""
        if not hasattr(self, "driver"):
            return
        self.driver.heal()
        self.driver.run(SETTLE_MS)
        found = violations(self.driver)
        assert not found, (self.seed, found)


@click.command()
@click.option("--examples", default=200, show_default=True, help="Runs.")
@click.option("--steps", default=30, show_default=True, help="Actions in a run.")
@click.option("--seed", "seed_", default=1, show_default=True, help="Seed.")
def main(examples: int, steps: int, seed_: int) -> None:
    """Run random orders of faults; a failure prints its actions."""
    options = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(seed_)(FaultMachine), settings=options)
    click.echo(f"{examples} runs of {steps} actions, seed {seed_}: no violation")


if __name__ == "__main__":
    main()
