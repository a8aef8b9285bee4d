"""Base class and helpers of the HTTP clients of the platform's services."""

from __future__ import annotations

from typing import Any

import aiohttp
import orjson

# Errors of a call without a response. The service may have carried out the call, or may
# still do so later.
NO_RESPONSE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class HttpServiceClient:
    """Base class of the HTTP clients: service address and connection pool.

    Args:
        address: `IP:port` of the service.
        keepalive_s: How long an idle connection is kept open, in seconds.

    Attributes:
        url: Base URL of the service, without a trailing slash.
    """

    def __init__(self, address: str, *, keepalive_s: float) -> None:
        self.set_address(address)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=keepalive_s)
        )

    def set_address(self, address: str) -> None:
        """Send later calls to another `IP:port`."""
        self.url = f"http://{address}"

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a response body; empty if the body is not one."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
