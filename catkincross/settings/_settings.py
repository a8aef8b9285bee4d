"""Settings of the daemons, each with its default, unit, bounds and meaning."""

from __future__ import annotations

import attrs

from ..foundation._setting import setting
from ._dispatch_settings import (
    AdmissionSettings,
    ConcurrencySettings,
    EjectionSettings,
    EstimateSettings,
    PlacementSettings,
    QueueSettings,
    RampSettings,
    RetrySettings,
    StragglerSettings,
)


@attrs.define
class FreshnessSettings:
    """Section `[freshness]`: freshness lease and log outages."""

    freshness_ms: int = setting(
        2_000,
        unit="ms",
        low=200,
        high=10_000,
        about="Greatest age of evidence of the log's tail with which work may start.",
    )
    outage_quorum: str = setting(
        "all",
        allowed=("all", "one_per_data_centre"),
        about="Entries that must report the log unreachable for work to continue in an "
        "outage of the log.",
    )


@attrs.define
class HttpSettings:
    """Section `[http]`: limits and access of the HTTP APIs."""

    tls: bool = setting(
        False,
        about="Whether the HTTP port speaks TLS with the certificate of `[tls]`.",
    )
    max_body_bytes: int = setting(
        16_777_216,
        unit="bytes",
        low=1_024,
        high=1_073_741_824,
        about="Largest body of a caller's request.",
    )
    max_answer_bytes: int = setting(
        16_777_216,
        unit="bytes",
        low=1_024,
        high=1_073_741_824,
        about="Largest answer that is sent whole; a larger one must be streamed.",
    )
    max_waiting: int = setting(
        10_000,
        unit="requests",
        low=1,
        high=1_000_000,
        about="Most callers' requests that wait for an answer at a time.",
    )
    bookmark_ms: int = setting(
        5_000,
        unit="ms",
        low=100,
        high=60_000,
        about="Interval of the bookmark events of a watch.",
    )
    token: str = setting(
        "", about="Bearer token required to change resources; empty for none."
    )


@attrs.define
class MetricsSettings:
    """Section `[metrics]`: statsd over UDP."""

    host: str = setting("", about="IP address of the statsd server; empty for none.")
    port: int = setting(8_125, low=1, high=65_535, about="UDP port of the server.")
    prefix: str = setting("catkincross", about="Prefix of all metric names.")
    interval_ms: int = setting(
        1_000, unit="ms", low=100, high=60_000, about="Interval of the gauges."
    )


@attrs.define
class EventLogSettings:
    """Section `[logs]`: the event log, in JSON lines."""

    target: str = setting(
        "stderr", about="`stdout`, `stderr`, `none`, or a file to append to."
    )
    events: str = setting(
        "all",
        allowed=("all", "changes"),
        about="Events to write; `changes` leaves out those of single jobs and tasks.",
    )


@attrs.define
class MembershipSettings:
    """Section `[membership]`: heartbeats, failure detection and leaving."""

    peer_heartbeat_ms: int = setting(
        250, unit="ms", low=50, high=5_000, about="Interval of heartbeats of entries."
    )
    agent_heartbeat_ms: int = setting(
        500, unit="ms", low=50, high=5_000, about="Interval of heartbeats of agents."
    )
    suspect_ms: int = setting(
        5_000,
        unit="ms",
        low=500,
        high=600_000,
        about="Time without a heartbeat after which another entry proposes to end an "
        "entry.",
    )
    agent_suspect_ms: int = setting(
        10_000,
        unit="ms",
        low=500,
        high=600_000,
        about="Time without a heartbeat after which an entry proposes to end an agent.",
    )
    refused_suspect_ms: int = setting(
        1_000,
        unit="ms",
        low=100,
        high=600_000,
        about="Time of refused connections after which another entry proposes to end "
        "an entry.",
    )
    second_proposer_ms: int = setting(
        2_000,
        unit="ms",
        low=100,
        high=600_000,
        about="Delay before the next entry also proposes to end a silent process.",
    )
    rejoin_hold_ms: int = setting(
        1_000,
        unit="ms",
        low=10,
        high=600_000,
        about="Wait before a process rejoins after its end; doubles with each end "
        "within ten minutes.",
    )
    leave_limit_ms: int = setting(
        30_000,
        unit="ms",
        low=100,
        high=3_600_000,
        about="Longest time for a leaving entry to finish its jobs.",
    )


