"""Tests of reloading the settings of a running daemon."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest

from catkincross.clock import SystemClock
from catkincross.daemons import _reload
from catkincross.daemons._log import DecisionLog
from catkincross.daemons._own_settings import OWN_SETTINGS_VARIABLE, OwnSettings
from catkincross.daemons._reload import watch_settings
from catkincross.platform import NODE_FILE_VARIABLE, NodeSettings, load_node_settings

LIMIT_S = 10.0
NODE = """
node_id = "edge-1"
ip = "127.0.0.1"
zone = "perth"
port_range = [7000, 7015]
[platform]
address = "127.0.0.1:1"
parts = 16
keep_s = 300
ttl_min_ms = 1000
[bounds]
hold_max_ms = {lease}
stop_ms = 50
status_s = 120
grace_s = 6
"""


class Daemon:
    """A daemon that records the settings with which it was reloaded."""

    def __init__(self) -> None:
        self.settings = load_node_settings()
        self.reloaded: list[NodeSettings] = []

    def reload(self, settings: NodeSettings, own_settings: OwnSettings) -> None:
        """Record the new settings."""
        self.settings = settings
        self.reloaded.append(settings)


@pytest.fixture
def node_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Return the path of a settings file that the environment names."""
    path = tmp_path / "node.toml"
    path.write_text(NODE.format(lease=1_000), encoding="utf-8")
    monkeypatch.setenv(NODE_FILE_VARIABLE, str(path))
    monkeypatch.delenv(OWN_SETTINGS_VARIABLE, raising=False)
    monkeypatch.setattr(_reload, "CHECK_INTERVAL_S", 0.02)
    return path


def play(node_file: Path, text: str, *, by_signal: bool) -> tuple[Daemon, list[str]]:
    """Change the file while a daemon runs; return the daemon and its log events."""

    async def run() -> tuple[Daemon, list[str]]:
        clock = SystemClock()
        log = DecisionLog("e", clock, os.open(os.devnull, os.O_WRONLY))
        daemon = Daemon()
        task = asyncio.create_task(watch_settings(daemon, OwnSettings(), log))
        await asyncio.sleep(0.05)
        node_file.write_text(text, encoding="utf-8")
        if by_signal:
            os.kill(os.getpid(), signal.SIGHUP)
        async with asyncio.timeout(LIMIT_S):
            while not {"reload", "reload failed"} & set(log.event_counts):
                await asyncio.sleep(0.01)
        task.cancel()
        return daemon, list(log.event_counts)

    return asyncio.run(run())


@pytest.mark.parametrize("by_signal", [True, False])
def test_a_change_is_applied_with_and_without_a_signal(
    node_file: Path, by_signal: bool
) -> None:
    """SIGHUP ended the process, and its requests in flight were lost."""
    changed = NODE.format(lease=2_000)
    daemon, _ = play(node_file, changed, by_signal=by_signal)
    assert daemon.settings.lease_ms == 2_000


def test_settings_that_cannot_be_read_leave_the_old_ones_in_force(
    node_file: Path,
) -> None:
    """A partly written file must not stop a daemon or replace its settings."""
    daemon, events = play(node_file, "node_id = ", by_signal=True)
    assert daemon.reloaded == []
    assert events == ["reload failed"]
