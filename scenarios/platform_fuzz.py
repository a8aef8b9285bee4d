"""Random orders of faults on the model of the platform, checked against the rules."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import attrs

from .platform_model import Model, job

ACTIONS = 40
QUIET_MS = 25_000
# A start after a job was shown as completed breaks the rules after this time.
COMPLETED_SLACK_MS = 1_000
WORKER_SLOTS = 4


@attrs.define
class Outcome:
    """What a run of one seed has shown.

    Attributes:
        seed: The seed.
        actions: The actions in order, with their times.
        problems: Rules broken, each with what was seen.
    """

    seed: int
    actions: list[str]
    problems: list[str]


class Fuzz:
    """One run of random faults.

    Args:
        seed: Seed of all draws.
        deadly: Names of tasks that crash the workers that start them.
    """

    def __init__(self, seed: int, deadly: frozenset[str] = frozenset()) -> None:
        self.seed = seed
        self.draw = random.Random(seed)
        self.model = Model(entries=3, agents=4)
        self.model.run(600)
        for machine in self.model.machines.values():
            machine.deadly = deadly
        self.jobs: dict[str, bool] = {}
        self.actions: list[str] = []
        self.choices: list[Callable[[], str]] = [
            self.submit,
            self.submit,
            self.submit,
            self.kill_entry,
            self.kill_agent,
            self.cut,
            self.freeze,
            self.crash,
            self.lose_orders,
            self.store_down,
            self.store_cut,
            self.lose_answer,
        ]

    def run(self) -> Outcome:
        """Play all actions, heal everything, and check the rules."""
        model = self.model
        for machine in model.machines.values():
            machine.run_ms = self.draw.choice((60, 300, 1_500))
        for _ in range(ACTIONS):
            text = self.draw.choice(self.choices)()
            self.actions.append(f"{model.now_ms}: {text}")
            model.run(self.draw.choice((5, 50, 400, 1_500)))
        self.heal()
        model.run(QUIET_MS)
        return Outcome(self.seed, self.actions, self.problems())

    # Actions.

    def submit(self) -> str:
        """Hand in a job at the owner, or a volatile one anywhere."""
        model = self.model
        if not model.owners:
            return "nothing"
        name = f"{len(self.jobs):016x}"
        volatile = self.draw.random() < 0.4
        spec = job(name, count=self.draw.randrange(1, 6), volatile=volatile)
        self.jobs[name] = volatile
        try:
            entry = model.owner_of(spec)
        except AssertionError:
            entry = sorted(model.owners)[0]
        if not model.awake(model.owners[entry]):
            return "nothing"
        model.submit(name, spec, entry, timeout_ms=30_000)
        return f"submit {name} volatile={volatile} at {entry}"

    def kill_entry(self) -> str:
        """Kill an entry; another one takes over and it returns."""
        model = self.model
        if len(model.owners) < 2:
            return "nothing"
        name = self.draw.choice(sorted(model.owners))
        model.kill(name)
        model.at(self.draw.choice((900, 1_400)), model.assign)

        def again() -> None:
            if name not in model.owners:
                model.start_entry(name)
                model.assign()

        model.at(self.draw.choice((1_500, 4_000)), again)
        return f"kill {name}"

    def kill_agent(self) -> str:
        """Kill an agent; it returns."""
        model = self.model
        if not model.workers:
            return "nothing"
        name = self.draw.choice(sorted(model.workers))
        model.kill(name)
        registers = self.draw.random() < 0.5

        def again() -> None:
            if name not in model.workers:
                model.start_agent(name, registers=registers)
                model.at(700, lambda: self._register(name))

        model.at(self.draw.choice((300, 700, 2_500)), again)
        return f"kill {name}"

    def _register(self, name: str) -> None:
        if name in self.model.workers:
            self.model.register(name)

    def cut(self) -> str:
        """Cut an entry from an agent for a while."""
        model = self.model
        if not model.owners or not model.workers:
            return "nothing"
        entry = self.draw.choice(sorted(model.owners))
        agent = self.draw.choice(sorted(model.workers))
        model.cut_link(entry, agent)

        def heal() -> None:
            if entry in model.owners and agent in model.workers:
                model.heal_link(entry, agent)
            model.cut.discard((entry, agent))

        model.at(self.draw.choice((300, 1_500, 5_000)), heal)
        return f"cut {entry} {agent}"

    def freeze(self) -> str:
        """Let a process stand still."""
        model = self.model
        hosts = {**model.owners, **model.workers}
        if not hosts:
            return "nothing"
        name = self.draw.choice(sorted(hosts))
        length_ms = self.draw.choice((500, 2_500, 4_500))
        hosts[name].frozen_until_ms = model.now_ms + length_ms
        if name in model.owners and length_ms > 1_000:
            model.at(1_200, lambda: self._move_shards(name))
        return f"freeze {name} {length_ms}"

    def _move_shards(self, frozen: str) -> None:
        model = self.model
        others = [name for name in sorted(model.owners) if name != frozen]
        others = [name for name in others if model.awake(model.owners[name])]
        if not others:
            return
        model.deal_to(others)
        model.at(6_000, model.assign)

    def crash(self) -> str:
        """Let a worker lose everything."""
        name = self.draw.choice(sorted(self.model.machines))
        self.model.machines[name].crash(self.model.now_ms)
        self.model.at(200, lambda: self._register(name))
        return f"crash {name}"

    def lose_orders(self) -> str:
        """Let orders be carried out late and without an answer."""
        self.model.lost_orders = self.draw.randrange(1, 4)
        self.model.late_ms = self.draw.choice((600, 3_000, 9_000))
        return f"lose {self.model.lost_orders} orders, late {self.model.late_ms}"

    def store_down(self) -> str:
        """Let the store reject all calls for a while."""
        model = self.model
        model.store.down = True

        def up() -> None:
            model.store.down = False

        model.at(self.draw.choice((300, 2_000, 4_500)), up)
        return "store down"

    def store_cut(self) -> str:
        """Cut an entry from the store; its shards move."""
        model = self.model
        if len(model.owners) < 2 or model.store_cut:
            return "nothing"
        name = self.draw.choice(sorted(model.owners))
        model.store_cut.add(name)
        model.at(1_200, model.assign)

        def heal() -> None:
            model.store_cut.discard(name)
            model.assign()

        model.at(5_000, heal)
        return f"store cut {name}"

    def lose_answer(self) -> str:
        """Let an append be carried out without an answer."""
        self.model.store.lose_answers += 1
        return "lose an answer of the store"

    def heal(self) -> None:
        """Let everything be well again."""
        model = self.model
        model.lost_orders = 0
        model.run(7_000)
        model.store.down = False
        model.store_cut.clear()
        for name in model.machines:
            if name not in model.workers:
                model.start_agent(name)
            model.register(name)
        for number in range(3):
            if f"e{number}" not in model.owners:
                model.start_entry(f"e{number}")
        for entry in model.owners:
            for agent in model.workers:
                model.heal_link(entry, agent)
        model.assign()

    # Rules.

    def problems(self) -> list[str]:
        """Return the rules that were broken."""
        return [
            *(f"two runs at a time: {task}" for task in self.model.overlapping()),
            *self._over_capacity(),
            *self._after_completion(),
            *self._not_ended(),
            *self._failed_without_cause(),
        ]

    def _over_capacity(self) -> list[str]:
        active: dict[str, int] = {}
        found = []
        for at_ms, what, task, _, agent in self.model.runs():
            active[agent] = active.get(agent, 0) + (1 if what == "start" else -1)
            if active[agent] > WORKER_SLOTS:
                found.append(f"over capacity: {agent} at {at_ms} by {task}")
        return found

    def _after_completion(self) -> list[str]:
        ended: dict[str, int] = {}
        for at_ms, _, event, fields in self.model.notes:
            if event == "job ended" and fields["state"] == "completed":
                ended.setdefault(fields["job"], at_ms)
        found = []
        for at_ms, what, task, run, agent in self.model.runs():
            job_id = task.partition(".")[0]
            limit_ms = ended.get(job_id)
            if what != "start" or limit_ms is None or self.jobs[job_id]:
                continue
            if at_ms > limit_ms + COMPLETED_SLACK_MS:
                found.append(f"start after completion: {task} run {run} {agent}")
        return found

    def _failed_without_cause(self) -> list[str]:
        """Return the failed jobs of which no task met two crashes of workers.

        No run ends `failed` here, so there is no other cause.
        """
        crashes = Counter(row[2] for row in self.model.runs() if row[1] == "crashed")
        with_cause = {task.partition(".")[0] for task, n in crashes.items() if n > 1}
        return [
            f"failed without cause: {fields['job']}"
            for _, _, event, fields in self.model.notes
            if event == "job ended"
            and fields["state"] == "failed"
            and fields["job"] not in with_cause
        ]

    def _not_ended(self) -> list[str]:
        model = self.model
        found = []
        for job_id, volatile in self.jobs.items():
            answer = model.answers.get(job_id)
            if volatile or answer is None or answer.outcome != "accepted":
                continue
            spec = job(job_id)
            core = model.owners[model.owner_of(spec)].core
            shard = core.state.shard_for(job_id)
            known = shard.jobs.get(job_id)
            if known is None:
                found.append(f"accepted job lost: {job_id}")
            elif known.final_state is None:
                found.append(f"accepted job not ended: {job_id} {known.state}")
        return found


def play(seed: int) -> Outcome:
    """Play one seed."""
    return Fuzz(seed).run()
