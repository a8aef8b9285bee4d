"""The platform's settings file, in its own format, as typed settings."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import attrs

# Bounds of platforms whose settings do not name them, in milliseconds; the same as on
# the platform's pages.
DEFAULT_RESEND_MS = 1_300
DEFAULT_CONFIG_MS = 2_000
SETTINGS_VARIABLE = "CATKINCROSS_NODE_FILE"


@attrs.frozen
class NodeSettings:
    """What the platform tells a process at its start.

    Attributes:
        name: Name of the host.
        ip: Address of the host.
        data_centre: Data centre of the host.
        first_port: First port for links between the system's own processes.
        front: Address for client accounts; empty on hosts without.
        ready: Address of the readiness probe; empty on hosts without.
        control: Address at which workers register; empty on hosts without.
        worker: Address of the worker on this host; empty on hosts without.
        store: Address of the platform's store.
        shards: Partitions of a topic.
        keep_ms: How long the store keeps a record.
        member_ttl_ms: Shortest time after which a silent group member is dropped.
        lease_ms: Longest lease of a worker.
        stop_ms: Longest time of a stop on a worker.
        resend_ms: Shortest time after which client accounts send a volatile job again.
        config_ms: Time in which a configuration has to be in force.
        status_ms: How long an ended job may be asked for.
        grace_ms: Time from SIGTERM to SIGKILL.
        remote_factor: Longer run time away from the rack of a task's data.
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


def load_node_settings(path: str | None = None) -> NodeSettings:
    """Read the settings file.

    Args:
        path: The file; by default the one that the environment names.

    Raises:
        OSError: If the file cannot be read.
        ValueError: If it is not TOML, or a field is missing or of another type.
    """
    source = path or os.environ[SETTINGS_VARIABLE]
    fields = tomllib.loads(Path(source).read_text(encoding="utf-8"))
    try:
        return _from_fields(fields)
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"{source}: field missing or of another type: {error}") from (
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
        # The platform calls the worker on the host an application.
        worker=fields.get("app", ""),
        store=store["address"],
        shards=int(store["parts"]),
        keep_ms=int(store["keep_s"] * 1_000),
        member_ttl_ms=int(store["ttl_min_ms"]),
        lease_ms=int(bounds["hold_max_ms"]),
        stop_ms=int(bounds.get("stop_ms", 0)),
        # The platform's name is that of the repeat by the client account, not of ours.
        resend_ms=int(bounds.get("retransmit_ms", DEFAULT_RESEND_MS)),
        config_ms=int(bounds.get("config_apply_ms", DEFAULT_CONFIG_MS)),
        status_ms=int(bounds["status_s"] * 1_000),
        grace_ms=int(bounds["grace_s"] * 1_000),
        remote_factor=float(bounds.get("remote_factor", 1.0)),
    )
