"""HTTP API of the operators: declared resources, their status and watches."""

from __future__ import annotations

import re
import uuid
from typing import Any

from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from ..entry_core._appends import ACCEPTED, REFUSED, UNKNOWN, change_status
from ..foundation._validation import Problem
from ..protocol._effects import ChangeProposed, ChangeReply
from ..protocol._messages import Reason
from ..protocol._records import Record, RecordBody, ResourceDeleted, ResourcePut
from ..resources._fold import LOST_RACE
from ..settings._settings import EntrySettings
from ._gateway import EntryGateway
from ._http_answers import (
    JSON_LINES,
    RETRY_AFTER_MS,
    HttpReason,
    bad_input,
    may_change,
    parse_json,
    quiet_disconnect,
    read_body,
    refusal,
    unless_disconnected,
    whole_number,
)
from ._resource_specs import KINDS, READ_ONLY_KINDS, check_name, check_spec
from ._resource_status import resource_document
from ._resource_watch import ResourceFeed, watch_lines

NOT_APPLIED, APPLIED, MAY_APPLY = "not_applied", "applied", "may_be_applied"
LIMIT_REASONS = {Reason.OVERLOADED, Reason.QUOTA}
# The core answers by itself; this is for an answer that is late.
ANSWER_GRACE_MS = 1_000
CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,200}")


