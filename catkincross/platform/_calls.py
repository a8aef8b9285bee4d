"""What the clients of the platform's services share."""

from __future__ import annotations

from typing import Any

import aiohttp
import orjson

# A call that ended so got no answer: it may have been carried out, or may be later.
NO_RESPONSE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class HttpServiceClient:
    """Address and connections of a client of one of the platform's services.

    Args:
        address: `IP:port` of the service.
        keepalive_s: How long an idle connection is kept, in seconds.
    """

    def __init__(self, address: str, *, keepalive_s: float) -> None:
        self.use_address(address)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=keepalive_s)
        )

    def use_address(self, address: str) -> None:
        """Send further calls to another address."""
        self.url = f"http://{address}"

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def json_object(body: bytes) -> dict[str, Any]:
    """Return the fields of an answer; none if it is no JSON object."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
