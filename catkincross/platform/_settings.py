"""Reads the platform's settings file, a TOML document, into typed settings."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

from ..jobs import DEFAULT_RECORD_BYTES

# Defaults for bounds that the settings file omits, as documented by the platform.
DEFAULT_RESEND_MS = 1_300
DEFAULT_CONFIG_MS = 2_000
DEFAULT_CONTACT_MS = 3_000
DEFAULT_HEARTBEAT_MS = 1_500
# Number of ended runs that a worker lists at once.
MAX_LISTED_ENDS = 500
NODE_FILE_VARIABLE = "CATKINCROSS_NODE_FILE"


@attrs.frozen
class NodeSettings:
    """Settings that the platform gives to a process on a host.

    Addresses are `IP:port`; the address of a service that the host lacks is empty.

    Attributes:
        name: Name of the host.
        ip: IP address of the host.
        data_centre: Data centre of the host.
        first_port: First of the ports for links between entries and agents.
        front: Listen address for client accounts.
        ready: Listen address for the readiness probe.
        control: Listen address for heartbeats of the worker.
        worker: Address of the worker on this host.
        store: Address of the platform's store.
        shards: Number of partitions of a topic, one shard of jobs in each.
        keep_ms: How long the store keeps a record, in milliseconds.
        record_bytes: Largest record that the store takes, in bytes.
        member_ttl_ms: Shortest time after which the store drops a silent group member,
            in milliseconds.
        lease_ms: Longest lease that a worker grants, in milliseconds.
        stop_ms: Longest time that a worker takes to stop a run, in milliseconds.
        resend_ms: Shortest time after which client accounts submit a volatile job
            again, in milliseconds.
        config_ms: Time within which a configuration has to be in force, in
            milliseconds.
        status_ms: How long the state of an ended job can be queried, in milliseconds.
        grace_ms: Time from SIGTERM to SIGKILL, in milliseconds.
        remote_factor: Factor on the run time of a task that runs away from the rack of
            its data.
        capacity_change_ms: Time after which a worker that has shrunk may not be brought
            over its new capacity, in milliseconds.
    """

    name: str
    ip: str
    data_centre: str
    first_port: int
    front: str
    ready: str
    control: str
    worker: str
    store: str
    shards: int
    keep_ms: int
    member_ttl_ms: int
    lease_ms: int
    stop_ms: int
    resend_ms: int
    config_ms: int
    status_ms: int
    grace_ms: int
    remote_factor: float
    record_bytes: int = DEFAULT_RECORD_BYTES
    capacity_change_ms: int = DEFAULT_CONTACT_MS + DEFAULT_HEARTBEAT_MS


def load_node_settings(path: str | None = None) -> NodeSettings:
    """Read the settings file.

    Args:
        path: Path of the file; by default that in the environment variable
            `CATKINCROSS_NODE_FILE`.

    Raises:
        KeyError: If there is neither a path nor the environment variable.
        OSError: If the file cannot be read.
        ValueError: If it is not TOML, or a field is missing or of the wrong type.
    """
    source = path or os.environ[NODE_FILE_VARIABLE]
    fields = tomllib.loads(Path(source).read_text(encoding="utf-8"))
    try:
        return _from_fields(fields)
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{source}: field missing or of wrong type: {error}") from (
            error
        )


def _from_fields(fields: dict[str, Any]) -> NodeSettings:
    listen_addresses = fields.get("listen_addrs", {})
    store = fields["platform"]
    bounds = fields["bounds"]
    return NodeSettings(
        name=fields["node_id"],
        ip=fields["ip"],
        data_centre=fields["zone"],
        first_port=int(fields["port_range"][0]),
        front=listen_addresses.get("front", ""),
        ready=listen_addresses.get("ready", ""),
        control=listen_addresses.get("control", ""),
        # The platform's key for the address of the worker is `app`.
        worker=fields.get("app", ""),
        store=store["address"],
        shards=int(store["parts"]),
        keep_ms=int(store["keep_s"] * 1_000),
        record_bytes=int(store.get("record_bytes", DEFAULT_RECORD_BYTES)),
        member_ttl_ms=int(store["ttl_min_ms"]),
        lease_ms=int(bounds["hold_max_ms"]),
        stop_ms=int(bounds.get("stop_ms", 0)),
        # `retransmit_ms` is about client accounts, not about our own retries.
        resend_ms=int(bounds.get("retransmit_ms", DEFAULT_RESEND_MS)),
        config_ms=int(bounds.get("config_apply_ms", DEFAULT_CONFIG_MS)),
        status_ms=int(bounds["status_s"] * 1_000),
        grace_ms=int(bounds["grace_s"] * 1_000),
        remote_factor=float(bounds.get("remote_factor", 1.0)),
        capacity_change_ms=int(bounds.get("contact_ms", DEFAULT_CONTACT_MS))
        + int(fields.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS)),
    )
