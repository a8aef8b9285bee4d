"""Settings of the daemons."""

from __future__ import annotations

from ._settings import *  # noqa: F403
