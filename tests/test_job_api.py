"""Guards against answers to callers that are wrong, cut short or not true."""

from __future__ import annotations

import threading
from typing import Any

import pytest

from catkincross.effects import JobCancelRequested, JobLookedUp, JobSubmitted
from catkincross.http_api._http_app import build_app
from catkincross.ids import Incarnation, TaskId
from catkincross.messages import (
    JobAnswer,
    JobState,
    Reason,
    TaskResult,
    TaskStatus,
    Truth,
)
from catkincross.settings import HttpSettings, JobSettings
from scenarios.asgi import Answer, FakeGateway, call

KEY = {"Idempotency-Key": "k1"}
JOB = {"service": "s", "team": "t", "tasks": [{"payload": "a", "run_ms": 5}, {}]}
REQUEST = {"service": "s", "team": "t", "payload": "a"}


def _complete(payloads: list[bytes]) -> JobAnswer:
    results = [
        TaskResult(
            Incarnation("e1", 1), TaskId(b"k" * 16, index), TaskStatus.OK, payload=data
        )
        for index, data in enumerate(payloads)
    ]
    return JobAnswer(0, "t/k1", JobState.COMPLETE, results=results, tasks=len(results))


def _failed(reason: Reason, truth: Truth = Truth.NOT_RUN, wait_ms: int = 0) -> Any:
    return JobAnswer(0, "t/k1", JobState.FAILED, truth, reason, retry_after_ms=wait_ms)


def _submit(gateway: FakeGateway, body: Any = JOB, **more: Any) -> Answer:
    app = build_app(gateway, gateway.settings)
    headers = KEY | more.pop("headers", {})
    return call(app, "POST", more.pop("target", "/v1/jobs"), body, headers, **more)


def test_a_job_reaches_the_core_as_declared_and_is_answered_whole() -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: _complete([b"one", b"\xff"])
    answer = _submit(gateway, JOB | {"deadline_ms": 900, "interactive": True})
    (item,) = gateway.items
    assert isinstance(item, JobSubmitted)
    assert (item.key, item.team, item.service) == ("t/k1", "t", "s")
    assert (item.deadline_ms, item.interactive, len(item.tasks)) == (900, True, 2)
    assert (item.tasks[0].payload, item.tasks[0].run_ms) == (b"a", 5)
    assert answer.status == 200
    assert [r.get("payload") for r in answer.json["results"]] == ["one", None]
    assert answer.json["results"][1]["payload_base64"] == "/w=="


def test_a_streamed_answer_ends_with_a_line_that_shows_it_is_whole() -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: _complete([b"one", b"two"])
    answer = _submit(gateway, headers={"Accept": "application/x-ndjson"})
    first, one, two, last = answer.lines
    assert (first["state"], one["index"], two["payload"]) == ("complete", 0, "two")
    assert last == {"end": True, "results": 2}


def test_the_digest_tells_other_content_but_not_another_deadline() -> None:
    gateway = FakeGateway()
    bodies = [
        JOB,
        JOB | {"deadline_ms": 5},
        JOB | {"interactive": True},
        JOB | {"tasks": [{"payload": "a"}, {}]},
        # The same bytes in other tasks.
        JOB | {"tasks": [{"run_ms": 5}, {"payload": "a"}]},
    ]
    for body in bodies:
        _submit(gateway, body)
    digests = [item.digest for item in gateway.items if isinstance(item, JobSubmitted)]
    assert digests[0] == digests[1]
    assert len(set(digests)) == 4


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"{", "body"),
        (b"[" * 100_000, "body"),
        ([], "body"),
        ({"service": "s", "tasks": [{}]}, "team"),
        (JOB | {"team": "a/b"}, "team"),
        (JOB | {"team": "e1#5"}, "team"),
        (JOB | {"service": "\ud800"}, "service"),
        (JOB | {"tasks": []}, "tasks"),
        (JOB | {"tasks": [{}, {"size": -1}]}, "tasks[1].size"),
        (JOB | {"tasks": [{"run_ms": True}]}, "tasks[0].run_ms"),
        (JOB | {"tasks": [{"payload": "\ud800"}]}, "tasks[0].payload"),
        (JOB | {"tasks": [{"payload_base64": "*"}]}, "tasks[0].payload_base64"),
        (JOB | {"color": 1}, "color"),
        (JOB | {"interactive": 1}, "interactive"),
    ],
)
def test_bad_input_is_refused_with_its_field_and_starts_nothing(
    body: Any, field: str
) -> None:
    gateway = FakeGateway()
    answer = _submit(gateway, body)
    assert (answer.status, answer.json["field"]) == (400, field)
    assert (answer.json["state"], answer.json["truth"]) == ("failed", "not_run")
    assert not gateway.items


