"""Checked loader of the daemons' INI files."""

from __future__ import annotations

import configparser
import sys
from pathlib import Path
from typing import Any, TypeVar, get_origin

import attrs
from returns.result import Failure, Result, Success

from ..foundation._checked import INI_VALUES, Problem, fields_of, read_fields
from ._settings import AgentSettings, EntrySettings

Settings = TypeVar("Settings")

TOP_SECTIONS: dict[type, str] = {EntrySettings: "entry", AgentSettings: "agent"}
EXIT_BAD_CONFIG = 2


def load_settings(path: str | Path, kind: type[Settings]) -> Result[Settings, str]:
    """Read and check an INI file.

    Args:
        path: The file.
        kind: `EntrySettings` or `AgentSettings`. Its own fields are in the section
            `[entry]` or `[agent]`, those of a nested class in a section of its name.

    Returns:
        The settings, or one line that names file, section, key and what is allowed.
    """
    match _read_sections(path):
        case Success(sections):
            return _build(path, kind, sections)
        case failure:
            return failure


def settings_or_exit(path: str | Path, kind: type[Settings]) -> Settings:
    """Return the settings of a file, or end the process with one line on stderr."""
    match load_settings(path, kind):
        case Success(settings):
            return settings
        case Failure(line):
            print(line, file=sys.stderr)
            sys.exit(EXIT_BAD_CONFIG)


def detect_kind(path: str | Path) -> Result[type, str]:
    """Return the settings class that a file is for, by its top section."""
    match _read_sections(path):
        case Success(sections):
            found = [kind for kind, name in TOP_SECTIONS.items() if name in sections]
        case failure:
            return failure
    if len(found) == 1:
        return Success(found[0])
    return Failure(f"{path}: allowed is exactly one of the sections [entry], [agent]")


def _read_sections(path: str | Path) -> Result[dict[str, dict[str, str]], str]:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        # No section gives defaults to others: each key is checked where it stands.
        default_section="\n",
        empty_lines_in_values=False,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), str(path))
    except OSError as error:
        return Failure(f"{path}: cannot be read: {error.strerror}")
    except UnicodeDecodeError:
        return Failure(f"{path}: is not UTF-8 text")
    except configparser.Error as error:
        return Failure(f"{path}: {' '.join(str(error).split())}")
    return Success({name: dict(parser.items(name)) for name in parser.sections()})


def _build(
    path: str | Path, kind: type[Settings], sections: dict[str, dict[str, str]]
) -> Result[Settings, str]:
    top = TOP_SECTIONS[kind]
    fields = fields_of(kind)
    nested = {key.strip("[]"): key for key, field in fields.items() if _nested(field)}
    plain = [key for key in fields if key not in nested.values()]
    data: dict[str, Any] = dict(sections.get(top, {}))
    for key in data:
        if key not in plain:
            allowed = ", ".join(plain)
            return Failure(f"{path}: [{top}] {key}: is unknown; allowed are {allowed}")
    for name, values in sections.items():
        if name != top and name not in nested:
            allowed = ", ".join(f"[{section}]" for section in (top, *nested))
            return Failure(f"{path}: [{name}]: is unknown; allowed are {allowed}")
        if name != top:
            data[nested[name]] = values
    return read_fields(kind, data, values=INI_VALUES).alt(
        lambda problem: f"{path}: {_place(problem, top, nested)}: {problem.text}"
    )


def _nested(field: attrs.Attribute[Any]) -> bool:
    kind = field.type
    has_fields = isinstance(kind, type) and attrs.has(kind)
    return has_fields or get_origin(kind) is dict


def _place(problem: Problem, top: str, nested: dict[str, str]) -> str:
    first, *rest = problem.path
    if first in nested.values():
        return f"[{first.strip('[]')}] {'.'.join(rest)}".rstrip()
    return f"[{top}] {first}"
