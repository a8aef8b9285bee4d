"""Watches of resources as JSON lines."""

from __future__ import annotations

import asyncio
import json
from collections import OrderedDict
from collections.abc import AsyncIterator
from typing import Any

import attrs

from ._gateway import EntryGateway
from ._resource_status import list_documents

KEPT_VERSIONS = 10_000
KEPT_DELETIONS = 10_000
# Status may change without a record, so documents are compared this often.
STATUS_INTERVAL_MS = 1_000
# A burst of changes costs one comparison of all documents, not one for each change.
COALESCE_MS = 20


@attrs.define
class Seen:
    """A resource as this entry showed it last.

    Attributes:
        document: Metadata, spec and status; None once it is deleted.
        sequence: Number of the change, counted by the feed.
    """

    document: dict[str, Any] | None
    sequence: int


class ResourceFeed:
    """Changes of the resources of one kind, in the order in which they were noticed.

    Args:
        gateway: The running entry.
        kind: Kind of the resources.

    Attributes:
        sequence: Number of the last change noticed.
        expired: Changes up to this one may lack deletions.
        version: Control version at the last refresh.
        refreshed_ms: The entry's clock at the last refresh.
        sequences: Sequence at which a control version was first shown.
    """

    def __init__(self, gateway: EntryGateway, kind: str) -> None:
        self.gateway = gateway
        self.kind = kind
        self.sequence = 0
        self.expired = 0
        self.live: dict[str, Seen] = {}
        self.deleted: OrderedDict[str, Seen] = OrderedDict()
        self.sequences: OrderedDict[int, int] = OrderedDict()
        self.version = -1
        self.refreshed_ms = 0

    def poll(self) -> int:
        """Refresh unless another watch has just done so; return the version."""
        state = self.gateway.state
        age_ms = state.now_ms - self.refreshed_ms
        if state.control.version == self.version and age_ms < STATUS_INTERVAL_MS:
            return self.version
        return self.refresh()

    def refresh(self) -> int:
        """Notice what has changed; return the control version that is now shown."""
        self.version = version = self.gateway.state.control.version
        self.refreshed_ms = self.gateway.state.now_ms
        listed = list_documents(self.gateway.state, self.kind)
        current = {document["metadata"]["name"]: document for document in listed}
        for name in [name for name in self.live if name not in current]:
            del self.live[name]
            self.sequence += 1
            self.deleted[name] = Seen(None, self.sequence)
        for name, document in current.items():
            seen = self.live.get(name)
            if seen is None or seen.document != document:
                self.sequence += 1
                self.live[name] = Seen(document, self.sequence)
                self.deleted.pop(name, None)
        while len(self.deleted) > KEPT_DELETIONS:
            self.expired = self.deleted.popitem(last=False)[1].sequence
        self.sequences.setdefault(version, self.sequence)
        while len(self.sequences) > KEPT_VERSIONS:
            self.sequences.popitem(last=False)
        return version

    def sequence_at(self, version: int) -> int | None:
        """Return the sequence at a control version, or None if it is not kept.

        A version that this entry never showed is not kept: a client may have seen a
        resource there, at another entry, whose deletion was not noticed here.
        """
        sequence = self.sequences.get(version)
        return None if sequence is None or sequence < self.expired else sequence

    def changes(self, after: int) -> list[tuple[str, Seen]]:
        """Return the last change of each resource changed after a sequence."""
        seen = [*self.live.items(), *self.deleted.items()]
        changed = [item for item in seen if item[1].sequence > after]
        return sorted(changed, key=lambda item: item[1].sequence)


def _line(event: str, **fields: Any) -> bytes:
    line = {"event": event} | fields
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


async def watch_lines(
    feed: ResourceFeed, after: int, *, bookmark_ms: int
) -> AsyncIterator[bytes]:
    """Yield the changes of a kind without end.

    Events are `put` with a document, `deleted` with a name, `bookmark` with the
    version at which a watch may resume, and `expired` as the last one if the client
    read too slowly. Of changes that follow each other quickly only the last is sent.

    Args:
        feed: Feed of the kind.
        after: Sequence that the client has; -1 to start with all that exists.
        bookmark_ms: Interval of the bookmarks.
    """
    loop, cursor, bookmark_due = asyncio.get_running_loop(), after, 0.0
    while not feed.gateway.state.stopping:
        version = feed.poll()
        if 0 <= cursor < feed.expired:
            yield _line("expired", kind=feed.kind)
            return
        # Another watch may refresh the feed while this one waits for its client.
        changes, noticed = feed.changes(cursor), feed.sequence
        for name, seen in changes:
            if seen.document is not None:
                yield _line("put", kind=feed.kind, resource=seen.document)
            elif cursor >= 0:
                yield _line("deleted", kind=feed.kind, name=name)
        cursor = noticed
        if loop.time() >= bookmark_due:
            yield _line("bookmark", kind=feed.kind, resource_version=version)
            bookmark_due = loop.time() + bookmark_ms / 1_000
        wait_ms = max(1, int((bookmark_due - loop.time()) * 1_000))
        await feed.gateway.wait_for_version_change(
            version, timeout_ms=min(STATUS_INTERVAL_MS, wait_ms)
        )
        await asyncio.sleep(COALESCE_MS / 1_000)
