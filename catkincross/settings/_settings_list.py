"""List of all settings, for operators, with default, bounds and meaning."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from ..foundation._validation import describe_allowed, fields_by_key
from ._ini import TOP_SECTIONS


@attrs.frozen
class SettingRow:
    """A key of the INI files.

    Attributes:
        section: Name of the section, without brackets.
        key: Name of the key.
        default: Value if the key is absent; `needed` if the key must be given, and
            `empty` for an empty text.
        allowed: Allowed values, with bounds and unit.
        about: Meaning of the setting.
    """

    section: str
    key: str
    default: str
    allowed: str
    about: str


def setting_rows() -> Iterator[SettingRow]:
    """Yield the keys of entries and agents; a section that both have is listed once."""
    listed_sections = set()
    for settings_class, top in TOP_SECTIONS.items():
        sections: dict[str, dict[str, attrs.Attribute]] = {top: {}}
        for key, field in fields_by_key(settings_class).items():
            if isinstance(field.type, type) and attrs.has(field.type):
                sections[key.strip("[]")] = fields_by_key(field.type)
            else:
                sections[top][key] = field
        for section, fields in sections.items():
            if section not in listed_sections:
                listed_sections.add(section)
                yield from (_setting_row(section, key, fields[key]) for key in fields)


def _setting_row(section: str, key: str, field: attrs.Attribute) -> SettingRow:
    default = "needed" if field.default is attrs.NOTHING else str(field.default)
    about = field.metadata.get("about", "")
    return SettingRow(section, key, default or "empty", describe_allowed(field), about)
