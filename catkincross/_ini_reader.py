"""Reads settings from an INI file."""

from __future__ import annotations

from configparser import ConfigParser
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import attrs
import cattrs

Kind = TypeVar("Kind")


def read_settings(path: Path, kind: type[Kind], main_section: str) -> Kind:
    """Return the settings of a file.

    Args:
        path: The INI file.
        kind: Settings class; its parts that are settings classes have a section each.
        main_section: Section of the other fields.

    Raises:
        OSError: If the file cannot be read.
        ValueError: If a value has the wrong form.
    """
    parser = ConfigParser(interpolation=None)
    with path.open(encoding="utf-8") as file:
        parser.read_file(file)
    hints = get_type_hints(kind)
    values: dict[str, Any] = dict(_section(parser, main_section))
    for field in attrs.fields(kind):
        if attrs.has(hints[field.name]):
            section = field.metadata.get("section", field.name)
            values[field.name] = _section(parser, section)
    return cattrs.structure(values, kind)


def _section(parser: ConfigParser, name: str) -> dict[str, str]:
    return dict(parser[name]) if parser.has_section(name) else {}
