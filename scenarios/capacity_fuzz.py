"""Random changes of the workers' capacity beside the other faults of the model.

Shrinks and growths, heartbeats that are lost, late or repeated, kills, cuts, freezes,
crashes and lost orders. Each start is checked against the capacity of its worker.
"""

from __future__ import annotations

import attrs

from catkincross.jobs import Step
from catkincross.workers import Registration
from standins.platform_worker import DEFAULT_CAPACITY, Capacity

from .capacity_check import starts_over_capacity
from .platform_fuzz import Fuzz, Outcome
from .platform_model import HEARTBEAT_MS, job

# Largest age of a heartbeat that arrives late.
LATE_HEARTBEAT_MS = 1_000
CPU_SIZES = (250, 1_000, 1_500, 3_000)
MEMORY_SIZES_MB = (16, 64, 1_024, 4_096)
ACCELERATORS = (0, 0, 0, 1)
FULL_CAPACITY: Capacity = (*DEFAULT_CAPACITY[:2], 2)


class CapacityFuzz(Fuzz):
    """One run of random faults and changes of capacity.

    Args:
        seed: Seed of all draws.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.steps: dict[str, Step] = {}
        self.copies: list[tuple[str, Registration]] = []
        changes = [
            self.resize,
            self.resize,
            self.resize,
            self.lose_heartbeats,
            self.repeat_heartbeat,
        ]
        self.choices = [*self.choices, *changes, self.submit, self.submit]
        for name, machine in self.model.machines.items():
            machine.resize(self.model.now_ms, FULL_CAPACITY)
            self.model.register(name)
        self.model.run(100)

    def submit(self) -> str:
        """Hand in a job of a random size at the owner, or a volatile one anywhere."""
        model = self.model
        if not model.owners:
            return "nothing"
        name = f"{len(self.jobs):016x}"
        volatile = self.draw.random() < 0.4
        gang = self.draw.random() < 0.2
        spec = job(name, count=self.draw.randrange(1, 6), volatile=volatile, gang=gang)
        step = attrs.evolve(
            spec.steps[0],
            cpu=self.draw.choice(CPU_SIZES),
            memory_mb=self.draw.choice(MEMORY_SIZES_MB),
            gpu=self.draw.choice(ACCELERATORS),
        )
        spec = attrs.evolve(spec, steps=(step,))
        self.jobs[name] = volatile
        self.steps[name] = step
        owners = [
            entry
            for entry, host in sorted(model.owners.items())
            if host.core.state.shard_for(name) is not None
        ]
        entry = (owners or sorted(model.owners))[0]
        if not model.awake(model.owners[entry]):
            return "nothing"
        model.submit(name, spec, entry, timeout_ms=30_000)
        return f"submit {name} {step} volatile={volatile} at {entry}"

    def resize(self) -> str:
        """Let a worker shrink or grow; it says so at once or at its next heartbeat."""
        model = self.model
        name = self.draw.choice(sorted(model.machines))
        self.copies.append((name, model.heartbeat(name)))
        capacity = (
            self.draw.choice((0, 900, 2_000, 3_000, 4_000)),
            self.draw.choice((0, 512, 4_096, 8_192, 8_192)),
            self.draw.choice((0, 1, 2)),
        )
        model.machines[name].resize(model.now_ms, capacity)
        announces = self.draw.random() < 0.5 and name not in model.silent_workers
        if announces and name in model.workers and model.awake(model.workers[name]):
            model.register(name)
        return f"resize {name} {capacity} announces={announces}"

    def lose_heartbeats(self) -> str:
        """Lose the heartbeats of a worker for a while."""
        model = self.model
        name = self.draw.choice(sorted(model.machines))
        model.silent_workers.add(name)
        length_ms = self.draw.choice((2_000, 5_000, 9_000))
        model.at(length_ms, lambda: model.silent_workers.discard(name))
        return f"lose heartbeats of {name} for {length_ms}"

    def repeat_heartbeat(self) -> str:
        """Let a heartbeat arrive that was sent before the newest change of a worker."""
        model = self.model
        if not self.copies:
            return "nothing"
        name, content = self.draw.choice(self.copies)
        if name not in model.workers or not model.awake(model.workers[name]):
            return "nothing"
        # A new process cannot tell that a copy is old, so it only gets recent ones.
        known = model.workers[name].core.state.registration is not None
        if not known and model.now_ms - content.sequence > LATE_HEARTBEAT_MS:
            return "nothing"
        model.deliver_heartbeat(name, content)
        return f"repeat heartbeat of {name} from {content.sequence}"

    def heal(self) -> None:
        """Let everything be well again, and all workers have their full capacity."""
        self.model.silent_workers.clear()
        for machine in self.model.machines.values():
            machine.resize(self.model.now_ms, FULL_CAPACITY)
        super().heal()
        self.model.run(HEARTBEAT_MS)

    def _register(self, name: str) -> None:
        if name not in self.model.silent_workers:
            super()._register(name)

    def problems(self) -> list[str]:
        """Return the rules that were broken, and volatile jobs without an answer."""
        return [*super().problems(), *self._not_answered()]

    def _over_capacity(self) -> list[str]:
        return starts_over_capacity(self.model, self.steps)

    def _not_answered(self) -> list[str]:
        return [
            f"volatile job not answered: {job_id}"
            for host in self.model.owners.values()
            for job_id in host.core.state.volatile.requests
        ]


def play_capacity(seed: int) -> Outcome:
    """Play one seed."""
    return CapacityFuzz(seed).run()
