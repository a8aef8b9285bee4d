"""Reads the operators' declarations from the platform's store."""

from __future__ import annotations

from typing import Any

import orjson

from ..clock import Clock
from ..jobs import QueuePolicy
from ..operations import DeclarationFreshness, Declarations, Queue, Service
from ._store import RecordsExpired, StoreClient, Topic

# Share of the apply limit for which the store may hold a long poll. A connection that
# has gone silent is detected only when the read times out. The long poll (700 ms) and
# the call timeout (800 ms) together stay below the platform's limit of 2,000 ms.
LONG_POLL_SHARE = 0.35
CONFIG = "config"
EVACUATION_PREFIX = "evacuate/"


class DeclarationFeed:
    """Follows the topic of the operators' declarations.

    Args:
        store: Client of the platform's store.
        apply_limit_ms: Time within which a change has to be in force, in milliseconds.
        clock: Clock of the process.
        name: Name of this entry, see `DeclarationFreshness`.

    Attributes:
        declarations: Declarations in force.
        freshness: Up to where the topic was read, and as of when.
        values: Newest valid value of each key that declares something.
        decode_errors: Errors of invalid records; the caller logs and clears them.
        long_poll_ms: How long the store may hold a read, in milliseconds.
        source: Call that gave the newest answer.
    """

    def __init__(
        self, store: StoreClient, apply_limit_ms: int, clock: Clock, name: str = ""
    ) -> None:
        self.store = store
        self.clock = clock
        self.set_apply_limit(apply_limit_ms)
        self.declarations = Declarations()
        self.freshness = DeclarationFreshness(name)
        self.values: dict[str, bytes] = {}
        self.decode_errors: list[str] = []
        self.source = ""
        # Whether the next read asks for the latest value of each key.
        self._wants_latest = True

    def set_apply_limit(self, apply_limit_ms: int) -> None:
        """Set the time within which a change has to be in force, in milliseconds."""
        self.apply_limit_ms = apply_limit_ms
        self.long_poll_ms = int(apply_limit_ms * LONG_POLL_SHARE)

    async def poll(self) -> bool | None:
        """Read and apply new records; long-poll the store if there are none.

        After records have expired, on the first call, and after a read that did not
        return all records, the latest value of each key is read.

        Returns:
            Whether the declarations changed; None if the store did not answer.
        """
        sent_ms = self.clock.now_ms()
        read = self._read_latest if self._wants_latest else self._read_on
        changed = await read(sent_ms)
        if changed is None:
            self.freshness.record_failure(sent_ms)
        return changed

    async def _read_on(self, sent_ms: int) -> bool | None:
        start = self.freshness.offset
        result = await self.store.read(
            Topic.DECLARATIONS, 0, start, wait_ms=self.long_poll_ms
        )
        if result is None:
            return None
        if isinstance(result, RecordsExpired):
            return await self._read_latest(sent_ms)
        self.source = "read"
        end = start + len(result.records)
        # Another entry may have handed over some of the records meanwhile.
        changed = self._apply_records(result.records[self.freshness.offset - start :])
        self._wants_latest = result.end > max(end, self.freshness.offset)
        self.freshness.record_answer(end, result.end, sent_ms)
        return changed

    async def _read_latest(self, sent_ms: int) -> bool | None:
        result = await self.store.read_latest(Topic.DECLARATIONS)
        if result is None:
            return None
        values, end = result
        self.source = "newest"
        self._wants_latest = False
        changed = end >= self.freshness.offset and self._replace(values)
        self.freshness.record_answer(end, end, sent_ms)
        return changed

    def take_copy(self, offset: int, values: dict[str, bytes]) -> bool:
        """Take the declarations of another entry if it has read more.

        Args:
            offset: Offset up to which the other entry has read.
            values: Its values.

        Returns:
            Whether the declarations changed.
        """
        if offset <= self.freshness.offset:
            return False
        self.source = "entry"
        changed = self._replace(values)
        self.freshness.advance(offset)
        return changed

    def _replace(self, values: dict[str, bytes]) -> bool:
        """Apply the latest value of each key; keys that are missing have none."""
        old = self.declarations.evacuated
        self.declarations.evacuated = frozenset()
        self.values = {key: self.values[key] for key in self.values if key == CONFIG}
        for key, value in values.items():
            if key != CONFIG:
                self._apply(key, value)
        changed = self._apply(CONFIG, values.get(CONFIG, b""))
        return changed or self.declarations.evacuated != old

    def _apply_records(self, records: list[bytes]) -> bool:
        """Apply records in the order in which they were appended.

        From the newest one on: an older value of a key is not decoded, since it would
        only delay the newest one. Values that are not valid count for nothing.
        """
        changed = False
        decoded_keys: set[str] = set()
        for record in reversed(records):
            length = record[0] if record else 0
            key = record[1 : 1 + length].decode("utf-8", "replace")
            if key in decoded_keys:
                continue
            errors = len(self.decode_errors)
            changed = self._apply(key, record[1 + length :]) or changed
            if len(self.decode_errors) == errors:
                decoded_keys.add(key)
        return changed

    def _apply(self, key: str, value: bytes) -> bool:
        if key.startswith(EVACUATION_PREFIX):
            return self._apply_evacuation(key, value)
        if key != CONFIG or not value:
            return False
        try:
            changed = self.declarations.apply(read_config(value))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            # The configuration in force is kept; the caller logs the error.
            self.decode_errors.append(f"{key}: {error!r}")
            return False
        if changed:
            self.values[key] = value
        return changed

    def _apply_evacuation(self, key: str, value: bytes) -> bool:
        data_centre = key.removeprefix(EVACUATION_PREFIX)
        old = self.declarations.evacuated
        if value:
            self.declarations.evacuated = old | {data_centre}
            self.values[key] = value
        else:
            self.declarations.evacuated = old - {data_centre}
            self.values.pop(key, None)
        return self.declarations.evacuated != old


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
