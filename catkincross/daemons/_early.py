"""What a daemon does before it imports the rest of itself."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..foundation._listening import listen_early
from ..platform._settings import NodeSettings, load_node_settings

# Addresses to which client accounts, the balancer and workers connect, by role. A
# connection that is refused comes again 1.3 s later, a heartbeat 1.5 s later.
EARLY_ADDRESSES: dict[str, Callable[[NodeSettings], tuple[str, ...]]] = {
    "entry": lambda node: (node.front, node.ready),
    "agent": lambda node: (node.control,),
}


def open_listening_sockets(role: str) -> dict[str, socket.socket]:
    """Return the listening sockets of a role by address.

    There are none if the settings cannot be read, which the daemon reports.
    """
    try:
        node = load_node_settings()
    except (OSError, ValueError, KeyError):
        return {}
    return listen_early(EARLY_ADDRESSES[role](node))
