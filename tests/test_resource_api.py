"""Guards against changes that are lost, reverted or reported wrongly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from catkincross.effects import ChangeProposed, ChangeReply
from catkincross.http_api._http_app import build_app
from catkincross.http_api._resource_watch import ResourceFeed
from catkincross.ids import Incarnation
from catkincross.records import Record, ResourceDeleted, ResourcePut
from catkincross.resources._fold import fold_record
from catkincross.settings import HttpSettings
from scenarios.asgi import Answer, FakeGateway, call

PERTH = "/v1/datacentres/perth"
DRAIN = {"spec": {"drain": True}}


class LogGateway(FakeGateway):
    """An entry whose changes are folded at once."""

    def __init__(self, **changes: Any) -> None:
        super().__init__(**changes)
        self.reply = self._fold

    def _fold(self, item: ChangeProposed) -> ChangeReply:
        return self.fold(item.record, item.request_id)

    def fold(self, record: Record, request_id: int = 0) -> ChangeReply:
        """Fold a record at the next offset."""
        control = self.state.control
        reason = fold_record(control, control.version + 1, record, 0)
        outcome = "refused" if reason else "accepted"
        return ChangeReply(request_id, record.id, outcome, reason, control.version)

    def change(self, name: str, body: Any) -> Callable[[], None]:
        """Return an action that folds a change of another author."""
        author = Incarnation("e1", 1)
        return lambda: self.fold(Record(name, author, body)) and None


def _call(gateway: FakeGateway, method: str, target: str, *args: Any) -> Answer:
    return call(build_app(gateway, gateway.settings), method, target, *args)


def test_a_resource_is_created_changed_read_and_deleted() -> None:
    gateway = LogGateway()
    created = _call(gateway, "PUT", PERTH, DRAIN)
    assert (created.status, created.json["state"]) == (201, "accepted")
    read = _call(gateway, "GET", PERTH)
    assert read.json["spec"] == {"drain": True}
    assert read.headers["etag"] == '"1"'
    changed = _call(gateway, "PUT", PERTH, {"spec": {"drain": False}})
    assert (changed.status, changed.json["generation"]) == (200, 2)
    listed = _call(gateway, "GET", "/v1/datacentres").json
    assert [item["metadata"]["name"] for item in listed["items"]] == ["perth"]
    assert listed["resource_version"] == changed.json["resource_version"]
    assert _call(gateway, "DELETE", PERTH).status == 200
    assert _call(gateway, "GET", PERTH).status == 404
    assert _call(gateway, "DELETE", PERTH).json["reason"] == "absent"


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ({"If-Match": '"1"'}, DRAIN),
        ({"If-Match": "1"}, DRAIN),
        ({"If-None-Match": "*"}, DRAIN),
        ({}, DRAIN | {"metadata": {"generation": 1}}),
    ],
)
def test_a_change_of_an_older_generation_is_a_conflict(
    headers: dict[str, str], body: Any
) -> None:
    gateway = LogGateway()
    for _ in range(2):
        _call(gateway, "PUT", PERTH, DRAIN)
    answer = _call(gateway, "PUT", PERTH, body, headers)
    assert (answer.status, answer.json["reason"]) == (409, "lost_race")
    assert (answer.json["truth"], answer.json["generation"]) == ("not_applied", 2)
    assert _call(gateway, "DELETE", PERTH, None, {"If-Match": "1"}).status == 409
    assert len(gateway.items) == 2


def test_a_race_that_is_lost_in_the_log_is_a_conflict() -> None:
    gateway = LogGateway()
    other = gateway.change("x", ResourcePut("datacentres", "perth", 0, {}))

    def lose(item: ChangeProposed) -> ChangeReply:
        other()
        return gateway.fold(item.record)

    gateway.reply = lose
    answer = _call(gateway, "PUT", PERTH, DRAIN)
    assert (answer.status, answer.json["generation"]) == (409, 1)
    change = _call(gateway, "GET", f"/v1/changes/{answer.json['id']}")
    assert (change.status, change.json["state"]) == (200, "refused")


@pytest.mark.parametrize("outcome", ["unknown", None])
def test_an_outcome_that_is_not_known_is_202_until_it_is_read(
    outcome: str | None,
) -> None:
    gateway = LogGateway()
    proposed: list[Record] = []

    def keep(item: ChangeProposed) -> ChangeReply | None:
        proposed.append(item.record)
        return outcome and ChangeReply(0, item.record.id, outcome)

    gateway.reply = keep
    answer = _call(gateway, "PUT", PERTH, DRAIN)
    assert (answer.status, answer.json["truth"]) == (202, "may_be_applied")
    target = f"/v1/changes/{answer.json['id']}"
    assert _call(gateway, "GET", target).status == 202
    gateway.fold(proposed[0])
    change = _call(gateway, "GET", target)
    assert (change.status, change.json["state"]) == (200, "accepted")


@pytest.mark.parametrize(
    ("reason", "status"),
    [("log_unreachable", 503), ("quota", 429), ("not_current", 503)],
)
def test_a_refused_change_says_when_to_try_again(reason: str, status: int) -> None:
    gateway = LogGateway()
    gateway.reply = lambda item: ChangeReply(0, item.record.id, "refused", reason)
    answer = _call(gateway, "PUT", PERTH, DRAIN)
    assert (answer.status, answer.headers["retry-after"]) == (status, "1")
    assert (answer.json["state"], answer.json["truth"]) == ("refused", "not_applied")


@pytest.mark.parametrize(
    ("target", "body", "field"),
    [
        (PERTH, {"spec": {"drain": "yes"}}, "spec.drain"),
        (PERTH, {"spec": {"weight": 1}}, "spec.weight"),
        (PERTH, {}, "spec"),
        (PERTH, DRAIN | {"extra": 1}, "extra"),
        (PERTH, DRAIN | {"metadata": {"generation": "1"}}, "metadata.generation"),
        ("/v1/upstreams/u1", {"spec": {"weight": 0}}, "spec.weight"),
        ("/v1/teams/t1", {"spec": {"weight": 0}}, "spec.weight"),
        ("/v1/teams/t", {"spec": {"limits": {"x": 1}}}, "spec.limits.x"),
        ("/v1/configurations/c", {"spec": {}}, "spec.data"),
        ("/v1/configurations/c", {"spec": {"data": {"a": "x" * 70_000}}}, "spec"),
        ("/v1/datacentres/a%20b", DRAIN, "name"),
    ],
)
def test_a_spec_that_is_wrong_is_refused_with_its_field(
    target: str, body: Any, field: str
) -> None:
    gateway = LogGateway()
    answer = _call(gateway, "PUT", target, body)
    assert (answer.status, answer.json["field"]) == (400, field)
    assert not gateway.items


def test_entries_are_read_only_and_unknown_kinds_are_named() -> None:
    gateway = LogGateway()
    assert _call(gateway, "PUT", "/v1/entries/e1", DRAIN).status == 405
    answer = _call(gateway, "GET", "/v1/planets")
    assert answer.status == 404 and "datacentres" in answer.json["detail"]


def test_changes_need_the_token_and_reads_do_not() -> None:
    gateway = LogGateway(http=HttpSettings(token="s3cret"))
    for headers in ({}, {"Authorization": "Bearer no"}, {"Authorization": "s3cret"}):
        for method in ("PUT", "DELETE"):
            assert _call(gateway, method, PERTH, DRAIN, headers).status == 401
    headers = {"Authorization": "Bearer s3cret"}
    assert _call(gateway, "PUT", PERTH, DRAIN, headers).status == 201
    assert _call(gateway, "GET", PERTH).status == 200


def test_an_entry_that_has_not_joined_takes_no_change() -> None:
    gateway = LogGateway()
    gateway.state.incarnation = None
    assert _call(gateway, "PUT", PERTH, DRAIN).json["reason"] == "not_ready"
    assert _call(gateway, "GET", "/v1/teams").status == 503


def _events(gateway: FakeGateway, query: str, count: int) -> list[Any]:
    app = build_app(gateway, gateway.settings)
    _call(gateway, "GET", "/v1/datacentres")
    target = f"/v1/datacentres?watch=true{query}"
    answer = call(app, "GET", target, until_lines=count)
    assert answer.status == 200, answer.body
    return answer.lines[:count]


def test_a_watch_sends_what_exists_then_each_change() -> None:
    gateway = LogGateway()
    _call(gateway, "PUT", PERTH, DRAIN)
    gateway.on_wait = [
        gateway.change("x", ResourcePut("datacentres", "dundee", 0, {})),
        gateway.change("y", ResourceDeleted("datacentres", "perth", 1)),
    ]
    put, bookmark, second, deleted = _events(gateway, "", 4)
    assert put["resource"]["metadata"]["name"] == "perth"
    assert bookmark == {
        "event": "bookmark",
        "kind": "datacentres",
        "resource_version": 2,
    }
    assert second["resource"]["metadata"]["name"] == "dundee"
    assert (deleted["event"], deleted["name"]) == ("deleted", "perth")


def test_a_watch_resumes_with_what_came_after_its_version() -> None:
    gateway = LogGateway()
    app = build_app(gateway, gateway.settings)
    for name in ("perth", "dundee"):
        call(app, "PUT", f"/v1/datacentres/{name}", DRAIN)
    version = call(app, "GET", "/v1/datacentres").json["resource_version"]
    call(app, "DELETE", PERTH)
    call(app, "PUT", "/v1/datacentres/stirling", DRAIN)
    target = f"/v1/datacentres?watch=true&resource_version={version}"
    lines = call(app, "GET", target, until_lines=3).lines
    assert [line["event"] for line in lines[:3]] == ["deleted", "put", "bookmark"]
    assert lines[0]["name"] == "perth"
    assert lines[1]["resource"]["metadata"]["name"] == "stirling"


def test_a_version_that_is_too_old_or_too_new_is_refused() -> None:
    gateway = LogGateway()
    app = build_app(gateway, gateway.settings)
    for number in range(3):
        call(app, "PUT", f"/v1/datacentres/d{number}", DRAIN)
    watch = "/v1/datacentres?watch=true&resource_version="
    old = call(app, "GET", f"{watch}2")
    assert (old.status, old.json["reason"]) == (410, "too_old")
    new = call(app, "GET", f"{watch}99")
    assert (new.status, new.json["reason"]) == (503, "not_current")


def test_a_feed_does_not_resume_past_deletions_that_it_forgot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("catkincross.http_api._resource_watch.KEPT_DELETIONS", 1)
    gateway = LogGateway()
    feed = ResourceFeed(gateway, "datacentres")
    for name in ("a", "b"):
        gateway.change(name, ResourcePut("datacentres", name, 0, {}))()
    version = feed.refresh()
    assert feed.sequence_at(version) is not None
    for name in ("a", "b"):
        gateway.change(f"-{name}", ResourceDeleted("datacentres", name, 1))()
    feed.refresh()
    assert feed.sequence_at(version) is None


def test_a_watch_ends_when_the_entry_leaves() -> None:
    gateway = LogGateway()
    gateway.on_wait = [lambda: setattr(gateway.state, "stopping", True)]
    app = build_app(gateway, gateway.settings)
    answer = call(app, "GET", "/v1/datacentres?watch=true")
    assert [line["event"] for line in answer.lines] == ["bookmark"]


def test_a_watch_sends_a_changed_status_though_no_record_was_added(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gateway = LogGateway()
    _call(gateway, "PUT", PERTH, DRAIN)
    drained, listings = [False], []

    def listed(state: Any, kind: str) -> list[Any]:
        listings.append(kind)
        metadata = {"name": "perth", "generation": 1, "resource_version": 2}
        status = {"drained": drained[0]}
        return [{"metadata": metadata, "spec": {}, "status": status}]

    monkeypatch.setattr("catkincross.http_api._resource_watch.list_documents", listed)

    def drain_ends() -> None:
        drained[0] = True
        gateway.state.now_ms += 1_000

    gateway.on_wait = [lambda: None, lambda: None, drain_ends]
    app = build_app(gateway, gateway.settings)
    lines = call(app, "GET", "/v1/datacentres?watch=true", until_lines=3).lines
    puts = [line["resource"]["status"] for line in lines if line["event"] == "put"]
    assert puts == [{"drained": False}, {"drained": True}]
    # The waits without a change of version or time compared nothing.
    assert len(listings) == 2
