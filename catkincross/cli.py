"""Command line of the operators."""

from __future__ import annotations

import click


@click.group()
def main() -> None:
    """Operate catkincross."""
