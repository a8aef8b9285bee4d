"""Inputs and effects of the decision cores."""

from __future__ import annotations

from ._effects import *  # noqa: F403
