"""Conversion of jobs and records to and from the fields of JSON objects."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import msgspec

T = TypeVar("T")


def _is_set(attribute: Any, value: Any) -> bool:
    return value != attribute.default


def to_fields(value: Any) -> dict[str, Any]:
    """Return the fields of an attrs object that differ from their defaults.

    Objects in the fields are converted in the same way.
    """
    return attrs.asdict(value, filter=_is_set)


def from_fields(fields: Any, cls: type[T]) -> T:
    """Return the object whose fields `to_fields` has returned.

    Raises:
        ValueError: If a field is missing or of the wrong type.
    """
    try:
        return msgspec.convert(fields, cls)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from error
