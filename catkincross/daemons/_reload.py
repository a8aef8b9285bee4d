"""Reload of the settings of a running daemon."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from pathlib import Path
from typing import Any, Protocol

import attrs

from ..platform import SETTINGS_VARIABLE, NodeSettings, load_node_settings
from ._log import DecisionLog
from ._own_settings import OWN_SETTINGS_VARIABLE, OwnSettings, load_own_settings

# The settings may change without a signal; the files are looked at this often, in
# seconds, half of the shortest time in which a configuration has to be in force.
CHECK_INTERVAL_S = 1.0


class Reloadable(Protocol):
    """A daemon whose settings can change."""

    settings: NodeSettings

    def reload(self, settings: NodeSettings, own_settings: OwnSettings) -> None:
        """Take new settings."""


def _file_versions() -> list[tuple[int, int]]:
    """Return time of change and size of the settings files that can be seen."""
    found = []
    for variable in (SETTINGS_VARIABLE, OWN_SETTINGS_VARIABLE):
        with contextlib.suppress(OSError):
            # A file that cannot be seen is reported once it is read.
            status = Path(os.environ.get(variable, "")).stat()
            found.append((status.st_mtime_ns, status.st_size))
    return found


def changed_fields(old: Any, new: Any) -> list[str]:
    """Return the names of the fields in which two settings differ."""
    field_names = [field.name for field in attrs.fields(type(old))]
    return [name for name in field_names if getattr(old, name) != getattr(new, name)]


async def watch_settings(
    daemon: Reloadable, own_settings: OwnSettings, log: DecisionLog
) -> None:
    """Reload the settings at SIGHUP, and when a file has changed, until cancelled.

    Settings that cannot be read are logged, and those in force stay.
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
