"""Listening sockets, opened before a process has imported all that it needs."""

from __future__ import annotations

import socket
from collections.abc import Iterable

BACKLOG = 2_048


def bind_to(address: str) -> socket.socket:
    """Return a socket that is bound to an address and does not listen yet.

    Args:
        address: `IP:port`; port 0 takes a free one.

    Raises:
        OSError: If the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sends small writes at once only on sockets that name their protocol;
    # otherwise answers wait about 40 ms for a delayed acknowledgement.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host.strip("[]"), int(port)))
    return sock


def listen_early(addresses: Iterable[str]) -> dict[str, socket.socket]:
    """Return listening sockets by address, without those that cannot be opened.

    Connections wait in their queues until a server accepts them. A server that needs an
    address that is missing opens it again, and reports the error.
    """
    sockets = {}
    for address in addresses:
        try:
            sock = bind_to(address)
        except OSError:
            # The server that opens it again reports the error.
            continue
        sock.listen(BACKLOG)
        sockets[address] = sock
    return sockets