@attrs.define
class JobSettings:
    """Section `[jobs]`: limits of jobs and tasks, and retention."""

    key_retention_ms: int = setting(
        900_000,
        unit="ms",
        low=1_000,
        high=86_400_000,
        about="Time for which the key and answer of a finished job are kept.",
    )
    start_budget_ms: int = setting(
        1_000,
        unit="ms",
        low=50,
        high=60_000,
        about="Time within which an agent must start a task that was sent to it.",
    )
    max_tasks: int = setting(
        1_000, unit="tasks", low=1, high=100_000, about="Most tasks in a job."
    )
    max_deadline_ms: int = setting(
        600_000,
        unit="ms",
        low=100,
        high=86_400_000,
        about="Longest deadline that a caller may set.",
    )
    results_repeat_ms: int = setting(
        30_000,
        unit="ms",
        low=1_000,
        high=600_000,
        about="Greatest age of results that an agent sends again on a new stream.",
    )


@attrs.define
class ControlSettings:
    """Section `[control]`: appends to the control stream, and snapshots."""

    appends_per_second: int = setting(
        20,
        unit="records/s",
        low=1,
        high=1_000,
        about="Most records per second that this entry appends to the log.",
    )
    change_answer_ms: int = setting(
        2_000,
        unit="ms",
        low=100,
        high=60_000,
        about="Time after which an unsettled change is answered with unknown.",
    )
    snapshot_records: int = setting(
        1_000,
        unit="records",
        low=10,
        high=1_000_000,
        about="Records since the last snapshot after which a new one is written.",
    )
    snapshot_interval_ms: int = setting(
        1_800_000,
        unit="ms",
        low=10_000,
        high=86_400_000,
        about="Age of the last snapshot at which a new one is written; at most half "
        "of the time for which the log keeps records.",
    )


@attrs.define
class ListenSettings:
    """Section `[listen]`: listen addresses and shutdown times."""

    grpc_address: str = setting(
        "127.0.0.1:0",
        about="IP:port of the gRPC server; other processes connect to this address.",
    )
    http_address: str = setting(
        "127.0.0.1:0",
        about="IP:port of the HTTP server; an agent listens on loopback only.",
    )
    unready_ms: int = setting(
        1_000,
        unit="ms",
        low=0,
        high=60_000,
        about="Time for which a leaving entry answers /readyz with 503 before it stops "
        "listening; longer than the probe interval of the load balancer.",
    )
    stop_limit_ms: int = setting(
        45_000,
        unit="ms",
        low=100,
        high=3_600_000,
        about="Longest time from SIGTERM to the end of the process; longer than "
        "`leave_limit_ms`.",
    )


@attrs.define
class LogSettings:
    """Section `[log]`: the platform's log service."""

    url: str = setting("", about="Base URL of the log service.")
    timeout_ms: int = setting(
        1_500,
        unit="ms",
        low=50,
        high=60_000,
        about="Longest time for an answer, in addition to the wait of a read.",
    )
    wait_ms: int = setting(
        400,
        unit="ms",
        low=10,
        high=10_000,
        about="Longest wait of a read for new records; well below half of "
        "`freshness_ms`, since the age of evidence counts from when a read is sent.",
    )


@attrs.define
class TlsSettings:
    """Section `[tls]`: all three files, or none for connections without TLS."""

    certificate: str = setting("", about="File with the certificate chain, PEM.")
    key: str = setting("", about="File with the private key, PEM.")
    ca: str = setting("", about="File with the CA certificate of all processes, PEM.")


@attrs.define
class SeedSettings:
    """Section `[seeds]`: where an agent finds its first entry."""

    entries: str = setting("", about="gRPC addresses, IP:port, separated by commas.")


@attrs.define
class UpstreamSettings:
    """Section `[upstream]`: HTTP calls to the upstream beside the agent."""

    url: str = setting("", about="URL to which tasks are posted.")
    connect_timeout_ms: int = setting(
        500, unit="ms", low=10, high=60_000, about="Longest time to open a connection."
    )