class ResourceApi:
    """Routes of resources and changes.

    Args:
        gateway: The running entry.
        settings: The entry's settings.
    """

    def __init__(self, gateway: EntryGateway, settings: EntrySettings) -> None:
        self.gateway = gateway
        self.settings = settings
        self.feeds = {kind: ResourceFeed(gateway, kind) for kind in KINDS}

    def routes(self) -> list[Route]:
        """Return the routes for starlette."""
        one = "/v1/{kind}/{name}"
        return [
            Route("/v1/changes/{id}", self.get_change, methods=["GET"]),
            Route("/v1/{kind}", self.get_all, methods=["GET"]),
            Route(one, self.get_one, methods=["GET"]),
            Route(one, quiet_disconnect(self.put), methods=["PUT"]),
            Route(one, quiet_disconnect(self.delete), methods=["DELETE"]),
        ]

    async def get_one(self, request: Request) -> Response:
        """Answer one resource."""
        kind, name = request.path_params["kind"], request.path_params["name"]
        if kind not in KINDS:
            return _unknown_kind(kind)
        if self.gateway.state.incarnation is None:
            return _not_ready()
        return self._document(kind, name, 200)

    def _document(self, kind: str, name: str, status: int) -> Response:
        document = resource_document(self.gateway.state, kind, name)
        if document is None:
            return _absent(kind, name)
        headers = {"ETag": f'"{document["metadata"].get("generation", 0)}"'}
        return JSONResponse(document, status_code=status, headers=headers)

    async def get_all(self, request: Request) -> Response:
        """Answer all resources of a kind, or watch them."""
        kind = request.path_params["kind"]
        if kind not in KINDS:
            return _unknown_kind(kind)
        if self.gateway.state.incarnation is None:
            return _not_ready()
        feed = self.feeds[kind]
        if request.query_params.get("watch", "false") in ("true", "1"):
            return self._watch(request, feed)
        version = feed.refresh()
        items = [seen.document for seen in feed.live.values()]
        return JSONResponse({"kind": kind, "resource_version": version, "items": items})

    def _watch(self, request: Request, feed: ResourceFeed) -> Response:
        match whole_number(request, "resource_version", 0):
            case Failure(problem):
                return bad_input(problem, state=REFUSED, truth="")
            case Success(since):
                pass
        shown, after = feed.refresh(), -1
        if "resource_version" in request.query_params:
            if since > shown:
                detail = f"this entry has version {shown} and does not know {since} yet"
                return _unavailable(Reason.NOT_CURRENT, detail)
            sequence = feed.sequence_at(since)
            if sequence is None:
                detail = f"version {since} is not kept here; list again"
                return refusal(410, HttpReason.TOO_OLD, detail, state=REFUSED, truth="")
            after = sequence
        lines = watch_lines(feed, after, bookmark_ms=self.settings.http.bookmark_ms)
        return StreamingResponse(lines, media_type=JSON_LINES)

    async def put(self, request: Request) -> Response:
        """Create or change a resource."""
        kind, name = request.path_params["kind"], request.path_params["name"]
        refused = self._check_change(request, kind, name)
        if refused is not None:
            return refused
        body = await read_body(request, self.settings.http.max_body_bytes)
        if body is None:
            limit = self.settings.http.max_body_bytes
            detail = f"the body has more than {limit} bytes"
            return _refused(413, HttpReason.TOO_LARGE, detail)
        match parse_json(body).bind(lambda data: _read_put(kind, data)):
            case Failure(problem):
                return _bad(problem)
            case Success((spec, generation)):
                pass
        match self._expected(request, kind, name, generation):
            case Failure(problem):
                return _bad(problem)
            case Success(expected):
                pass
        change = ResourcePut(kind, name, expected, spec)
        return await self._propose(request, change)

    async def delete(self, request: Request) -> Response:
        """Delete a resource."""
        kind, name = request.path_params["kind"], request.path_params["name"]
        refused = self._check_change(request, kind, name)
        if refused is not None:
            return refused
        if (kind, name) not in self.gateway.state.control.resources:
            return _absent(kind, name)
        match self._expected(request, kind, name, None):
            case Failure(problem):
                return _bad(problem)
            case Success(expected):
                change = ResourceDeleted(kind, name, expected)
        return await self._propose(request, change)

    def _check_change(self, request: Request, kind: str, name: str) -> Response | None:
        if kind not in KINDS:
            return _unknown_kind(kind)
        if not may_change(request, self.settings.http.token):
            detail = "changes need the header Authorization: Bearer TOKEN"
            response = _refused(401, HttpReason.UNAUTHORIZED, detail)
            response.headers["WWW-Authenticate"] = "Bearer"
            return response
        if kind in READ_ONLY_KINDS:
            detail = f"{kind} follow the running processes and cannot be declared"
            response = _refused(405, HttpReason.READ_ONLY, detail)
            response.headers["Allow"] = "GET"
            return response
        match check_name(name):
            case Failure(problem):
                return _bad(problem)
        return None if self.gateway.state.incarnation is not None else _not_ready()

    def _expected(
        self, request: Request, kind: str, name: str, generation: int | None
    ) -> Result[int, Problem]:
        if request.headers.get("if-none-match", "").strip() == "*":
            return Success(0)
        text = request.headers.get("if-match", "").strip()
        if text:
            number = text.removeprefix("W/").strip('"')
            if number.isascii() and number.isdigit() and len(number) <= 18:
                return Success(int(number))
            allowed = "allowed is the generation, a whole number"
            return Failure(Problem(("If-Match",), allowed))
        if generation is not None:
            return Success(generation)
        resource = self.gateway.state.control.resources.get((kind, name))
        return Success(0 if resource is None else resource.generation)

    async def _propose(
        self, request: Request, change: ResourcePut | ResourceDeleted
    ) -> Response:
        state = self.gateway.state
        current = state.control.resources.get((change.kind, change.name))
        generation = 0 if current is None else current.generation
        if change.expected_generation < generation:
            # The generation only grows, so no append is spent on a change that is
            # lost. After a deletion that this entry has not read, another try works.
            return self._conflict(change, "")
        record = Record(_change_id(state.name), state.incarnation, change)
        pending_reply = self.gateway.request(
            lambda number: ChangeProposed(number, record),
            timeout_ms=self.settings.control.change_answer_ms + ANSWER_GRACE_MS,
        )
        reply = await unless_disconnected(request, pending_reply)
        if reply is None:
            return _pending(record.id)
        assert isinstance(reply, ChangeReply)
        return self._outcome(change, reply, created=generation == 0)

    def _outcome(
        self, change: RecordBody, reply: ChangeReply, *, created: bool
    ) -> Response:
        if reply.outcome == UNKNOWN:
            return _pending(reply.record_id)
        if reply.outcome == ACCEPTED:
            return self._accepted(change, reply, created=created)
        if reply.reason == LOST_RACE:
            return self._conflict(change, reply.record_id)
        if reply.reason in LIMIT_REASONS:
            detail = "too many changes at one time"
            return _refused(429, reply.reason, detail, id=reply.record_id)
        detail = f"the change was not accepted: {reply.reason}"
        return _unavailable(reply.reason, detail, id=reply.record_id)

    def _accepted(
        self, change: RecordBody, reply: ChangeReply, *, created: bool
    ) -> Response:
        body: dict[str, Any] = {
            "state": ACCEPTED,
            "truth": APPLIED,
            "reason": "",
            "id": reply.record_id,
            "resource_version": reply.version,
        }
        if isinstance(change, ResourcePut):
            generation = change.expected_generation + 1
            body["generation"] = generation
            body["resource"] = resource_document(
                self.gateway.state, change.kind, change.name
            )
        status = 201 if created else 200
        return JSONResponse(body, status_code=status)

    def _conflict(
        self, change: ResourcePut | ResourceDeleted, record_id: str
    ) -> Response:
        current = self.gateway.state.control.resources.get((change.kind, change.name))
        generation = 0 if current is None else current.generation
        detail = (
            f"{change.kind}/{change.name} has generation {generation}, "
            f"the change expected {change.expected_generation}"
        )
        return _refused(409, LOST_RACE, detail, id=record_id, generation=generation)

    async def get_change(self, request: Request) -> Response:
        """Answer what has become of a change."""
        change_id = request.path_params["id"]
        if not CHANGE_ID.fullmatch(change_id):
            detail = "no change can have this id"
            return _refused(404, HttpReason.UNKNOWN_CHANGE, detail)
        known = change_status(self.gateway.state, change_id)
        if known.outcome == UNKNOWN:
            return _pending(change_id)
        body = {
            "state": known.outcome,
            "truth": APPLIED if known.outcome == ACCEPTED else NOT_APPLIED,
            "reason": known.reason,
            "id": change_id,
            "resource_version": known.version,
        }
        return JSONResponse(body)


