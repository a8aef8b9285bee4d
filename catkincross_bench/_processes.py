"""What the bench reads of running processes: processor time, memory and sockets."""

from __future__ import annotations

import re
import subprocess

import attrs
import psutil

# Headers of IP and TCP with timestamps, counted for each segment.
SEGMENT_HEADER_BYTES = 52


@attrs.frozen
class Sample:
    """A process at one moment.

    Attributes:
        cpu_s: Processor time since its start.
        sockets: Bytes on the wire in both directions by (local port, remote port).
    """

    cpu_s: float
    resident_mb: float
    sockets: dict[tuple[int, int], int]


def sample(pid: int) -> Sample:
    """Return a sample of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Sample(
        cpu_s=times.user + times.system,
        resident_mb=process.memory_info().rss / 1e6,
        sockets=_sockets(pid),
    )


def _sockets(pid: int) -> dict[tuple[int, int], int]:
    listed = subprocess.run(
        ["ss", "-tinpHO"], capture_output=True, text=True, check=True
    ).stdout
    found = {}
    for line in listed.splitlines():
        if f"pid={pid}," not in line:
            continue
        parts = line.split()
        ports = tuple(int(part.rpartition(":")[2]) for part in parts[3:5])
        found[ports] = socket_bytes(line)
    return found


def socket_bytes(line: str) -> int:
    """Return the bytes of a line of `ss -tin`, payload and headers, both ways."""
    values = {
        name: int(value)
        for name, value in re.findall(
            r"\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)", line
        )
    }
    payload = values.get("bytes_sent", 0) + values.get("bytes_received", 0)
    segments = values.get("segs_out", 0) + values.get("segs_in", 0)
    return payload + SEGMENT_HEADER_BYTES * segments


def grown_bytes(before: Sample, after: Sample, *, port: int | None = None) -> int:
    """Return the bytes of the time between two samples.

    Args:
        before: Earlier sample.
        after: Later sample; a socket that closed in between is not counted.
        port: Count only the sockets of this local or remote port.
    """
    return sum(
        count - before.sockets.get(ports, 0)
        for ports, count in after.sockets.items()
        if port is None or port in ports
    )
