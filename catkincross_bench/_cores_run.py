"""Runs a workload on the real cores in virtual time."""

from __future__ import annotations

from collections import Counter
from typing import Any

import attrs

from catkincross import effects as fx
from catkincross.ids import agent_process, entry_process, split_process
from catkincross.messages import JobState, TaskSpec, TaskStart
from catkincross.protocol._records import Record, ResourcePut
from catkincross.settings import PlacementSettings
from scenarios.driver import LOG_POLL_MS, Driver

from ._drain_shares import TaskRun, last_start_ms, work_shares
from ._times import percentiles_ms, response_measures
from ._waste import count_messages
from ._workload import JobPlan, Workload, plan_arrivals

SERVICE = "s"
SETTLE_MS = 4_000


@attrs.define
class CoresRun:
    """One workload on one system of entries and agents.

    Attributes:
        start_ms: Driver time at which the load begins.
        requests: Driver's request number by plan number.
    """

    workload: Workload
    driver: Driver
    start_ms: float = 0
    plans: list[JobPlan] = attrs.field(factory=list)
    requests: dict[int, int] = attrs.field(factory=dict)

    @classmethod
    def build(cls, workload: Workload, *, policy: str, seed: int) -> CoresRun:
        """Return a run whose processes have joined and exchanged evidence."""
        driver = Driver(seed=seed)
        run = cls(workload, driver)
        centres = {}
        for number, data_centre in enumerate(workload.data_centres):
            settings = PlacementSettings(policy=policy, seed=seed)
            driver.add_entry(f"e{number}", data_centre, placement=settings)
            centres[entry_process(f"e{number}")] = data_centre
        for spec in workload.upstreams:
            centres[agent_process(spec.name)] = spec.data_centre
        driver.route = lambda sender, to, message: [
            workload.within_ms
            if centres[sender] == centres[to]
            else workload.between_ms
        ]
        driver.run(1_000)
        for spec in workload.upstreams:
            driver.add_agent(
                spec.name,
                spec.data_centre,
                service=SERVICE,
                rack=spec.rack,
                slots=workload.slots,
                connections=workload.connections,
            )
        speeds = {agent_process(u.name): u.speed for u in workload.upstreams}
        driver.run_ms = lambda agent, start: run._work_ms(start) / speeds[agent]
        driver.run(SETTLE_MS)
        return run

    def _work_ms(self, start: TaskStart) -> float:
        number, index = start.spec.payload.split(b":")
        return self.plans[int(number)].works[int(index)]

    def load(self, plans: list[JobPlan]) -> None:
        """Schedule arrivals from now on."""
        self.start_ms = self.driver.now_ms
        self.plans = plans
        for plan in plans:
            self.driver.at(
                self.start_ms + plan.at_ms, lambda plan=plan: self._submit(plan)
            )

    def _submit(self, plan: JobPlan) -> None:
        number = f"{plan.number}:".encode()
        tasks = [
            TaskSpec(number + str(index).encode(), run_ms=declared)
            for index, declared in enumerate(plan.declared)
        ]
        job = fx.JobSubmitted(
            request_id=0,
            key=f"team/{plan.number}" if len(tasks) > 1 else "",
            digest=number,
            team="team",
            service=SERVICE,
            tasks=tasks,
            deadline_ms=plan.deadline_ms,
            interactive=plan.interactive,
        )
        self.requests[plan.number] = self.driver.submit(f"e{plan.entry}", job)

    def responses(self, plans: list[JobPlan]) -> dict[int, float]:
        """Return the response times of complete jobs, by plan number."""
        times = {}
        for plan in plans:
            request = self.requests[plan.number]
            answer = self.driver.answers.get(request)
            if answer is not None and answer.state is JobState.COMPLETE:
                answered_ms = self.driver.answered_ms[request]
                times[plan.number] = answered_ms - self.start_ms - plan.at_ms
        return times

    def ends(self) -> dict[str, int]:
        """Return how the jobs ended: complete, refused (with reasons) and lost."""
        counts: Counter = Counter()
        for request in self.requests.values():
            answer = self.driver.answers.get(request)
            if answer is None:
                counts["lost"] += 1
            elif answer.state is JobState.COMPLETE:
                counts["complete"] += 1
            else:
                counts[f"{answer.state}:{answer.truth}:{answer.reason}"] += 1
        counts["lost"] += 0
        return dict(counts)

    def started_twice(self) -> int:
        """Return the tasks that started more than once."""
        counts = Counter(item.start.task for item in self.driver.starts)
        return sum(1 for count in counts.values() if count > 1)

    def set_drain(self, data_centre: str, *, drain: bool) -> None:
        """Append an operator's change of a data centre's drain flag."""
        node = next(iter(self.driver.nodes.values()))
        control = node.core.state.control
        resource = control.resources.get(("datacentres", data_centre))
        body = ResourcePut(
            "datacentres",
            data_centre,
            resource.generation if resource else 0,
            {"drain": drain},
        )
        record = Record(
            f"drain-{data_centre}-{drain}", node.core.state.incarnation, body
        )
        self.driver._append(node, record)


