"""Workloads: their INI files and the arrivals that they describe."""

from __future__ import annotations

import math
import random
from configparser import ConfigParser
from pathlib import Path

import attrs

FOLDER = Path(__file__).resolve().parent


@attrs.frozen
class UpstreamSpec:
    """An upstream: a task of `work_ms` runs `work_ms / speed` there."""

    name: str
    data_centre: str
    rack: str
    speed: float


@attrs.frozen
class TaskTimes:
    """Distribution of the work of a task, in ms at speed 1.

    Attributes:
        tail_share: Share of the tasks that last from `tail_least_ms` on.
        wrong_share: Share of the tasks whose declared run time is wrong.
        wrong_factor: A wrong declaration is off by up to this factor either way.
    """

    least_ms: float
    most_ms: float
    median_ms: float
    sigma: float
    tail_share: float
    tail_least_ms: float
    tail_most_ms: float
    wrong_share: float
    wrong_factor: float

    def draw(self, rng: random.Random) -> float:
        """Return the work of one task in ms."""
        if rng.random() < self.tail_share:
            return rng.uniform(self.tail_least_ms, self.tail_most_ms)
        drawn = rng.lognormvariate(math.log(self.median_ms), self.sigma)
        return min(self.most_ms, max(self.least_ms, drawn))

    def declare(self, work_ms: float, rng: random.Random) -> int:
        """Return the run time that a caller declares."""
        if rng.random() >= self.wrong_share:
            return round(work_ms)
        exponent = rng.uniform(-1, 1)
        return max(1, round(work_ms * self.wrong_factor**exponent))


@attrs.frozen
class Arrivals:
    """How callers arrive.

    Attributes:
        single_work_share: Share of the work that single requests bring.
        burst_factor: Rate within a burst over the mean rate.
    """

    single_work_share: float
    job_least_tasks: int
    job_most_tasks: int
    single_deadline_ms: int
    job_deadline_ms: int
    burst_every_ms: float
    burst_length_ms: float
    burst_factor: float


@attrs.frozen
class DrainPhase:
    """A run in which a data centre leaves and returns."""

    data_centre: str
    load: float
    at_ms: int
    restore_ms: int
    duration_ms: int


@attrs.frozen
class IdlePhase:
    """Single requests on an idle system."""

    requests: int
    interval_ms: float
    run_ms: float


@attrs.frozen
class Workload:
    """A workload as its INI file describes it."""

    name: str
    seed: int
    warm_up_ms: float
    duration_ms: float
    drain_out_ms: float
    load: float
    data_centres: list[str]
    within_ms: float
    between_ms: float
    upstreams: list[UpstreamSpec]
    slots: int
    connections: int
    tasks: TaskTimes
    arrivals: Arrivals
    drain: DrainPhase
    idle: IdlePhase

    def capacity(self, *, without: str = "") -> float:
        """Return the work in ms that all slots do in a ms.

        Args:
            without: A data centre to leave out.
        """
        speeds = [u.speed for u in self.upstreams if u.data_centre != without]
        return sum(speeds) * min(self.slots, self.connections)


@attrs.frozen
class JobPlan:
    """A job or a single request that will arrive.

    Attributes:
        at_ms: Intended arrival, from the start of the load.
        works: Work of each task, in ms at speed 1.
        declared: Declared run time of each task, in ms.
        entry: Number of the entry that the load balancer picks.
        interactive: Whether a caller waits for this single request.
    """

    number: int
    at_ms: float
    works: list[float]
    declared: list[int]
    entry: int
    interactive: bool
    deadline_ms: int


def read_workload(path: Path) -> Workload:
    """Return the workload of an INI file.

    Args:
        path: The file; a bare name is looked up in this package.

    Raises:
        FileNotFoundError: If there is no such file.
        ValueError: If a value does not have its type.
    """
    found = path if path.exists() else FOLDER / path.name
    if not found.exists():
        raise FileNotFoundError(f"no workload file {path}")
    parser = ConfigParser()
    parser.read_string(found.read_text())
    head, network = parser["workload"], parser["network"]
    upstreams = [_upstream(name, value) for name, value in parser["upstreams"].items()]
    return Workload(
        name=found.stem,
        seed=head.getint("seed"),
        warm_up_ms=head.getfloat("warm_up_ms"),
        duration_ms=head.getfloat("duration_ms"),
        drain_out_ms=head.getfloat("drain_out_ms"),
        load=head.getfloat("load"),
        data_centres=[part.strip() for part in network["data_centres"].split(",")],
        within_ms=network.getfloat("within_ms"),
        between_ms=network.getfloat("between_ms"),
        upstreams=upstreams,
        slots=parser["slots"].getint("slots"),
        connections=parser["slots"].getint("connections"),
        tasks=_section(TaskTimes, parser["tasks"]),
        arrivals=_section(Arrivals, parser["arrivals"]),
        drain=_section(DrainPhase, parser["drain"]),
        idle=_section(IdlePhase, parser["idle"]),
    )


def _upstream(name: str, value: str) -> UpstreamSpec:
    data_centre, rack, speed = (part.strip() for part in value.split(","))
    return UpstreamSpec(name, data_centre, rack, float(speed))


def _section(kind: type, section: object) -> object:
    converters = {"str": str, "int": int, "float": float}
    return kind(
        **{f.name: converters[f.type](section[f.name]) for f in attrs.fields(kind)}
    )


def plan_arrivals(
    workload: Workload, *, load: float, duration_ms: float, seed: int
) -> list[JobPlan]:
    """Return open-loop arrivals: their times do not depend on any answer.

    Args:
        workload: The workload.
        load: Work that arrives, as a share of what all slots can do.
        duration_ms: Time over which they arrive.
        seed: Seed of all random choices.
    """
    rng = random.Random(seed)
    plan = workload.arrivals
    budget_ms = workload.capacity() * load * duration_ms
    singles, jobs = [], []
    for part, share in ((singles, plan.single_work_share), (jobs, None)):
        total = 0.0
        wanted = budget_ms * (
            share if share is not None else 1 - plan.single_work_share
        )
        while total < wanted:
            count = 1
            if part is jobs:
                count = rng.randint(plan.job_least_tasks, plan.job_most_tasks)
            works = [workload.tasks.draw(rng) for _ in range(count)]
            total += sum(works)
            part.append(works)
    arrivals = [
        (_arrival_ms(plan, duration_ms, rng), works, works_of is singles)
        for works_of in (singles, jobs)
        for works in works_of
    ]
    arrivals.sort(key=lambda item: item[0])
    return [
        JobPlan(
            number=number,
            at_ms=at_ms,
            works=works,
            declared=[workload.tasks.declare(work, rng) for work in works],
            entry=rng.randrange(len(workload.data_centres)),
            interactive=single,
            deadline_ms=plan.single_deadline_ms if single else plan.job_deadline_ms,
        )
        for number, (at_ms, works, single) in enumerate(arrivals)
    ]


def _arrival_ms(plan: Arrivals, duration_ms: float, rng: random.Random) -> float:
    """Draw an arrival time; bursts are denser, the mean rate stays the same."""
    while True:
        at_ms = rng.uniform(0, duration_ms)
        in_burst = at_ms % plan.burst_every_ms < plan.burst_length_ms
        if in_burst or rng.random() < 1 / plan.burst_factor:
            return at_ms