def test_a_job_without_a_key_is_refused() -> None:
    gateway = FakeGateway()
    answer = call(build_app(gateway, gateway.settings), "POST", "/v1/jobs", JOB)
    assert (answer.status, answer.json["field"]) == (400, "Idempotency-Key")


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (JOB | {"tasks": [{}, {}, {}]}, 400),
        (JOB | {"deadline_ms": 10_000}, 400),
        (JOB | {"deadline_ms": "soon"}, 400),
        (JOB | {"tasks": [{"payload": "x" * 2_000}]}, 413),
    ],
)
def test_a_limit_of_this_entry_claims_not_run_only_without_a_key(
    body: Any, status: int
) -> None:
    # Another entry, with other limits, may have taken the same key before.
    jobs = JobSettings(max_tasks=2, max_deadline_ms=5_000)
    gateway = FakeGateway(jobs=jobs, http=HttpSettings(max_body_bytes=1_024))
    answer = _submit(gateway, body)
    assert (answer.status, answer.json["truth"]) == (status, "may_have_run")
    assert answer.json["state"] == "unknown"
    app = build_app(gateway, gateway.settings)
    single = call(app, "POST", "/v1/requests", REQUEST | {"deadline_ms": 10_000})
    assert (single.status, single.json["truth"]) == (400, "not_run")
    assert not gateway.items


@pytest.mark.parametrize(
    ("reply", "status", "retry"),
    [
        (_failed(Reason.KEY_CONFLICT, Truth.NONE), 409, None),
        (_failed(Reason.QUOTA, wait_ms=1_500), 429, "2"),
        (_failed(Reason.OVERLOADED), 503, "1"),
        (_failed(Reason.NOT_CURRENT, wait_ms=900), 503, "1"),
        (_failed(Reason.DEADLINE, Truth.MAY_HAVE_RUN), 504, None),
        (_failed(Reason.DEADLINE_TOO_SHORT), 504, None),
        (_failed(Reason.TASK_FAILED, Truth.FAILED), 200, None),
        (_failed(Reason.OWNER_LOST, Truth.MAY_HAVE_RUN), 200, None),
        (_failed(Reason.CANCELLED), 200, None),
    ],
)
def test_the_status_code_follows_state_truth_and_reason(
    reply: JobAnswer, status: int, retry: str | None
) -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: reply
    answer = _submit(gateway)
    assert (answer.status, answer.headers.get("retry-after")) == (status, retry)
    assert answer.json["state"] == "failed"
    assert answer.json["truth"] == reply.truth
    assert answer.json["reason"] == reply.reason


def test_an_unknown_outcome_never_claims_not_run() -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: JobAnswer(
        0, "t/k1", JobState.UNKNOWN, reason=Reason.RECOVERING, retry_after_ms=1_000
    )
    answer = _submit(gateway)
    assert (answer.status, answer.headers["retry-after"]) == (503, "1")
    assert (answer.json["state"], answer.json["truth"]) == ("unknown", "may_have_run")


def test_without_an_answer_the_state_is_asked_for() -> None:
    gateway = FakeGateway()
    running = JobAnswer(0, "t/k1", JobState.RUNNING, tasks=2, tasks_done=1)
    gateway.reply = lambda item: running if isinstance(item, JobLookedUp) else None
    answer = _submit(gateway, target="/v1/jobs?wait=0")
    assert (answer.status, answer.json["state"]) == (202, "running")
    gateway.reply = lambda item: None
    answer = _submit(gateway, target="/v1/jobs?wait=0")
    assert (answer.status, answer.json["truth"]) == (202, "may_have_run")
    answer = _submit(gateway)
    assert (answer.status, answer.json["state"]) == (504, "unknown")


