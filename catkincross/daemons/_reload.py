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


class Reloading(Protocol):
    """A daemon whose settings can change."""

    settings: NodeSettings

    def reload(self, settings: NodeSettings, own: OwnSettings) -> None:
        """Take new settings."""


def _stamps() -> list[tuple[int, int]]:
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
    names = [field.name for field in attrs.fields(type(old))]
    return [name for name in names if getattr(old, name) != getattr(new, name)]


async def keep_reloaded(daemon: Reloading, own: OwnSettings, log: DecisionLog) -> None:
    """Reload the settings at SIGHUP, and when a file has changed, until cancelled.

    Settings that cannot be read are logged, and those in force stay.
    """
    signalled = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, signalled.set)
    seen = _stamps()
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(signalled.wait(), CHECK_INTERVAL_S)
        stamps = _stamps()
        by_signal = signalled.is_set()
        if stamps == seen and not by_signal:
            continue
        seen = stamps
        signalled.clear()
        try:
            settings, new_own = load_node_settings(), load_own_settings()
        except (OSError, ValueError) as error:
            log.note("reload failed", error=str(error), by_signal=by_signal)
            continue
        fields = changed_fields(daemon.settings, settings)
        fields += changed_fields(own, new_own)
        daemon.reload(settings, new_own)
        own = new_own
        log.note("reload", changed=fields, by_signal=by_signal)