def steady_round(workload: Workload, *, policy: str, seed: int) -> dict[str, Any]:
    """Run the workload at its load point and return its measures."""
    run = CoresRun.build(workload, policy=policy, seed=seed)
    duration_ms = workload.warm_up_ms + workload.duration_ms
    plans = plan_arrivals(
        workload, load=workload.load, duration_ms=duration_ms, seed=seed
    )
    run.load(plans)
    sent_before = len(run.driver.sent)
    run.driver.run(duration_ms + workload.drain_out_ms)
    measured = [plan for plan in plans if plan.at_ms >= workload.warm_up_ms]
    times = run.responses(measured)
    result: dict[str, Any] = {"ends": run.ends(), "started_twice": run.started_twice()}
    result.update(response_measures(workload, plans, measured, times))
    tasks = sum(len(plan.works) for plan in plans)
    waste = count_messages(run.driver.sent[sent_before:])
    seconds = (duration_ms + workload.drain_out_ms) / 1_000
    result["tasks"] = tasks
    result["waste"] = waste.per_1000(tasks)
    result["waste_total"] = round(sum(result["waste"].values()), 2)
    result["control_per_s"] = {
        kind: round(count / seconds, 1) for kind, count in waste.control.items()
    }
    return result


def idle_round(workload: Workload, *, policy: str, seed: int) -> dict[str, Any]:
    """Send single requests to an idle system; return the time added to the task."""
    run = CoresRun.build(workload, policy=policy, seed=seed)
    idle = workload.idle
    plans = [
        JobPlan(
            number=number,
            at_ms=number * idle.interval_ms + number % 7 / 7,
            works=[idle.run_ms],
            declared=[round(idle.run_ms)],
            entry=number % len(workload.data_centres),
            interactive=True,
            deadline_ms=workload.arrivals.single_deadline_ms,
        )
        for number in range(idle.requests)
    ]
    run.load(plans)
    run.driver.run(idle.requests * idle.interval_ms + 5_000)
    times = run.responses(plans)
    ran_ms = {
        int(item.start.spec.payload.split(b":")[0]): run.driver.run_ms(
            item.agent, item.start
        )
        for item in run.driver.starts
    }
    added = [time - ran_ms[number] for number, time in times.items()]
    return {"added_ms": percentiles_ms(added), "answered": len(times)}


def drain_round(workload: Workload, *, policy: str, seed: int) -> dict[str, Any]:
    """Take a data centre out of service under load and bring it back."""
    run = CoresRun.build(workload, policy=policy, seed=seed)
    phase = workload.drain
    plans = plan_arrivals(
        workload, load=phase.load, duration_ms=phase.duration_ms, seed=seed
    )
    run.load(plans)
    driver, start_ms = run.driver, run.start_ms
    # The entries poll the log at fixed times; each round changes at another moment.
    offset_ms = seed * 67 % LOG_POLL_MS
    drained_ms = start_ms + phase.at_ms + offset_ms
    restored_ms = start_ms + phase.restore_ms + offset_ms
    for at_ms, drain in ((drained_ms, True), (restored_ms, False)):
        driver.at(
            at_ms, lambda drain=drain: run.set_drain(phase.data_centre, drain=drain)
        )
    driver.run(phase.duration_ms + workload.drain_out_ms)
    runs = [
        TaskRun(
            split_process(item.agent)[1],
            item.at_ms - start_ms,
            item.at_ms - start_ms + driver.run_ms(item.agent, item.start),
        )
        for item in driver.starts
    ]
    result = {
        "ends": run.ends(),
        "started_twice": run.started_twice(),
        "last_start_after_drain_ms": last_start_ms(
            workload, runs, drained_ms - start_ms, restored_ms - start_ms
        ),
        "work_share": work_shares(workload, plans, runs),
    }
    result["refused"] = sum(
        count
        for name, count in result["ends"].items()
        if name not in ("complete", "lost")
    )
    result["lost"] = result["ends"]["lost"]
    return result
