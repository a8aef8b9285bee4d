"""Reads the operators' declarations from the platform's store."""

from __future__ import annotations

from typing import Any

import orjson

from ..clock import Clock
from ..jobs import QueuePolicy
from ..operations import Declarations, Queue, Service
from ._store import RecordsExpired, StoreClient, Topic

# Share of the apply limit for which the store may hold a long poll. A connection that
# has gone silent is detected only when the read times out. The long poll (700 ms) and
# the call timeout (800 ms) together stay below the platform's limit of 2,000 ms.
LONG_POLL_SHARE = 0.35
EVACUATION_PREFIX = "evacuate/"


class DeclarationFeed:
    """Follows the topic of the operators' declarations.

    Args:
        store: Client of the platform's store.
        apply_limit_ms: Time within which a change has to be in force, in milliseconds.
        clock: Clock of the process.

    Attributes:
        declarations: Declarations in force, as of the last read.
        offset: Offset in the topic up to which it was read; None before the first read.
        confirmed_ms: When the newest read was sent that returned all there was, on the
            clock of the process; None before the first.
        failing_since_ms: When the first read without an answer after that was sent;
            None if the newest read was answered.
        source: Call that gave the newest answer.
        decode_errors: Errors of invalid records; the caller logs and clears them.
        long_poll_ms: How long the store may hold a read, in milliseconds.
    """

    def __init__(self, store: StoreClient, apply_limit_ms: int, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.set_apply_limit(apply_limit_ms)
        self.declarations = Declarations()
        self.decode_errors: list[str] = []
        self.offset: int | None = None
        self.confirmed_ms: int | None = None
        self.failing_since_ms: int | None = None
        self.source = ""
        # Whether the store has more records than the newest read returned.
        self._behind = False

    def set_apply_limit(self, apply_limit_ms: int) -> None:
        """Set the time within which a change has to be in force, in milliseconds."""
        self.long_poll_ms = int(apply_limit_ms * LONG_POLL_SHARE)

    async def poll(self) -> bool | None:
        """Read and apply new records; long-poll the store if there are none.

        After records have expired, on the first call, and after a read that did not
        return all records, the latest value of each key is read.

        Returns:
            Whether the declarations changed; None if the store did not answer.
        """
        sent_ms = self.clock.now_ms()
        changed = await self._read()
        if changed is not None:
            if not self._behind:
                self.confirmed_ms = sent_ms
            self.failing_since_ms = None
        elif self.failing_since_ms is None:
            self.failing_since_ms = sent_ms
        return changed

    def age_ms(self) -> int | None:
        """Return the time since the newest complete read; None before the first."""
        if self.confirmed_ms is None:
            return None
        return self.clock.now_ms() - self.confirmed_ms

    async def _read(self) -> bool | None:
        if self.offset is None or self._behind:
            return await self._read_latest()
        result = await self.store.read(
            Topic.DECLARATIONS, 0, self.offset, wait_ms=self.long_poll_ms
        )
        if result is None:
            return None
        if isinstance(result, RecordsExpired):
            self.offset = None
            return await self._read_latest()
        self.source = "read"
        self.offset += len(result.records)
        self._behind = result.end > self.offset
        changed = False
        decoded_keys: set[str] = set()
        # From the newest record on: an older value of a key is not decoded, since it
        # would only delay the newest one. Values that are not valid count for nothing.
        for record in reversed(result.records):
            length = record[0] if record else 0
            key = record[1 : 1 + length].decode("utf-8", "replace")
            if key in decoded_keys:
                continue
            errors = len(self.decode_errors)
            changed = self._apply(key, record[1 + length :]) or changed
            if len(self.decode_errors) == errors:
                decoded_keys.add(key)
        return changed

    async def _read_latest(self) -> bool | None:
        result = await self.store.read_latest(Topic.DECLARATIONS)
        if result is None:
            return None
        self.source = "newest"
        self._behind = False
        values, self.offset = result
        self.declarations.evacuated = frozenset()
        changed = [self._apply(key, value) for key, value in values.items()]
        return any(changed)

    def _apply(self, key: str, value: bytes) -> bool:
        if key.startswith(EVACUATION_PREFIX):
            data_centre = key.removeprefix(EVACUATION_PREFIX)
            old = self.declarations.evacuated
            new = old | {data_centre} if value else old - {data_centre}
            self.declarations.evacuated = new
            return new != old
        if key != "config" or not value:
            return False
        try:
            return self.declarations.apply(read_config(value))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            # The configuration in force is kept; the caller logs the error.
            self.decode_errors.append(f"{key}: {error!r}")
            return False


def read_config(value: bytes) -> Declarations:
    """Decode the operators' configuration from the JSON value of a record.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: If the value is not a valid
            configuration.
    """
    fields = orjson.loads(value)
    queues = [_read_queue(route) for route in fields["routes"]]
    services = [
        Service(
            _typed(row["name"], str),
            _optional(row, "rejects_overload", False),
            _optional(row, "standby", False),
        )
        for row in fields["services"]
    ]
    limits = _optional(fields, "limits", {})
    return Declarations(
        _typed(fields["version"], int),
        queues,
        {service.name: service for service in services},
        max_body_bytes=_optional(limits, "max_body_bytes", 262_144),
    )


def _typed(value: Any, kind: type | tuple[type, ...]) -> Any:
    """Return a value of the expected type; truth values are no numbers.

    Raises:
        TypeError: If it is of another type.
    """
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise TypeError(f"{value!r} is not of type {kind}")
    return value


def _optional(fields: dict[str, Any], name: str, default: Any) -> Any:
    """Return a field that may be missing or null, of the type of its default.

    Raises:
        TypeError: If it is of another type; a number may be written as a fraction.
    """
    value = fields.get(name)
    if value is None:
        return default
    kind = type(default)
    if kind in (int, float):
        return kind(_typed(value, (int, float)))
    return _typed(value, kind)


def _read_queue(route: dict[str, Any]) -> Queue:
    # The platform calls a queue a route.
    policy = QueuePolicy(
        queue=_typed(route["name"], str),
        service=_typed(route["service"], str),
        priority=_optional(route, "priority", 0),
        max_attempts=_optional(route, "max_attempts", 1),
        stretch=_optional(route, "stretch", 1.0),
        slo_ms=_optional(route, "slo_ms", 0),
    )
    return Queue(
        _typed(route["host"], str),
        _typed(route["path_prefix"], str),
        policy,
        _optional(route, "timeout_ms", 0),
        bool(route.get("advice")),
    )
