"""Calls ASGI applications in this process, and stands in for a running entry."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

import attrs

from catkincross.entry_core._entry_state import EntryState
from catkincross.http_api._gateway import EntryGateway
from catkincross.ids import Incarnation
from catkincross.messages import RosterEntry
from catkincross.settings import EntrySettings


@attrs.define
class Answer:
    """An HTTP answer.

    Attributes:
        chunks: Messages in which the body came.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    chunks: int = 0

    @property
    def json(self) -> Any:
        """The JSON value of the body."""
        return json.loads(self.body)

    @property
    def lines(self) -> list[Any]:
        """The JSON values of the body's lines."""
        return [json.loads(line) for line in self.body.splitlines()]


def call(
    app: Any,
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    *,
    until_lines: int | None = None,
) -> Answer:
    """Send one request and return the answer.

    Args:
        app: The ASGI application.
        method: HTTP method.
        target: Path with query.
        body: Bytes, or a JSON value, or None.
        headers: Headers by name.
        until_lines: The client leaves after this number of lines.
    """
    path, _, query = target.partition("?")
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    pairs = [(k.lower().encode(), v.encode()) for k, v in (headers or {}).items()]
    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "path": unquote(path),
        "raw_path": path.encode(),
        "query_string": query.encode(),
        "headers": pairs,
    }
    return asyncio.run(_call(app, scope, b"" if body is None else content, until_lines))


async def _call(
    app: Any, scope: dict[str, Any], content: bytes, until_lines: int | None
) -> Answer:
    answer, left = Answer(), asyncio.Event()
    inbox = [{"type": "http.request", "body": content, "more_body": False}]

    async def receive() -> dict[str, Any]:
        if inbox:
            return inbox.pop()
        await left.wait()
        return {"type": "http.disconnect"}

    async def send(message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            answer.status = message["status"]
            answer.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        answer.body += message.get("body", b"")
        answer.chunks += 1
        if until_lines is not None and answer.body.count(b"\n") >= until_lines:
            left.set()

    if until_lines == 0:
        left.set()
    try:
        await app(scope, receive, send)
    except Exception:
        # Starlette answers 500 and raises the error again for the server's log.
        if answer.status != 500:
            raise
    return answer


class FakeGateway(EntryGateway):
    """A joined entry that gives prepared replies.

    Attributes:
        reply: Called with each item that is posted; None is a timeout.
        items: All items that were posted.
        gone: Items whose caller left before the reply.
        on_wait: Actions for the next waits for a change, in order.
    """

    def __init__(self, **changes: Any) -> None:
        settings = EntrySettings(name="e1", region="r", data_centre="perth", **changes)
        self.settings = settings
        self.state = EntryState.from_settings(settings, address="a", seed=1)
        self.state.incarnation = Incarnation("e1", 1)
        self.state.control.version = 1
        self.state.control.entries["e1"] = RosterEntry("e1", 1, "a", "perth")
        self.state.freshness.renew(0, 1)
        self.reply: Callable[[Any], Any] = lambda item: None
        self.items: list[Any] = []
        self.gone: list[Any] = []
        self.on_wait: list[Callable[[], None]] = []

    async def request(self, make_item: Any, *, timeout_ms: int) -> Any:
        """Post an item and return the prepared reply."""
        item = make_item(len(self.items) + 1)
        self.items.append(item)
        reply = self.reply(item)
        if reply == "never":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.gone.append(item)
                raise
        return reply

    async def wait_for_version_change(self, version: int, *, timeout_ms: int) -> int:
        """Run the next prepared action."""
        if self.on_wait:
            self.on_wait.pop(0)()
        return self.state.control.version
