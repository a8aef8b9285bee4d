"""Files of resources for `catkincross apply`."""

from __future__ import annotations

import configparser
import json
from pathlib import Path
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ..http_api._resource_specs import KINDS, SPECS, check_name, check_spec


@attrs.frozen
class Declared:
    """A resource as a file declares it.

    Attributes:
        generation: Generation that the file was written for, or None.
    """

    kind: str
    name: str
    spec: dict[str, Any]
    generation: int | None = None


def read_resources(path: str | Path) -> Result[list[Declared], str]:
    """Return the resources of a JSON or an INI file.

    JSON is one resource, a list of them, or an object with `items`; each has `kind`,
    `metadata` with `name`, and `spec`. INI has sections `[kind name]`; a key with dots
    stands for nested fields, and values are JSON or plain text.

    Returns:
        The resources, or one line that says where and what is wrong.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return Failure(f"{path}: is not UTF-8 text")
    read = _read_json if text.lstrip()[:1] in ("{", "[") else _read_ini
    # An INI file starts with a bracket too, so what is no JSON may still be one.
    result = read(text)
    if read is _read_json and text.lstrip().startswith("["):
        result = result.lash(lambda line: _read_ini(text))
    return result.bind(_check).alt(lambda line: f"{path}: {line}")


def _read_json(text: str) -> Result[list[Declared], str]:
    try:
        value = json.loads(text)
    except ValueError as error:
        return Failure(f"is not JSON: {error}")
    if isinstance(value, dict) and "items" in value:
        kind = value.get("kind", "")
        value = [{"kind": kind} | item for item in value["items"]]
    found = []
    for item in value if isinstance(value, list) else [value]:
        metadata = item.get("metadata", {}) if isinstance(item, dict) else {}
        name = metadata.get("name", "") if isinstance(metadata, dict) else ""
        if not name or not item.get("kind"):
            return Failure("a resource needs kind, metadata.name and spec")
        spec = item.get("spec", {})
        generation = metadata.get("generation")
        found.append(Declared(item["kind"], name, spec, generation))
    return Success(found)


def _read_ini(text: str) -> Result[list[Declared], str]:
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section="\n"
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return Failure(" ".join(str(error).split()))
    found = []
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        spec: dict[str, Any] = {}
        for key, value in parser.items(section):
            *parents, last = key.split(".")
            fields = spec
            for parent in parents:
                fields = fields.setdefault(parent, {})
            fields[last] = _ini_value(value)
        found.append(Declared(kind, name.strip(), spec))
    return Success(found)


def _ini_value(text: str) -> Any:
    words = {"yes": True, "on": True, "no": False, "off": False}
    if text.lower() in words:
        return words[text.lower()]
    try:
        return json.loads(text)
    except ValueError:
        return text


def _check(found: list[Declared]) -> Result[list[Declared], str]:
    for item in found:
        if item.kind not in SPECS:
            allowed = ", ".join(SPECS)
            why = "is read only" if item.kind in KINDS else "is unknown"
            return Failure(f"{item.kind}: {why}; allowed are {allowed}")
        for result in (check_name(item.name), check_spec(item.kind, item.spec)):
            match result:
                case Failure(problem):
                    where = f"{item.kind} {item.name}"
                    return Failure(f"{where}: {problem.field}: {problem.text}")
    return Success(found)