def test_a_request_without_a_key_that_gets_no_answer_may_have_run() -> None:
    gateway = FakeGateway()
    app = build_app(gateway, gateway.settings)
    answer = call(app, "POST", "/v1/requests", REQUEST | {"idempotent": True})
    (item,) = gateway.items
    assert (item.key, item.idempotent, item.interactive) == ("", True, True)
    assert (answer.status, answer.json["truth"]) == (504, "may_have_run")


def test_an_answer_over_the_limit_is_sent_only_as_lines() -> None:
    gateway = FakeGateway(http=HttpSettings(max_answer_bytes=1_024))
    gateway.reply = lambda item: _complete([b"x" * 2_000])
    answer = _submit(gateway)
    assert (answer.status, answer.json["state"]) == (413, "complete")
    assert answer.json["reason"] == "answer_too_large"
    answer = _submit(gateway, headers={"Accept": "application/x-ndjson"})
    assert len(answer.lines[1]["payload"]) == 2_000


def test_a_job_is_looked_up_with_its_whole_key() -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: (
        None if item.wait else JobAnswer(0, item.key, JobState.RUNNING)
    )
    app = build_app(gateway, gateway.settings)
    answer = call(app, "GET", "/v1/jobs/t/a%2Fb?wait=50")
    assert (answer.status, answer.json["key"]) == (200, "t/a/b")
    assert [item.wait for item in gateway.items] == [True, False]
    assert call(app, "GET", "/v1/jobs/t/a?wait=x").json["field"] == "wait"


def test_a_key_that_is_not_known_is_404_and_claims_nothing() -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: JobAnswer(0, "t/k1", JobState.ABSENT)
    app = build_app(gateway, gateway.settings)
    for method in ("GET", "DELETE"):
        answer = call(app, method, "/v1/jobs/t/k1")
        assert (answer.status, answer.json["state"]) == (404, "absent")
        assert answer.json["truth"] == "may_have_run"
    assert isinstance(gateway.items[1], JobCancelRequested)


def test_a_caller_that_leaves_is_not_waited_for() -> None:
    gateway = FakeGateway(http=HttpSettings(max_waiting=1))
    gateway.reply = lambda item: "never"
    _submit(gateway, until_lines=0)
    assert len(gateway.gone) == 1
    gateway.reply = lambda item: _complete([])
    assert _submit(gateway).status == 200


def test_callers_over_the_limit_are_refused() -> None:
    gateway = FakeGateway()
    gateway.settings.http.max_waiting = 0
    answer = _submit(gateway)
    assert (answer.status, answer.headers["retry-after"]) == (429, "1")
    assert (answer.json["truth"], gateway.items) == ("may_have_run", [])


def test_ready_means_joined_and_current() -> None:
    gateway = FakeGateway()
    app = build_app(gateway, gateway.settings)
    assert call(app, "GET", "/healthz").status == 200
    assert call(app, "GET", "/readyz").status == 200
    gateway.state.now_ms = 10_000
    assert call(app, "GET", "/readyz").json["reason"] == "not_current"
    gateway.state.incarnation = None
    assert call(app, "GET", "/readyz").json["reason"] == "not_ready"


def test_a_fault_of_the_entry_does_not_claim_not_run() -> None:
    gateway = FakeGateway()
    gateway.reply = lambda item: 1 / 0
    answer = _submit(gateway)
    assert (answer.status, answer.json["truth"]) == (500, "may_have_run")


def test_an_unknown_path_has_a_body_like_other_refusals() -> None:
    gateway = FakeGateway()
    answer = call(build_app(gateway, gateway.settings), "PATCH", "/v1/jobs")
    assert (answer.status, answer.json["reason"]) == (405, "no_route")


def test_a_long_streamed_answer_comes_in_chunks_on_the_loop() -> None:
    # A plain iterator would be read by a thread, and each line sent by itself.
    gateway = FakeGateway()
    gateway.reply = lambda item: _complete([b"x" * 1_000] * 200)
    threads = threading.active_count()
    answer = _submit(gateway, headers={"Accept": "application/x-ndjson"})
    assert threading.active_count() == threads
    assert [line["index"] for line in answer.lines[1:-1]] == list(range(200))
    assert answer.chunks < 10
