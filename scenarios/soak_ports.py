"""Ports for daemons that have to find them free again after a restart."""

from __future__ import annotations

import functools
import os
import socket
from collections.abc import Generator
from pathlib import Path

HOST = "127.0.0.1"
OUTGOING_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_OUTGOING = (32_768, 60_999)
LOWEST_PORT = 10_000
HIGHEST_PORT = 65_535
BLOCK = 128


def outgoing_ports() -> tuple[int, int]:
    """Return the lowest and the highest port of outgoing connections."""
    try:
        low, high = OUTGOING_RANGE.read_text().split()
    except (OSError, ValueError):
        return DEFAULT_OUTGOING
    return int(low), int(high)


def port_blocks() -> list[range]:
    """Return blocks of ports that no outgoing connection gets."""
    low, high = outgoing_ports()
    spans = range(LOWEST_PORT, low), range(high + 1, HIGHEST_PORT + 1)
    blocks = [
        span[at : at + BLOCK]
        for span in spans
        for at in range(0, len(span) - BLOCK + 1, BLOCK)
    ]
    everything = range(LOWEST_PORT, HIGHEST_PORT + 1)
    return blocks or [everything[at : at + BLOCK] for at in range(0, 50_000, BLOCK)]


def _bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((HOST, port))
    except OSError:
        # Another process has the port.
        sock.close()
        return None
    return sock


@functools.cache
def _free_ports(pid: int) -> Generator[int, None, None]:
    """Yield the free ports of one block after another, beginning at one of the process.

    The first port of a block stays bound while its ports are handed out, so that no
    other soak takes the block.
    """
    blocks = port_blocks()
    number = pid
    while True:
        block = blocks[number % len(blocks)]
        number += 1
        guard = _bind(block[0])
        if guard is None:
            continue
        with guard:
            for port in block[1:]:
                probe = _bind(port)
                if probe is not None:
                    probe.close()
                    yield port


def free_address() -> str:
    """Return a free address on loopback that no outgoing connection takes."""
    return f"{HOST}:{next(_free_ports(os.getpid()))}"
