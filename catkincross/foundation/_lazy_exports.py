"""Public names of a package that import their module on first use.

A process then imports only the modules that it needs. On narrow hosts the imports take
most of the time between a restart and the first answer.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def lazy_exports(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the `__getattr__` of a package.

    Args:
        package: Full name of the package.
        modules: Private module of each public name.
    """

    def get_attribute(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f".{modules[name]}", package), name)

    return get_attribute
