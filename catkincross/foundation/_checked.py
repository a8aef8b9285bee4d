"""Builds attrs classes from mappings; checks keys, types and bounds."""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import cache
from typing import Any, get_args, get_origin

import attrs
import cattrs
from returns.result import Failure, Result, Success


@attrs.frozen
class Problem:
    """An error in a mapping.

    Attributes:
        path: Keys and list indices that lead to the invalid value, outermost first.
        text: Description of the error and of what is allowed.
    """

    path: tuple[str, ...]
    text: str

    @property
    def field(self) -> str:
        """The path as a string, such as `tasks[3].size`."""
        text = ""
        for key in self.path:
            text += f"[{key}]" if key.isdigit() else f".{key}" if text else key
        return text


def _json_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("not a whole number")
    return value


def _json_float(value: Any, _: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("not a number")
    return float(value)


def _json_bool(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise ValueError("not a boolean")
    return value


def _json_str(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError("not a string")
    return value


def _ini_int(value: str, _: type) -> int:
    if not re.fullmatch(r"[+-]?[0-9]+(_[0-9]+)*", value):
        raise ValueError("not a whole number")
    return int(value)


def _ini_bool(value: str, _: type) -> bool:
    words = {"true": True, "yes": True, "on": True}
    words |= {"false": False, "no": False, "off": False}
    return words[value.lower()]


def _ini_list(value: str, kind: Any) -> list[Any]:
    (item_type,) = get_args(kind)
    words = value.replace(",", " ").split()
    return [INI_VALUES.structure(word, item_type) for word in words]


JSON_VALUES = cattrs.Converter(forbid_extra_keys=True)
JSON_VALUES.register_structure_hook(int, _json_int)
JSON_VALUES.register_structure_hook(float, _json_float)
JSON_VALUES.register_structure_hook(bool, _json_bool)
JSON_VALUES.register_structure_hook(str, _json_str)

INI_VALUES = cattrs.Converter(forbid_extra_keys=True)
INI_VALUES.register_structure_hook(int, _ini_int)
INI_VALUES.register_structure_hook(bool, _ini_bool)
INI_VALUES.register_structure_hook_func(
    lambda kind: get_origin(kind) is list, _ini_list
)


@cache
def fields_of(kind: type) -> dict[str, attrs.Attribute[Any]]:
    """Return the fields of an attrs class, with resolved types, by key.

    The key of a field with `section` in its metadata is the section's name in
    brackets, so that another field may have the same name as a section.
    """
    attrs.resolve_types(kind)
    return {_field_key(field): field for field in attrs.fields(kind)}


def _field_key(field: attrs.Attribute[Any]) -> str:
    section = field.metadata.get("section")
    return f"[{section}]" if section else field.name


def allowed_text(field: attrs.Attribute[Any]) -> str:
    """Return the allowed type, bounds and unit of a field, for messages and docs."""
    metadata = field.metadata
    if metadata.get("allowed"):
        return "one of " + ", ".join(metadata["allowed"])
    kind = get_origin(field.type) or field.type
    names = {int: "a whole number", float: "a number", bool: "true or false"}
    names |= {str: "text", list: "a list", dict: "names with values"}
    text = names.get(kind, "fields of their own")
    low, high, unit = (metadata.get(key) for key in ("low", "high", "unit"))
    if low is not None and high is not None:
        text += f" from {low} to {high}"
    elif low is not None:
        text += f", at least {low}"
    elif high is not None:
        text += f", at most {high}"
    return f"{text} {unit}" if unit else text


def read_fields(
    kind: type, data: Any, *, values: cattrs.Converter, path: tuple[str, ...] = ()
) -> Result[Any, Problem]:
    """Build an attrs class from a mapping.

    Args:
        kind: The attrs class; its fields may be attrs classes and lists of them.
        data: Values by key; anything but a mapping is a problem.
        values: Converter of single values: `JSON_VALUES` or `INI_VALUES`.
        path: Path of the mapping in the whole document; the start of a problem's path.

    Returns:
        The instance, or the first problem found.
    """
    fields = fields_of(kind)
    if not isinstance(data, Mapping):
        return Failure(Problem(path, "allowed are fields of their own"))
    for key in data:
        if key not in fields:
            text = f"is unknown; allowed are {', '.join(fields)}"
            return Failure(Problem((*path, str(key)), text))
    arguments = {}
    for key, field in fields.items():
        if key not in data:
            if field.default is attrs.NOTHING:
                text = f"is missing; allowed is {allowed_text(field)}"
                return Failure(Problem((*path, key), text))
            continue
        match _read_value(field, data[key], values, (*path, key)):
            case Success(value):
                arguments[field.name] = value
            case failure:
                return failure
    return Success(kind(**arguments))


@cache
def _type_info(field: attrs.Attribute[Any]) -> tuple[Any, bool, type | None]:
    """Return a field's type, whether it is an attrs class, and its list item class.

    The item class is None unless the field is a list of attrs classes.
    """
    kind = field.type
    is_attrs_class = isinstance(kind, type) and attrs.has(kind)
    type_args = get_args(kind)
    is_list_of_attrs = get_origin(kind) is list and attrs.has(type_args[0])
    return kind, is_attrs_class, type_args[0] if is_list_of_attrs else None


def _read_value(
    field: attrs.Attribute[Any],
    value: Any,
    values: cattrs.Converter,
    path: tuple[str, ...],
) -> Result[Any, Problem]:
    kind, is_attrs_class, item_class = _type_info(field)
    if is_attrs_class:
        return read_fields(kind, value, values=values, path=path)
    if item_class is not None:
        return _read_list(field, item_class, value, values, path)
    try:
        result = values.get_structure_hook(kind)(value, kind)
    except Exception:  # A structure hook may raise any exception.
        text = f"{_describe_value(field, value)} is not allowed; allowed is"
        return Failure(Problem(path, f"{text} {allowed_text(field)}"))
    return _check_bounds(field, result, path)


def _read_list(
    field: attrs.Attribute[Any],
    item_class: type,
    value: Any,
    values: cattrs.Converter,
    path: tuple[str, ...],
) -> Result[Any, Problem]:
    if not isinstance(value, list):
        return Failure(Problem(path, f"allowed is {allowed_text(field)}"))
    results = []
    for index, item in enumerate(value):
        match read_fields(item_class, item, values=values, path=(*path, str(index))):
            case Success(result):
                results.append(result)
            case failure:
                return failure
    return _check_bounds(field, results, path)


def _check_bounds(
    field: attrs.Attribute[Any], value: Any, path: tuple[str, ...]
) -> Result[Any, Problem]:
    low, high = field.metadata.get("low"), field.metadata.get("high")
    allowed = field.metadata.get("allowed")
    size = value if isinstance(value, int | float) else len(value)
    within = (low is None or size >= low) and (high is None or size <= high)
    empty = value == "" and field.default is attrs.NOTHING
    if within and not empty and (not allowed or value in allowed):
        return Success(value)
    text = f"{_describe_value(field, value)} is out of bounds"
    if empty or allowed:
        text = f"{_describe_value(field, value)} is not allowed"
    return Failure(Problem(path, f"{text}; allowed is {allowed_text(field)}"))


def _describe_value(field: attrs.Attribute[Any], value: Any) -> str:
    if "token" in field.name or not isinstance(value, str | int | float):
        return "the value"
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
