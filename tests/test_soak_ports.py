"""Ports of daemons that a soak restarts."""

from __future__ import annotations

from pathlib import Path

import pytest

from scenarios import soak_ports


def test_a_daemon_gets_no_port_of_outgoing_connections() -> None:
    """A restarted daemon found its port taken and did not come back."""
    low, high = soak_ports.outgoing_ports()
    addresses = [soak_ports.free_address() for _ in range(300)]
    assert len(set(addresses)) == 300
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    assert not [port for port in ports if low <= port <= high]


def test_soaks_with_the_same_first_block_use_different_ports() -> None:
    """Processes whose IDs differ by the number of blocks run side by side."""
    blocks = len(soak_ports.port_blocks())
    one, other = soak_ports._free_ports(-1), soak_ports._free_ports(-1 - blocks)
    first, second = ([next(ports) for _ in range(60)] for ports in (one, other))
    one.close()
    other.close()
    assert not set(first) & set(second)


def test_an_unreadable_range_is_replaced_by_the_usual_one(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """A host without the file in /proc still runs the soak."""
    monkeypatch.setattr(soak_ports, "OUTGOING_RANGE", tmp_path / "missing")
    assert soak_ports.outgoing_ports() == soak_ports.DEFAULT_OUTGOING
    assert soak_ports.port_blocks()
