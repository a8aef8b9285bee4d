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


def _ini_list(value: str, list_type: Any) -> list[Any]:
    (item_type,) = get_args(list_type)
    words = value.replace(",", " ").split()
    return [INI_CONVERTER.structure(word, item_type) for word in words]


JSON_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
JSON_CONVERTER.register_structure_hook(int, _json_int)
JSON_CONVERTER.register_structure_hook(float, _json_float)
JSON_CONVERTER.register_structure_hook(bool, _json_bool)
JSON_CONVERTER.register_structure_hook(str, _json_str)

INI_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
INI_CONVERTER.register_structure_hook(int, _ini_int)
INI_CONVERTER.register_structure_hook(bool, _ini_bool)
INI_CONVERTER.register_structure_hook_func(
    lambda field_type: get_origin(field_type) is list, _ini_list
)


@cache
def fields_by_key(cls: type) -> dict[str, attrs.Attribute[Any]]:
    """Return the fields of an attrs class, with resolved types, by key.

    The key of a field with `section` in its metadata is the section's name in
    brackets, so that another field may have the same name as a section.
    """
    attrs.resolve_types(cls)
    return {_field_key(field): field for field in attrs.fields(cls)}


def _field_key(field: attrs.Attribute[Any]) -> str:
    section = field.metadata.get("section")
    return f"[{section}]" if section else field.name


def describe_allowed(field: attrs.Attribute[Any]) -> str:
    """Return the allowed type, bounds and unit of a field, for messages and docs."""
    metadata = field.metadata
    if metadata.get("allowed"):
        return "one of " + ", ".join(metadata["allowed"])
    cls = get_origin(field.type) or field.type
    type_names = {int: "a whole number", float: "a number", bool: "true or false"}
    type_names |= {str: "text", list: "a list", dict: "names with values"}
    text = type_names.get(cls, "fields of their own")
    low, high, unit = (metadata.get(key) for key in ("low", "high", "unit"))
    if low is not None and high is not None:
        text += f" from {low} to {high}"
    elif low is not None:
        text += f", at least {low}"
    elif high is not None:
        text += f", at most {high}"
    return f"{text} {unit}" if unit else text


def read_fields(
    cls: type, data: Any, *, converter: cattrs.Converter, path: tuple[str, ...] = ()
) -> Result[Any, Problem]:
    """Build an attrs class from a mapping.

    Args:
        cls: The attrs class; its fields may be attrs classes and lists of them.
        data: Values by key; anything but a mapping gives a `Problem`.
        converter: Converter of single values: `JSON_CONVERTER` or `INI_CONVERTER`.
        path: Path of the mapping in the whole document; the start of a problem's path.

    Returns:
        The instance, or the first problem found.
    """
    fields = fields_by_key(cls)
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
                text = f"is missing; allowed is {describe_allowed(field)}"
                return Failure(Problem((*path, key), text))
            continue
        match _read_value(field, data[key], converter, (*path, key)):
            case Success(value):
                arguments[field.name] = value
            case failure:
                return failure
    return Success(cls(**arguments))


@cache
def _type_info(field: attrs.Attribute[Any]) -> tuple[Any, bool, type | None]:
    """Return a field's type, whether it is an attrs class, and its list item class.

    The item class is None unless the field is a list of attrs classes.
    """
    field_type = field.type
    is_attrs_class = isinstance(field_type, type) and attrs.has(field_type)
    type_args = get_args(field_type)
    is_list_of_attrs = get_origin(field_type) is list and attrs.has(type_args[0])
    return field_type, is_attrs_class, type_args[0] if is_list_of_attrs else None


def _read_value(
    field: attrs.Attribute[Any],
    value: Any,
    converter: cattrs.Converter,
    path: tuple[str, ...],
) -> Result[Any, Problem]:
    field_type, is_attrs_class, item_class = _type_info(field)
    if is_attrs_class:
        return read_fields(field_type, value, converter=converter, path=path)
    if item_class is not None:
        return _read_list(field, item_class, value, converter, path)
    try:
        result = converter.get_structure_hook(field_type)(value, field_type)
    except Exception:  # A structure hook may raise any exception.
        text = f"{_describe_value(field, value)} is not allowed; allowed is"
        return Failure(Problem(path, f"{text} {describe_allowed(field)}"))
    return _check_bounds(field, result, path)


def _read_list(
    field: attrs.Attribute[Any],
    item_class: type,
    value: Any,
    converter: cattrs.Converter,
    path: tuple[str, ...],
) -> Result[Any, Problem]:
    if not isinstance(value, list):
        return Failure(Problem(path, f"allowed is {describe_allowed(field)}"))
    results = []
    for index, item in enumerate(value):
        match read_fields(
            item_class, item, converter=converter, path=(*path, str(index))
        ):
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
    return Failure(Problem(path, f"{text}; allowed is {describe_allowed(field)}"))


def _describe_value(field: attrs.Attribute[Any], value: Any) -> str:
    # Messages must not show secrets.
    if "token" in field.name or not isinstance(value, str | int | float):
        return "the value"
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
