"""Messages between the processes of the system."""

from __future__ import annotations

from .protocol._messages import *  # noqa: F403
