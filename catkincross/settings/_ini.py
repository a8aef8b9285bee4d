"""Loads and checks the INI files of the daemons."""

from __future__ import annotations

import configparser
import sys
from pathlib import Path
from typing import Any, TypeVar, get_origin

import attrs
from returns.result import Failure, Result, Success

from ..foundation._validation import INI_CONVERTER, Problem, fields_by_key, read_fields
from ._settings import AgentSettings, EntrySettings

Settings = TypeVar("Settings")

TOP_SECTIONS: dict[type, str] = {EntrySettings: "entry", AgentSettings: "agent"}
EXIT_BAD_CONFIG = 2


def load_settings(
    path: str | Path, settings_class: type[Settings]
) -> Result[Settings, str]:
    """Read and check an INI file.

    Args:
        path: The file.
        settings_class: `EntrySettings` or `AgentSettings`. The section `[entry]` or
            `[agent]` holds the plain fields of the class; each nested class has a
            section of its own, which is named after its field.

    Returns:
        The settings, or an error message of one line that names the file, the
        section, the key and what is allowed.
    """
    match _read_sections(path):
        case Success(sections):
            return _build_settings(path, settings_class, sections)
        case failure:
            return failure


def load_settings_or_exit(path: str | Path, settings_class: type[Settings]) -> Settings:
    """Return the settings of a file, or exit with one line on stderr.

    The exit status for a file that cannot be loaded is `EXIT_BAD_CONFIG`.
    """
    match load_settings(path, settings_class):
        case Success(settings):
            return settings
        case Failure(line):
            print(line, file=sys.stderr)
            sys.exit(EXIT_BAD_CONFIG)


def detect_settings_class(path: str | Path) -> Result[type, str]:
    """Return the settings class of a file, chosen by its top section."""
    match _read_sections(path):
        case Success(sections):
            found = [
                settings_class
                for settings_class, name in TOP_SECTIONS.items()
                if name in sections
            ]
        case failure:
            return failure
    if len(found) == 1:
        return Success(found[0])
    return Failure(f"{path}: must have exactly one of the sections [entry] and [agent]")


def _read_sections(path: str | Path) -> Result[dict[str, dict[str, str]], str]:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        # No file can name this section, so no section gives defaults to the others
        # and each key is checked in the section where it stands.
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


def _build_settings(
    path: str | Path,
    settings_class: type[Settings],
    sections: dict[str, dict[str, str]],
) -> Result[Settings, str]:
    top = TOP_SECTIONS[settings_class]
    fields = fields_by_key(settings_class)
    section_keys = {
        key.strip("[]"): key for key, field in fields.items() if _is_section(field)
    }
    plain_keys = [key for key in fields if key not in section_keys.values()]
    data: dict[str, Any] = dict(sections.get(top, {}))
    for key in data:
        if key not in plain_keys:
            allowed = ", ".join(plain_keys)
            return Failure(f"{path}: [{top}] {key}: is unknown; allowed are {allowed}")
    for name, values in sections.items():
        if name != top and name not in section_keys:
            allowed = ", ".join(f"[{section}]" for section in (top, *section_keys))
            return Failure(f"{path}: [{name}]: is unknown; allowed are {allowed}")
        if name != top:
            data[section_keys[name]] = values
    return read_fields(settings_class, data, converter=INI_CONVERTER).alt(
        lambda problem: (
            f"{path}: {_describe_place(problem, top, section_keys)}: {problem.text}"
        )
    )


def _is_section(field: attrs.Attribute[Any]) -> bool:
    field_type = field.type
    has_fields = isinstance(field_type, type) and attrs.has(field_type)
    return has_fields or get_origin(field_type) is dict


def _describe_place(problem: Problem, top: str, section_keys: dict[str, str]) -> str:
    first, *rest = problem.path
    if first in section_keys.values():
        return f"[{first.strip('[]')}] {'.'.join(rest)}".rstrip()
    return f"[{top}] {first}"
