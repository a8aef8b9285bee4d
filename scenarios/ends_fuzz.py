"""Random faults under stored jobs, some runs of which fail, with stops that take time.

No task may start after an end that rules it out and that was noted, see
`Model.starts_after_noted_ends`.

    python -m scenarios.ends_fuzz --seeds 1-100
"""

from __future__ import annotations

import sys

import click

from .platform_fuzz import Fuzz, Outcome
from .platform_model import STEP_MS, job

STOP_MS = 45
LASTING_MS = 100_000
# Share of the runs that end by themselves while they are being stopped.
ENDING_SHARE = 0.5
# Share of the actions after which a worker fails what it starts, until the next one.
FAILING_SHARE = 0.2


class EndsFuzz(Fuzz):
    """One run of random faults under jobs whose runs end at any time of a lease."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.choices = [
            self.submit,
            self.submit,
            self.cut,
            self.cut,
            self.cut,
            self.freeze,
            self.kill_agent,
            self.store_down,
            self.change_worker,
        ]
        self._notes_read = 0
        for machine in self.model.machines.values():
            machine.stop_takes_ms = STOP_MS
            machine.run_ms = LASTING_MS
        # The workers' leases are renewed for these runs, whatever happens to others.
        for entry in sorted(self.model.owners):
            name = f"{int(entry[1:]):016x}"
            self.jobs[name] = True
            count = len(self.model.machines)
            spec = job(name, count=count, volatile=True, anti_affinity=1)
            self.model.submit(name, spec, entry, timeout_ms=LASTING_MS)
        self.model.run(100)
        self._watch_stops()

    def submit(self) -> str:
        """Hand in a stored job, or now and then a volatile one that keeps leases."""
        text = super().submit()
        for machine in self.model.machines.values():
            machine.run_ms = self.draw.randrange(1_000, 8_000)
        return text

    def cut(self) -> str:
        """Cut an entry from an agent until the entry has given its runs up."""
        model = self.model
        entry = self.draw.choice(sorted(model.owners))
        if not model.workers:
            return "nothing"
        agent = self.draw.choice(sorted(model.workers))
        model.cut_link(entry, agent)
        model.at(self.draw.randrange(3_000, 6_000), lambda: self._heal(entry, agent))
        return f"cut {entry} {agent}"

    def _heal(self, entry: str, agent: str) -> None:
        model = self.model
        if (entry, agent) in model.cut and agent in model.workers:
            model.heal_link(entry, agent)
        model.cut.discard((entry, agent))

    def _watch_stops(self) -> None:
        """Let some runs end by themselves while they are being stopped."""
        notes = self.model.notes
        for _, agent, event, fields in notes[self._notes_read :]:
            machine = self.model.machines.get(agent)
            if event != "run stopped" or machine is None:
                continue
            run = machine.running.get(fields["task"])
            if run is not None and self.draw.random() < ENDING_SHARE:
                end_ms = self.model.now_ms + self.draw.randrange(1, STOP_MS)
                run.ends_ms, run.how = end_ms, machine.end_as
        self._notes_read = len(notes)
        self.model.at(STEP_MS, self._watch_stops)

    def change_worker(self) -> str:
        """Let a worker fail or complete what it starts from now on."""
        name = self.draw.choice(sorted(self.model.machines))
        fails = self.draw.random() < FAILING_SHARE
        self.model.machines[name].end_as = "failed" if fails else "done"
        return f"{name} fails={fails}"

    def heal(self) -> None:
        """Let everything be well again, the workers included."""
        super().heal()
        for machine in self.model.machines.values():
            machine.end_as, machine.run_ms = "done", 100

    def problems(self) -> list[str]:
        """Return the rules that were broken."""
        return [
            *(f"two runs at a time: {task}" for task in self.model.overlapping()),
            *self.model.starts_after_noted_ends(),
            *self._not_ended(),
        ]


def play(seed: int) -> Outcome:
    """Play one seed."""
    return EndsFuzz(seed).run()


@click.command()
@click.option("--seeds", default="1-50", show_default=True, help="First and last seed.")
def main(seeds: str) -> None:
    """Play seeds; exit with 1 if one of them breaks a rule."""
    first, _, last = seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        outcome = play(seed)
        failed += bool(outcome.problems)
        for problem in outcome.problems:
            click.echo(f"{seed}: {problem}")
    click.echo(f"seeds with a broken rule: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
