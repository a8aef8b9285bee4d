"""Listening sockets, which a process can open before its slow imports."""

from __future__ import annotations

import socket
from collections.abc import Iterable

# Length of the accept queue of a listening socket, in connections.
BACKLOG = 2_048


def bind_to(address: str) -> socket.socket:
    """Return a socket that is bound to an address and does not listen yet.

    Args:
        address: `IP:port`; with port 0 the system chooses a free port.

    Raises:
        OSError: If the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol is IPPROTO_TCP. Without
    # it, answers wait about 40 ms for a delayed acknowledgement.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host.strip("[]"), int(port)))
    return sock


def open_available_sockets(addresses: Iterable[str]) -> dict[str, socket.socket]:
    """Return listening sockets by address, without those that cannot be opened.

    Connections wait in the accept queue until a server accepts them. A server that
    finds no socket for its address binds the address itself and reports the error.
    """
    sockets = {}
    for address in addresses:
        try:
            sock = bind_to(address)
        except OSError:
            # The server binds this address itself and reports the error.
            continue
        sock.listen(BACKLOG)
        sockets[address] = sock
    return sockets
