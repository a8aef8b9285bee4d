"""The INI settings file of the two daemons on the platform."""

from __future__ import annotations

import configparser
import os
from pathlib import Path
from typing import TYPE_CHECKING

import attrs

from ..foundation._setting import setting
from ..platform import MAX_LISTED_ENDS, NodeSettings
from ..workers import WorkerLimits

if TYPE_CHECKING:
    from ..owner import OwnerLimits

OWN_SETTINGS_VARIABLE = "CATKINCROSS_SETTINGS"
SECTION = "platform"
# Time reserved for message delays within and between data centres and for timer delays,
# in milliseconds.
MESSAGE_RESERVE_MS = 80
# A heartbeat is not used for starts this long before the time at which a capacity that
# has shrunk since is in force, in milliseconds; the order takes up to 100 ms.
ORDER_RESERVE_MS = 300
# Runs of a lost entry have to be stopped this long before client accounts send its jobs
# again, in milliseconds: a state interval of 200 ms, a stop of 50 ms, and delays.
RESEND_RESERVE_MS = 500
# Two state intervals of an agent, in milliseconds: a shorter silence would end the
# leases of live entries.
MIN_SILENCE_MS = 400


@attrs.frozen
class OwnSettings:
    """Section `[platform]` of the settings file, read by both daemons."""

    authority_ms: int = setting(
        3_000,
        unit="ms",
        low=1_000,
        high=30_000,
        about="How long an owner may start tasks of stored jobs after its last "
        "contact with the store.",
    )
    silence_ms: int = setting(
        2_000,
        unit="ms",
        low=1_500,
        high=30_000,
        about="How long an agent keeps runs of a silent owner's stored jobs; has to "
        "exceed the time of a takeover, about 1,400 ms.",
    )
    volatile_silence_ms: int = setting(
        800,
        unit="ms",
        low=400,
        high=10_000,
        about="How long an agent keeps runs of a silent entry's volatile jobs; capped "
        "by the time after which client accounts send the jobs again.",
    )
    offered_entries: int = setting(
        5,
        low=1,
        high=1_000,
        about="Number of entries that may send tasks to an agent.",
    )
    state_interval_ms: int = setting(
        200,
        unit="ms",
        low=50,
        high=500,
        about="Longest time between two states that an agent sends to an entry that "
        "may send it tasks.",
    )
    far_interval_ms: int = setting(
        700,
        unit="ms",
        low=100,
        high=800,
        about="Time between two states that an agent sends to any other entry; links "
        "are closed after 1,600 ms of silence.",
    )
    log_lines_per_s: int = setting(
        800,
        unit="lines/s",
        low=10,
        high=100_000,
        about="Rate of log lines above which lines are dropped and counted.",
    )
    metrics_port: int = setting(
        9_464,
        low=1,
        high=65_535,
        about="Port of the metrics; has to match deploy/system.toml.",
    )

    def owner_limits(self, node: NodeSettings) -> OwnerLimits:
        """Return the limits of an owner, from these and the platform's settings."""
        # An agent has no owner and need not import it.
        from ..owner import OwnerLimits

        return OwnerLimits(
            shards=node.shards,
            authority_ms=self.authority_ms,
            silence_ms=self.silence_ms,
            volatile_silence_ms=volatile_silence_ms(self, node),
            member_ttl_ms=node.member_ttl_ms,
            lapse_ms=lapse_ms(node),
            status_ms=node.status_ms,
            keep_ms=node.keep_ms,
            record_bytes=node.record_bytes,
            remote_factor=node.remote_factor,
        )

    def worker_limits(self, node: NodeSettings) -> WorkerLimits:
        """Return the limits of an agent, from these and the platform's settings."""
        return WorkerLimits(
            shards=node.shards,
            lease_ms=node.lease_ms,
            state_interval_ms=self.state_interval_ms,
            far_interval_ms=self.far_interval_ms,
            offered_entries=self.offered_entries,
            heartbeat_valid_ms=node.capacity_change_ms - ORDER_RESERVE_MS,
            max_listed_ends=MAX_LISTED_ENDS,
        )


def lapse_ms(node: NodeSettings) -> int:
    """Return the longest time from the end of an agent's lease to the end of its runs.

    It is the agent's own bound, and the reserve for message delays, in milliseconds.
    """
    limits = WorkerLimits(lease_ms=node.lease_ms)
    return limits.longest_run_end_ms + MESSAGE_RESERVE_MS


def volatile_silence_ms(own_settings: OwnSettings, node: NodeSettings) -> int:
    """Return how long agents keep runs of a silent entry's volatile jobs, in ms.

    The runs have to be stopped before client accounts send the jobs again, so the
    client accounts' resend time caps the configured value.
    """
    before_resend_ms = node.resend_ms - RESEND_RESERVE_MS
    return max(min(own_settings.volatile_silence_ms, before_resend_ms), MIN_SILENCE_MS)


def load_own_settings(path: str | None = None) -> OwnSettings:
    """Read the settings file.

    Errors are raised, not returned with the package `returns`: its import would add a
    fifth to the startup time of a daemon.

    Args:
        path: Path of the file; None for the one in the environment variable
            `CATKINCROSS_SETTINGS`. Without either, all settings have their defaults.

    Raises:
        ValueError: If the file cannot be read, or a section, key or value is invalid;
            the message names the file, the key and the allowed values.
    """
    source = path or os.environ.get(OWN_SETTINGS_VARIABLE, "")
    if not source:
        return OwnSettings()
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(source).read_text(encoding="utf-8"), source)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        text = " ".join(str(error).split())
        raise ValueError(f"{source}: cannot be read: {text}") from error
    for name in parser.sections():
        if name != SECTION:
            raise ValueError(f"{source}: [{name}]: is unknown; allowed is [{SECTION}]")
    raw_values = dict(parser.items(SECTION)) if parser.has_section(SECTION) else {}
    return OwnSettings(**_parse_values(source, raw_values))


def _parse_values(source: str, raw_values: dict[str, str]) -> dict[str, int]:
    fields = attrs.fields_dict(OwnSettings)
    values = {}
    for key, text in raw_values.items():
        location = f"{source}: [{SECTION}] {key}"
        if key not in fields:
            raise ValueError(f"{location}: is unknown; allowed are {', '.join(fields)}")
        low, high = (fields[key].metadata[name] for name in ("low", "high"))
        if not text.isdecimal() or not low <= int(text) <= high:
            allowed = f"a whole number from {low} to {high}"
            raise ValueError(
                f"{location}: {text!r} is not allowed; allowed is {allowed}"
            )
        values[key] = int(text)
    return values
