"""Inbox items and effects of the decision cores."""

from __future__ import annotations

from .protocol._effects import *  # noqa: F403
