"""Runs a daemon whose links to other processes pass through a gateway of the soak.

    python -m scenarios.soak_process entry

The variables SOAK_GATEWAY and SOAK_DIRECT name the gateway and, separated by commas,
the addresses that are reached without it.
"""

from __future__ import annotations

import asyncio
import importlib
import os
import socket
import sys
from typing import Any

from .loopback_proxy import CONNECTED

GATEWAY_VARIABLE = "SOAK_GATEWAY"
DIRECT_VARIABLE = "SOAK_DIRECT"

_create_connection = asyncio.SelectorEventLoop.create_connection


async def connect_by_gateway(
    loop: Any, protocol_factory: Any, host: Any = None, port: Any = None, **kwargs: Any
) -> Any:
    """Open a connection as `create_connection` does, by the gateway."""
    address = f"{host}:{port}"
    if host is None or address in os.environ[DIRECT_VARIABLE].split(","):
        return await _create_connection(loop, protocol_factory, host, port, **kwargs)
    gateway_host, _, gateway_port = os.environ[GATEWAY_VARIABLE].rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, (gateway_host, int(gateway_port)))
        await loop.sock_sendall(sock, f"{address}\n".encode())
        if await loop.sock_recv(sock, len(CONNECTED)) != CONNECTED:
            raise ConnectionRefusedError(f"no connection to {address}")
    except BaseException:
        sock.close()
        raise
    return await _create_connection(loop, protocol_factory, sock=sock)


def main() -> None:
    """Run the daemon that the first argument names."""
    asyncio.SelectorEventLoop.create_connection = connect_by_gateway  # type: ignore
    importlib.import_module(f"catkincross.daemons.{sys.argv[1]}").main()


if __name__ == "__main__":
    main()
