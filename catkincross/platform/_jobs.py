"""Parses jobs that client accounts submit on the platform."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from ..jobs import JobSpec, QueuePolicy, Schedule, Step

ID_DIGITS = 16
MAX_PAYLOAD_BYTES = 4_000
# Step fields that ask for unsupported features. The fields for the number of tasks that
# may be missing and for the response time of serving tasks are accepted but ignored:
# they matter only to a system that ends healthy runs itself or starts tasks to fill
# spare capacity.
UNSUPPORTED_STEP_FIELDS = ("fills",)
# Limit for the tasks of all occurrences of a job; the owner keeps each in memory.
MAX_TASKS = 100_000


@attrs.frozen
class InvalidJob:
    """Reason why a request body was not accepted as a job.

    Attributes:
        problem: Path of the invalid field, and what is wrong with it.
        unsupported: Whether the job is well-formed but needs an unsupported feature.
    """

    problem: str
    unsupported: bool = False


def read_route(path: str, prefix: str) -> str:
    """Return the job ID in a request path; empty if the path is that of the queue."""
    return path[len(prefix) :].strip("/")


def read_job(job_id: str, body: bytes, policy: QueuePolicy) -> JobSpec | InvalidJob:
    """Parse and check the job in a request body.

    Args:
        job_id: ID from the request path; must be 16 hexadecimal digits.
        body: JSON object.
        policy: Policy of the queue, which becomes part of the job.
    """
    if len(job_id) != ID_DIGITS or not _is_hex(job_id):
        return InvalidJob("the job ID must have 16 hexadecimal digits")
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return InvalidJob("the body is not JSON")
    if not isinstance(fields, dict):
        return InvalidJob("the body is not a JSON object")
    payload = fields.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        return InvalidJob("spec: not a string of at most 4,000 bytes")
    step_items = fields.get("steps")
    if not isinstance(step_items, list) or not step_items:
        return InvalidJob("steps: not a list of at least one step")
    # The flag may be set on the job and then applies to all of its steps.
    job_long_running = bool(fields.get("long_running", False))
    steps: list[Step] = []
    for index, step_fields in enumerate(step_items):
        parsed = _read_step(index, step_fields)
        if isinstance(parsed, InvalidJob):
            return parsed
        steps.append(
            attrs.evolve(parsed, long_running=True) if job_long_running else parsed
        )
    # The platform calls a volatile job, one that is not stored, best effort.
    volatile = bool(fields.get("best_effort", False))
    if volatile and any(step.long_running for step in steps):
        return InvalidJob(
            "long_running: not allowed with best_effort, whose answer is the job's end"
        )
    schedule = _read_schedule(fields, steps)
    if isinstance(schedule, InvalidJob):
        return schedule
    if volatile and schedule is not None:
        return InvalidJob(
            "repeat_count: not allowed with best_effort, whose answer is the job's end"
        )
    return JobSpec(job_id, payload, tuple(steps), policy, volatile, schedule)


def _read_schedule(
    fields: dict[str, Any], steps: list[Step]
) -> Schedule | InvalidJob | None:
    numbers = {}
    for name in ("repeat_count", "first_run_ms", "interval_ms"):
        value = fields.get(name, 0)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            return InvalidJob(f"{name}: not a whole number")
        numbers[name] = value
    count = numbers["repeat_count"]
    if not count:
        return None
    if count * sum(step.count for step in steps) > MAX_TASKS:
        return InvalidJob(
            f"repeat_count: more than {MAX_TASKS:,} tasks in all occurrences"
        )
    return Schedule(count, numbers["first_run_ms"], numbers["interval_ms"])


def _is_hex(text: str) -> bool:
    return all(digit in "0123456789abcdefABCDEF" for digit in text)


def _read_step(index: int, fields: Any) -> Step | InvalidJob:
    path = f"steps.{index}"
    if not isinstance(fields, dict):
        return InvalidJob(f"{path}: not an object")
    for name in UNSUPPORTED_STEP_FIELDS:
        if fields.get(name):
            return InvalidJob(f"{path}.{name}: not supported", unsupported=True)
    numbers = {}
    for name in ("count", "cpu", "mem_mb", "gpu", "estimate_ms", "anti_affinity"):
        value = fields.get(name, 0)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            return InvalidJob(f"{path}.{name}: not a whole number")
        numbers[name] = value
    if not numbers["count"]:
        return InvalidJob(f"{path}.count: must be at least 1")
    after = fields.get("after", [])
    if not isinstance(after, list) or not all(
        isinstance(step, int) and 0 <= step < index for step in after
    ):
        return InvalidJob(f"{path}.after: not a list of indexes of earlier steps")
    for name in ("requires", "data_rack"):
        if not isinstance(fields.get(name, ""), str):
            return InvalidJob(f"{path}.{name}: not a string")
    return Step(
        numbers["count"],
        numbers["cpu"],
        numbers["mem_mb"],
        numbers["gpu"],
        numbers["estimate_ms"],
        tuple(after),
        bool(fields.get("checkpointing", False)),
        fields.get("requires", ""),
        fields.get("data_rack", ""),
        numbers["anti_affinity"],
        bool(fields.get("allow_duplicates", False)),
        bool(fields.get("long_running", False)),
        bool(fields.get("gang", False)),
        bool(fields.get("same_rack", False)),
    )
