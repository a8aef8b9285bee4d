"""Records of the control stream."""

from __future__ import annotations

from .protocol._records import *  # noqa: F403
