"""HTTP/1.1 server and client that are cheap to import and cheap for each request.

Both use the parser of httptools on asyncio protocols. The daemons on the platform use
them, since their hosts have a fraction of a core and importing a full HTTP framework
takes several seconds there.
"""

from __future__ import annotations

from ._client import HttpClient
from ._messages import (
    ClientDisconnected,
    HttpResponse,
    read_body,
    read_header,
    wait_for_disconnect,
)
from ._server import AsgiServer

__all__ = [
    "AsgiServer",
    "ClientDisconnected",
    "HttpClient",
    "HttpResponse",
    "read_body",
    "read_header",
    "wait_for_disconnect",
]
