"""Opens the listening sockets of a daemon before its slow imports."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..foundation._listening import open_available_sockets
from ..platform._settings import NodeSettings, load_node_settings

# Addresses to which client accounts, the load balancer and workers connect, by role.
# A refused connection is retried after 1.3 s, a refused heartbeat after 1.5 s.
EARLY_ADDRESSES: dict[str, Callable[[NodeSettings], tuple[str, ...]]] = {
    "entry": lambda node: (node.front, node.ready),
    "agent": lambda node: (node.control,),
}


def open_listening_sockets(role: str) -> dict[str, socket.socket]:
    """Return the listening sockets of a role, by address.

    Args:
        role: `entry` or `agent`.

    Returns:
        The sockets; none if the settings cannot be read, since the daemon reads the
        settings again later and reports the error. Addresses that cannot be opened are
        missing.
    """
    try:
        node = load_node_settings()
    except (OSError, ValueError, KeyError):
        return {}
    return open_available_sockets(EARLY_ADDRESSES[role](node))