def _read_put(kind: str, data: Any) -> Result[tuple[dict[str, Any], int | None], Any]:
    """Return the spec and the generation, if any, of a PUT's body."""
    if not isinstance(data, dict) or "spec" not in data:
        return Failure(Problem(("spec",), "is missing"))
    unknown = sorted(data.keys() - {"kind", "metadata", "spec", "status"})
    if unknown:
        text = "is unknown; allowed are kind, metadata, spec, status"
        return Failure(Problem((unknown[0],), text))
    metadata = data.get("metadata", {})
    generation = metadata.get("generation") if isinstance(metadata, dict) else ""
    if generation is not None and (
        not isinstance(generation, int)
        or isinstance(generation, bool)
        or generation < 0
    ):
        text = "allowed is a whole number, at least 0"
        return Failure(Problem(("metadata", "generation"), text))
    return check_spec(kind, data["spec"]).map(lambda spec: (spec, generation))


def _change_id(entry: str) -> str:
    return f"{entry}-{uuid.uuid4().hex}"


def _refused(status: int, reason: str, detail: str, **more: Any) -> Response:
    retry_after_ms = RETRY_AFTER_MS if status in (429, 503) else 0
    return refusal(
        status,
        reason,
        detail,
        state=REFUSED,
        truth=NOT_APPLIED,
        retry_after_ms=retry_after_ms,
        **more,
    )


def _bad(problem: Problem) -> Response:
    return bad_input(problem, state=REFUSED, truth=NOT_APPLIED)


def _unavailable(reason: str, detail: str, **more: Any) -> Response:
    return _refused(503, reason, detail, **more)


def _not_ready() -> Response:
    return _unavailable(Reason.NOT_READY, "the entry has not joined yet")


def _unknown_kind(kind: str) -> Response:
    detail = f"kind {kind[:63]!r} is unknown; allowed are {', '.join(KINDS)}"
    return _refused(404, HttpReason.UNKNOWN_KIND, detail)


def _absent(kind: str, name: str) -> Response:
    return _refused(404, HttpReason.ABSENT, f"{kind}/{name[:63]} does not exist")


def _pending(change_id: str) -> Response:
    return refusal(
        202,
        "",
        f"the outcome is not known yet; ask GET /v1/changes/{change_id}",
        state=UNKNOWN,
        truth=MAY_APPLY,
        retry_after_ms=RETRY_AFTER_MS,
        id=change_id,
    )
