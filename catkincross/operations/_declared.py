"""Operators' declarations that are in force."""

from __future__ import annotations

import attrs

from ..jobs import QueuePolicy


@attrs.frozen
class Queue:
    """A queue to which client accounts hand in jobs.

    Attributes:
        host: Host name of its requests.
        path_prefix: Start of the path of its requests.
        policy: Policy that jobs get at acceptance.
        timeout_ms: Longest time for an answer.
        advised: Whether an adviser decides which workers may run its steps.
    """

    host: str
    path_prefix: str
    policy: QueuePolicy
    timeout_ms: int
    advised: bool = False


@attrs.frozen
class Service:
    """A service whose workers run tasks.

    Attributes:
        name: Name.
        rejects_overload: Whether its workers reject what does not fit.
        standby: Whether its hosts are switched off.
    """

    name: str
    rejects_overload: bool = False
    standby: bool = False


@attrs.define
class Declared:
    """Declarations in force.

    Attributes:
        version: Version of the configuration; -1 before the first.
        queues: Queues, longest prefix first.
        services: Services by name.
        evacuated: Data centres to which nothing may be sent.
        max_body_bytes: Largest body of a request.
    """

    version: int = -1
    queues: list[Queue] = attrs.field(factory=list)
    services: dict[str, Service] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

    def take(self, newer: Declared) -> bool:
        """Take a configuration unless it is older than the one in force.

        Returns:
            Whether it is in force now.
        """
        if newer.version <= self.version:
            return False
        self.version = newer.version
        self.queues = sorted(newer.queues, key=lambda q: -len(q.path_prefix))
        self.services = newer.services
        self.max_body_bytes = newer.max_body_bytes
        return True

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, or None."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                return queue
        return None
