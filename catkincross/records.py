"""Records of the control stream."""

from __future__ import annotations

from ._records import *  # noqa: F403
