"""Translation between the users' platform and the product; nothing is decided here."""

from __future__ import annotations

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
