"""Adapters between the platform's interfaces and the dispatcher.

They translate names and formats only; decisions are made in other packages.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ._control import ControlApp
    from ._declared import DeclaredFeed
    from ._front import Dispatcher, FrontApp
    from ._jobs import BadJob, read_job, read_route
    from ._settings import SETTINGS_VARIABLE, NodeSettings, load_node_settings
    from ._store import Gap, Membership, StoreClient, Topic
    from ._worker import HoldRefused, WorkerClient, read_heartbeat

__all__ = [
    "BadJob",
    "ControlApp",
    "DeclaredFeed",
    "Dispatcher",
    "FrontApp",
    "Gap",
    "Membership",
    "NodeSettings",
    "SETTINGS_VARIABLE",
    "StoreClient",
    "Topic",
    "HoldRefused",
    "WorkerClient",
    "load_node_settings",
    "read_heartbeat",
    "read_job",
    "read_route",
]

# Module of each public name. A module is imported when one of its names is first used,
# so that a daemon can listen before it imports its HTTP clients and servers.
MODULES = {
    "BadJob": "_jobs",
    "ControlApp": "_control",
    "DeclaredFeed": "_declared",
    "Dispatcher": "_front",
    "FrontApp": "_front",
    "Gap": "_store",
    "HoldRefused": "_worker",
    "Membership": "_store",
    "NodeSettings": "_settings",
    "SETTINGS_VARIABLE": "_settings",
    "StoreClient": "_store",
    "Topic": "_store",
    "WorkerClient": "_worker",
    "load_node_settings": "_settings",
    "read_heartbeat": "_worker",
    "read_job": "_jobs",
    "read_route": "_jobs",
}


def __getattr__(name: str) -> Any:
    """Import the module of a public name on first use and return the name's value."""
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f".{MODULES[name]}", __name__)
    return getattr(module, name)