@attrs.define
class WorkerSettings:
    """Section `[worker]`: HTTP interface of the worker, the source of usage reports."""

    url: str = setting("", about="Base URL of the worker's interface; empty for none.")
    poll_ms: int = setting(
        1_000, unit="ms", low=50, high=60_000, about="Interval of usage reports."
    )


@attrs.define
class EntrySettings:
    """All settings of an entry; the plain fields are the keys of `[entry]`."""

    name: str = setting(about="Name of the entry, unique in its region.")
    region: str = setting(about="Region of the entry.")
    data_centre: str = setting(about="Data centre of the entry.")
    freshness: FreshnessSettings = attrs.field(factory=FreshnessSettings, kw_only=True)
    http: HttpSettings = attrs.field(factory=HttpSettings, kw_only=True)
    metrics: MetricsSettings = attrs.field(factory=MetricsSettings, kw_only=True)
    logs: EventLogSettings = attrs.field(factory=EventLogSettings, kw_only=True)
    membership: MembershipSettings = attrs.field(
        factory=MembershipSettings, kw_only=True
    )
    jobs: JobSettings = attrs.field(factory=JobSettings, kw_only=True)
    control: ControlSettings = attrs.field(factory=ControlSettings, kw_only=True)
    placement: PlacementSettings = attrs.field(factory=PlacementSettings, kw_only=True)
    estimates: EstimateSettings = attrs.field(factory=EstimateSettings, kw_only=True)
    admission: AdmissionSettings = attrs.field(factory=AdmissionSettings, kw_only=True)
    concurrency: ConcurrencySettings = attrs.field(
        factory=ConcurrencySettings, kw_only=True
    )
    ejection: EjectionSettings = attrs.field(factory=EjectionSettings, kw_only=True)
    ramp: RampSettings = attrs.field(factory=RampSettings, kw_only=True)
    stragglers: StragglerSettings = attrs.field(factory=StragglerSettings, kw_only=True)
    retries: RetrySettings = attrs.field(factory=RetrySettings, kw_only=True)
    queues: QueueSettings = attrs.field(factory=QueueSettings, kw_only=True)
    listen: ListenSettings = attrs.field(factory=ListenSettings, kw_only=True)
    tls: TlsSettings = attrs.field(factory=TlsSettings, kw_only=True)
    log: LogSettings = attrs.field(factory=LogSettings, kw_only=True)


@attrs.define
class AgentSettings:
    """All settings of an agent; the plain fields are the keys of `[agent]`."""

    name: str = setting(about="Name of the agent, unique in its region.")
    region: str = setting(about="Region of the agent.")
    data_centre: str = setting(about="Data centre of the agent.")
    rack: str = setting("", about="Rack of the worker.")
    upstream: str = setting(about="Name of the upstream beside the agent.")
    service: str = setting(about="Service that the upstream provides.")
    slots: int = setting(
        8, unit="tasks", low=1, high=10_000, about="Most tasks that run at a time."
    )
    connections: int = setting(
        64, unit="connections", low=1, high=10_000, about="Connections to the upstream."
    )
    cores: int = setting(
        1, unit="cores", low=1, high=4_096, about="Processor cores of the worker."
    )
    memory_mb: int = setting(
        1_024, unit="MB", low=1, high=100_000_000, about="Memory of the worker."
    )
    accelerators: int = setting(0, low=0, high=1_024, about="Accelerators.")
    freshness: FreshnessSettings = attrs.field(factory=FreshnessSettings, kw_only=True)
    metrics: MetricsSettings = attrs.field(factory=MetricsSettings, kw_only=True)
    logs: EventLogSettings = attrs.field(factory=EventLogSettings, kw_only=True)
    membership: MembershipSettings = attrs.field(
        factory=MembershipSettings, kw_only=True
    )
    jobs: JobSettings = attrs.field(factory=JobSettings, kw_only=True)
    listen: ListenSettings = attrs.field(factory=ListenSettings, kw_only=True)
    tls: TlsSettings = attrs.field(factory=TlsSettings, kw_only=True)
    seeds: SeedSettings = attrs.field(factory=SeedSettings, kw_only=True)
    upstream_http: UpstreamSettings = attrs.field(
        factory=UpstreamSettings, kw_only=True, metadata={"section": "upstream"}
    )
    worker: WorkerSettings = attrs.field(factory=WorkerSettings, kw_only=True)
