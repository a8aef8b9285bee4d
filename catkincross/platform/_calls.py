"""Errors and helpers of the HTTP clients of the platform's services."""

from __future__ import annotations

from typing import Any

import orjson

# Errors of a call without a response. The service may have carried out the call, or may
# still do so later.
NO_RESPONSE_ERRORS = (OSError,)


def json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a response body; empty if the body is not one."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return fields if isinstance(fields, dict) else {}
