"""Adapters between the platform's interfaces and the dispatcher.

They translate names and formats only; decisions are made in other packages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..foundation._lazy_exports import lazy_exports

if TYPE_CHECKING:
    from ._control import HeartbeatApp
    from ._declared import DeclarationFeed
    from ._front import JobApiApp, JobBackend
    from ._jobs import InvalidJob, read_job, read_route
    from ._settings import (
        MAX_LISTED_ENDS,
        NODE_FILE_VARIABLE,
        NodeSettings,
        load_node_settings,
    )
    from ._store import GroupAssignment, RecordsExpired, StoreClient, Topic
    from ._worker import RenewalFenced, WorkerClient, read_heartbeat

__all__ = [
    "MAX_LISTED_ENDS",
    "InvalidJob",
    "HeartbeatApp",
    "DeclarationFeed",
    "JobBackend",
    "JobApiApp",
    "RecordsExpired",
    "GroupAssignment",
    "NodeSettings",
    "NODE_FILE_VARIABLE",
    "StoreClient",
    "Topic",
    "RenewalFenced",
    "WorkerClient",
    "load_node_settings",
    "read_heartbeat",
    "read_job",
    "read_route",
]

# Module of each public name. A module is imported when one of its names is first used,
# so that a daemon can listen before it imports its HTTP clients and servers.
MODULES = {
    "MAX_LISTED_ENDS": "_settings",
    "InvalidJob": "_jobs",
    "HeartbeatApp": "_control",
    "DeclarationFeed": "_declared",
    "JobBackend": "_front",
    "JobApiApp": "_front",
    "RecordsExpired": "_store",
    "RenewalFenced": "_worker",
    "GroupAssignment": "_store",
    "NodeSettings": "_settings",
    "NODE_FILE_VARIABLE": "_settings",
    "StoreClient": "_store",
    "Topic": "_store",
    "WorkerClient": "_worker",
    "load_node_settings": "_settings",
    "read_heartbeat": "_worker",
    "read_job": "_jobs",
    "read_route": "_jobs",
}

__getattr__ = lazy_exports(__name__, MODULES)
