"""The operators' declarations, as the platform's store keeps them."""

from __future__ import annotations

from typing import Any

import orjson

from ..jobs import QueuePolicy
from ..operations import Declared, Queue, Service
from ._store import Gap, StoreClient, Topic

# Part of the time in which a change is to be in force that the store may hold a read.
# An open connection may go silent for good, which only the time limit of the read
# shows: this and the limit of 800 ms stay below the 2,000 ms of the platform's pages.
FOLLOW_SHARE = 0.35
EVACUATE = "evacuate/"


class DeclaredFeed:
    """Follows the operators' declarations.

    Args:
        store: The store.
        config_ms: Time in which a change is to be in force.

    Attributes:
        declared: What is in force, as far as it was read.
        unread: Errors of records that could not be read, since they were last taken.
    """

    def __init__(self, store: StoreClient, config_ms: int) -> None:
        self.store = store
        self.use_limit(config_ms)
        self.declared = Declared()
        self.unread: list[str] = []
        self._offset: int | None = None

    def use_limit(self, config_ms: int) -> None:
        """Take the time in which a change is to be in force."""
        self.wait_ms = int(config_ms * FOLLOW_SHARE)

    async def follow(self) -> bool | None:
        """Read what has changed, waiting for it if nothing has.

        Returns:
            Whether something changed; None without an answer of the store.
        """
        if self._offset is None:
            return await self._read_all()
        found = await self.store.read(
            Topic.OPERATOR, 0, self._offset, wait_ms=self.wait_ms
        )
        if found is None:
            return None
        if isinstance(found, Gap):
            self._offset = None
            return await self._read_all()
        changed = False
        for data in found.records:
            self._offset += 1
            length = data[0] if data else 0
            key = data[1 : 1 + length].decode("utf-8", "replace")
            changed = self._take(key, data[1 + length :]) or changed
        return changed

    async def _read_all(self) -> bool | None:
        found = await self.store.newest(Topic.OPERATOR)
        if found is None:
            return None
        values, self._offset = found
        self.declared.evacuated = frozenset()
        changed = [self._take(key, value) for key, value in values.items()]
        return any(changed)

    def _take(self, key: str, value: bytes) -> bool:
        if key.startswith(EVACUATE):
            data_centre = key.removeprefix(EVACUATE)
            old = self.declared.evacuated
            new = old | {data_centre} if value else old - {data_centre}
            self.declared.evacuated = new
            return new != old
        if key != "config" or not value:
            return False
        try:
            return self.declared.take(read_config(value))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            # The configuration in force stays; the caller logs what was wrong.
            self.unread.append(f"{key}: {error!r}")
            return False


def read_config(value: bytes) -> Declared:
    """Return the configuration in a record of the operators.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: If it is no configuration.
    """
    fields = orjson.loads(value)
    queues = [_queue(route) for route in fields["routes"]]
    services = [
        Service(row["name"], row.get("rejects_overload", False), row.get("standby"))
        for row in fields["services"]
    ]
    return Declared(
        fields["version"],
        queues,
        {service.name: service for service in services},
        max_body_bytes=fields.get("limits", {}).get("max_body_bytes", 262_144),
    )


def _queue(route: dict[str, Any]) -> Queue:
    # A route of the platform is a queue of jobs.
    policy = QueuePolicy(
        queue=route["name"],
        service=route["service"],
        priority=route.get("priority", 0),
        max_attempts=route.get("max_attempts", 1),
        stretch=float(route.get("stretch", 1.0)),
        slo_ms=route.get("slo_ms", 0),
    )
    return Queue(
        route["host"],
        route["path_prefix"],
        policy,
        route.get("timeout_ms", 0),
        bool(route.get("advice")),
    )
