"""Reloads the settings of a running daemon."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path
from typing import Any, Protocol

import attrs

from ..platform import NODE_FILE_VARIABLE, NodeSettings, load_node_settings
from ._log import DecisionLog
from ._own_settings import OWN_SETTINGS_VARIABLE, OwnSettings, load_own_settings

# Interval of the check for changed files, in seconds. Settings may change without a
# signal; this is half of the shortest time in which a change has to be in force.
CHECK_INTERVAL_S = 1.0


class Reloadable(Protocol):
    """A daemon whose settings can be replaced while it runs."""

    settings: NodeSettings

    def reload(self, settings: NodeSettings, own_settings: OwnSettings) -> None:
        """Replace the settings in force."""


def _file_versions() -> list[tuple[int, int]]:
    """Return modification time (ns) and size (bytes) of existing settings files."""
    versions_on_disk = []
    for variable in (NODE_FILE_VARIABLE, OWN_SETTINGS_VARIABLE):
        with contextlib.suppress(OSError):
            # Loading the settings reports a missing file.
            status = Path(os.environ.get(variable, "")).stat()
            versions_on_disk.append((status.st_mtime_ns, status.st_size))
    return versions_on_disk


def changed_fields(old: Any, new: Any) -> list[str]:
    """Return the names of the fields that differ between two settings objects."""
    field_names = [field.name for field in attrs.fields(type(old))]
    return [name for name in field_names if getattr(old, name) != getattr(new, name)]


async def watch_settings(
    daemon: Reloadable, own_settings: OwnSettings, log: DecisionLog
) -> None:
    """Reload the settings on SIGHUP and on file changes, until cancelled.

    If the new settings are invalid, the error is logged and the old ones stay in force.
    """
    sighup_received = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, sighup_received.set)
    loaded_versions = _file_versions()
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(sighup_received.wait(), CHECK_INTERVAL_S)
        versions = _file_versions()
        by_signal = sighup_received.is_set()
        if versions == loaded_versions and not by_signal:
            continue
        loaded_versions = versions
        sighup_received.clear()
        try:
            settings, new_own_settings = load_node_settings(), load_own_settings()
        except (OSError, ValueError) as error:
            log.note("reload failed", error=str(error), by_signal=by_signal)
            continue
        changed_names = changed_fields(daemon.settings, settings)
        changed_names += changed_fields(own_settings, new_own_settings)
        daemon.reload(settings, new_own_settings)
        own_settings = new_own_settings
        log.note("reload", changed=changed_names, by_signal=by_signal)
