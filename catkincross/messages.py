"""Messages between entries and agents."""

from __future__ import annotations

from .protocol._messages import *  # noqa: F403
