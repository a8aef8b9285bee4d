"""Bodies of callers' requests and of the answers to them."""

from __future__ import annotations

import base64
import binascii
import json
import re
from typing import Any

import attrs
import xxhash
from returns.result import Failure, Result, Success

from ..foundation._ids import job_key
from ..foundation._validation import JSON_CONVERTER, Problem, read_fields
from ..protocol._effects import JobSubmitted
from ..protocol._messages import JobAnswer, JobState, TaskResult, TaskSpec, Truth
from ..settings._settings import JobSettings, setting

DEFAULT_DEADLINE_MS = 60_000
# `#` and `/` stay out of team names: keys of requests without one contain `#`, and
# `/` separates the team from the caller's key.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
KEY = re.compile(r"[!-~]{1,200}")


@attrs.frozen
class TaskBody:
    """A task as the caller declares it."""

    payload: str = setting("")
    payload_base64: str = setting("")
    size: int = setting(0, unit="bytes", low=0, high=2**53 - 1)
    run_ms: int = setting(0, unit="ms", low=0, high=86_400_000)
    memory_mb: int = setting(0, unit="MB", low=0, high=100_000_000)
    accelerators: int = setting(0, low=0, high=1_024)


@attrs.frozen
class JobBody:
    """Body of `POST /v1/jobs`."""

    service: str = setting(high=63)
    team: str = setting(high=63)
    tasks: list[TaskBody] = setting(low=1)
    deadline_ms: int = setting(DEFAULT_DEADLINE_MS, unit="ms", low=1)
    interactive: bool = setting(False)


@attrs.frozen
class RequestBody(TaskBody):
    """Body of `POST /v1/requests`: one task with the fields of its job."""

    service: str = setting(high=63)
    team: str = setting(high=63)
    deadline_ms: int = setting(DEFAULT_DEADLINE_MS, unit="ms", low=1)
    interactive: bool = setting(True)
    idempotent: bool = setting(False)


@attrs.frozen
class BadSubmission:
    """Why a submission is not accepted.

    Attributes:
        never_valid: No entry can have accepted this content under its key.
    """

    problem: Problem
    never_valid: bool = True


def read_submission(
    cls: type, data: Any, *, key: str, settings: JobSettings
) -> Result[JobSubmitted, BadSubmission]:
    """Return the job that a body describes; its request id is not set.

    Args:
        cls: `JobBody` or `RequestBody`.
        data: The JSON value of the body.
        key: The caller's idempotency key, or an empty string.
        settings: Limits of jobs.
    """
    if key and not KEY.fullmatch(key):
        text = "allowed are 1 to 200 visible ASCII characters"
        return Failure(BadSubmission(Problem(("Idempotency-Key",), text)))
    match read_fields(cls, data, converter=JSON_CONVERTER):
        case Success(body):
            return _checked_job(body, key, settings)
        case Failure(problem):
            # The deadline is no part of the content that the key stands for.
            never_valid = problem.path[:1] != ("deadline_ms",)
            return Failure(BadSubmission(problem, never_valid))


def _checked_job(
    body: JobBody | RequestBody, key: str, settings: JobSettings
) -> Result[JobSubmitted, BadSubmission]:
    for name, text in (("team", body.team), ("service", body.service)):
        if not NAME.fullmatch(text):
            text = "allowed are letters, digits, dots, dashes and underscores"
            return Failure(BadSubmission(Problem((name,), text)))
    single = isinstance(body, RequestBody)
    items = [body] if single else body.tasks
    for name, value, limit, unit in (
        ("tasks", len(items), settings.max_tasks, "tasks"),
        ("deadline_ms", body.deadline_ms, settings.max_deadline_ms, "ms"),
    ):
        if value > limit:
            text = f"{value} is out of bounds; allowed are at most {limit} {unit}"
            return Failure(BadSubmission(Problem((name,), text), never_valid=False))
    tasks = []
    for index, item in enumerate(items):
        path = () if single else ("tasks", str(index))
        match _payload(item, path):
            case Success(payload):
                tasks.append(_spec(item, payload))
            case Failure(problem):
                return Failure(BadSubmission(problem))
    return Success(_job(body, key, tasks))


def _payload(item: TaskBody, path: tuple[str, ...]) -> Result[bytes, Problem]:
    if item.payload and item.payload_base64:
        text = "allowed is either payload or payload_base64"
        return Failure(Problem((*path, "payload_base64"), text))
    try:
        if item.payload_base64:
            return Success(base64.b64decode(item.payload_base64, validate=True))
        return Success(item.payload.encode())
    except binascii.Error:
        return Failure(Problem((*path, "payload_base64"), "allowed is base64"))
    except UnicodeEncodeError:
        return Failure(Problem((*path, "payload"), "allowed is Unicode text"))


def _spec(item: TaskBody, payload: bytes) -> TaskSpec:
    return TaskSpec(
        payload=payload,
        size=item.size,
        run_ms=item.run_ms,
        memory_mb=item.memory_mb,
        accelerators=item.accelerators,
    )


def _job(body: JobBody | RequestBody, key: str, tasks: list[TaskSpec]) -> JobSubmitted:
    idempotent = isinstance(body, RequestBody) and body.idempotent
    return JobSubmitted(
        request_id=0,
        key=job_key(body.team, key) if key else "",
        digest=content_digest(body.service, idempotent, body.interactive, tasks),
        team=body.team,
        service=body.service,
        tasks=tasks,
        deadline_ms=body.deadline_ms,
        idempotent=idempotent,
        interactive=body.interactive,
    )


def content_digest(
    service: str, idempotent: bool, interactive: bool, tasks: list[TaskSpec]
) -> bytes:
    """Return the 16-byte hash of what a job runs.

    The deadline is left out: a caller that submits again may have less time left.
    """
    sizes = [
        (len(task.payload), task.size, task.run_ms, task.memory_mb, task.accelerators)
        for task in tasks
    ]
    head = json.dumps([service, idempotent, interactive, sizes]).encode()
    # With the lengths in the head, the payloads need no separators.
    digest = xxhash.xxh3_128(head)
    for task in tasks:
        digest.update(task.payload)
    return digest.digest()


def shown_truth(answer: JobAnswer) -> str:
    """Return the truth of an answer; an unknown outcome may have run."""
    return Truth.MAY_HAVE_RUN if answer.state is JobState.UNKNOWN else answer.truth


def answer_document(answer: JobAnswer) -> dict[str, Any]:
    """Return the JSON form of a job's state or end, without its results."""
    document = {
        "key": answer.key,
        "state": answer.state,
        "truth": shown_truth(answer),
        "reason": answer.reason,
        "tasks": answer.tasks,
        "tasks_done": answer.tasks_done,
    }
    if answer.retry_after_ms:
        document["retry_after_ms"] = answer.retry_after_ms
    return document


def result_document(result: TaskResult) -> dict[str, Any]:
    """Return the JSON form of a task's result.

    The payload is text if it is UTF-8, and otherwise `payload_base64`.
    """
    document: dict[str, Any] = {
        "index": result.task.index,
        "status": result.status,
        "reason": result.reason,
        "not_run": result.not_run,
        "run_ms": result.run_ms,
        "upstream": result.upstream,
    }
    try:
        document["payload"] = result.payload.decode()
    except UnicodeDecodeError:
        document["payload_base64"] = base64.b64encode(result.payload).decode()
    return document
