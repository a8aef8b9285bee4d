"""What the clients of the platform's services share."""

from __future__ import annotations

from typing import Any

import aiohttp
import orjson

# A call that ended so got no answer: it may have been carried out, or may be later.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


def fields_of(body: bytes) -> dict[str, Any]:
    """Return the fields of an answer; none if it is no JSON object."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
