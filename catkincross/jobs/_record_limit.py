"""Limit of a record's size, apart from the records, whose import needs libraries."""

from __future__ import annotations

# Largest record that the platform's log takes by default, in bytes.
DEFAULT_RECORD_BYTES = 262_144
