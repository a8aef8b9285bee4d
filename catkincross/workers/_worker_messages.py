"""What passes between the agent and its worker."""

from __future__ import annotations

import enum

import attrs

from ..peers import EndedRun, RunningTask


@attrs.frozen
class Registration:
    """Identity, capacity and state of a worker, from its heartbeat.

    Attributes:
        worker: Identity of the worker.
        service: Service that the worker serves.
        data_centre: Data centre of the worker.
        labels: Labels of the worker: its kind, its rack and others.
        cpu: Processor capacity in millicores.
        memory_mb: Memory in MB.
        gpu: Number of accelerators.
        draining: Whether the worker is about to leave.
        worker_incarnation: Start of the worker process, in milliseconds since 1970,
            which identifies its incarnation; 0 if the heartbeat does not state it.
        sequence: Number of the heartbeat within the incarnation.
    """

    worker: str
    service: str
    data_centre: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    draining: bool
    worker_incarnation: int
    sequence: int

    @property
    def process(self) -> tuple[str, int]:
        """Identity and incarnation of the worker, which name its process."""
        return self.worker, self.worker_incarnation

    @property
    def capacity(self) -> tuple[int, int, int]:
        """Millicores, MB of memory and number of accelerators."""
        return self.cpu, self.memory_mb, self.gpu


@attrs.frozen
class Candidate:
    """Newest heartbeat of a process that may be the next worker on the host.

    Attributes:
        registration: The heartbeat.
        heartbeat_ms: When it arrived.
    """

    registration: Registration
    heartbeat_ms: int


@attrs.frozen
class LeaseRenewal:
    """Call that renews the worker's lease and reads its running and finished runs.

    Attributes:
        worker: Identity of the worker; empty until it has registered.
        fence: Fencing token.
        ack: Highest sequence number of the ends that the worker may forget.
        until_ms: End of the lease on the worker's clock; None to leave it unchanged.
        wait_ms: How long the worker may wait for a run to end before it answers.
    """

    worker: str
    fence: int
    ack: int
    until_ms: int | None
    wait_ms: int


@attrs.frozen
class LeaseRenewalReply:
    """A worker's answer to a lease renewal.

    Attributes:
        worker_incarnation: Start of the worker process, in milliseconds since 1970.
        clock_ms: The worker's clock when it answered.
        running: Runs in progress.
        finished: Ended runs that the worker has not been told to forget, oldest first.
        ends_complete: Whether `finished` names all of them; the list is limited.
    """

    worker_incarnation: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[EndedRun, ...]
    ends_complete: bool = True


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run."""

    STARTED = "started"
    # The run's number is not above that of a run of the task that ended there.
    OLD = "old"
    # The lease in the order had ended when the order arrived.
    LATE = "late"
    NO_ROOM = "no room"
    # The worker has seen a higher fencing token.
    FENCED = "fenced"
    # The worker was unhealthy, or refused for another stated reason; nothing started.
    REFUSED = "refused"
    # No answer: the order may have been carried out, or may still be.
    UNANSWERED = "unanswered"
