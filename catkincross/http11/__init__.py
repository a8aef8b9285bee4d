"""HTTP/1.1 client and ASGI helpers that are cheap to import and cheap for each request.

The daemons on the platform use them, since their hosts have a fraction of a core and
importing a full HTTP framework takes seconds there. The client uses the parser of
httptools; uvicorn serves the applications.
"""

from __future__ import annotations

from ._client import HttpClient
from ._messages import (
    BodyTooLarge,
    ClientDisconnected,
    ErrorReportingApp,
    HttpResponse,
    read_body,
    read_header,
    wait_for_disconnect,
)

__all__ = [
    "BodyTooLarge",
    "ClientDisconnected",
    "ErrorReportingApp",
    "HttpClient",
    "HttpResponse",
    "read_body",
    "read_header",
    "wait_for_disconnect",
]
