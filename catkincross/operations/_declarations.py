"""Declarations of the operators that are in force."""

from __future__ import annotations

import attrs

from ..jobs import QueuePolicy


@attrs.frozen
class Queue:
    """A queue to which client accounts submit jobs.

    Attributes:
        host: Host name in the requests of the queue.
        path_prefix: Prefix of the path in the requests of the queue.
        policy: Policy that a job gets when it is accepted.
        timeout_ms: Longest time for an answer, in milliseconds.
        needs_advice: Whether an adviser decides which workers may run the steps of
            the queue's jobs.
    """

    host: str
    path_prefix: str
    policy: QueuePolicy
    timeout_ms: int
    needs_advice: bool = False


@attrs.frozen
class Service:
    """A service whose workers run tasks.

    Attributes:
        name: Name of the service.
        rejects_overload: Whether the service's workers reject tasks that do not fit.
        standby: Whether the hosts of the service's workers are switched off.
    """

    name: str
    rejects_overload: bool = False
    standby: bool = False


@attrs.define
class Declarations:
    """Declarations of the operators that are in force.

    Attributes:
        version: Version of the declarations; -1 before the first ones are read.
        queues: Queues, those with the longest path prefix first.
        services: Services by name.
        evacuated: Data centres to which no task may be sent.
        max_body_bytes: Largest accepted body of a request, in bytes.
    """

    version: int = -1
    queues: list[Queue] = attrs.field(factory=list)
    services: dict[str, Service] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    # Queues by host and path prefix, and the lengths of all prefixes, longest first.
    # A search through all queues would slow each request, as there are over a thousand.
    _queue_by_prefix: dict[tuple[str, str], Queue] = attrs.field(factory=dict)
    _prefix_lengths: list[int] = attrs.field(factory=list)

    def apply(self, newer: Declarations) -> bool:
        """Replace the declarations in force if the other ones have a higher version.

        The evacuated data centres have no version and stay as they are.

        Returns:
            Whether the declarations were replaced.
        """
        if newer.version <= self.version:
            return False
        self.version = newer.version
        self.queues = sorted(newer.queues, key=lambda q: -len(q.path_prefix))
        self._queue_by_prefix = {}
        for queue in self.queues:
            self._queue_by_prefix.setdefault((queue.host, queue.path_prefix), queue)
        lengths = {len(queue.path_prefix) for queue in self.queues}
        self._prefix_lengths = sorted(lengths, reverse=True)
        self.services = newer.services
        self.max_body_bytes = newer.max_body_bytes
        return True

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, or None if no queue matches.

        Args:
            host: Host name of the request, without a port.
            path: Path of the request.
        """
        for length in self._prefix_lengths:
            queue = self._queue_by_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None
