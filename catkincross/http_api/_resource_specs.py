"""What operators may declare: kinds of resources and their specs."""

from __future__ import annotations

import json
import re
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from ..foundation._validation import JSON_CONVERTER, Problem, read_fields
from ..settings._settings import setting

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# All entries keep every configuration in memory, and a record travels whole.
MAX_DATA_BYTES = 65_536


@attrs.frozen
class DataCentreSpec:
    """Declared state of a data centre."""

    drain: bool = setting(False, about="Whether the data centre takes no work.")


@attrs.frozen
class UpstreamSpec:
    """Declared state of an upstream."""

    drain: bool = setting(False, about="Whether the upstream takes no work.")


@attrs.frozen
class TeamLimits:
    """Limits of a team; 0 means that there is none."""

    running: int = setting(0, unit="tasks", low=0, high=10_000_000)
    waiting: int = setting(0, unit="tasks", low=0, high=10_000_000)
    waiting_bytes: int = setting(0, unit="bytes", low=0, high=2**53 - 1)


@attrs.frozen
class TeamSpec:
    """Declared state of a team."""

    weight: float = setting(1.0, low=0.01, high=1_000.0, about="Fair share.")
    burst: int = setting(
        0, unit="tasks", low=0, high=10_000_000, about="Tasks above the fair share."
    )
    limits: TeamLimits = attrs.field(factory=TeamLimits, kw_only=True)


@attrs.frozen
class ConfigurationSpec:
    """Declared state of a configuration."""

    data: dict[str, Any] = setting(about="Free JSON data.")


SPECS: dict[str, type] = {
    "datacentres": DataCentreSpec,
    "upstreams": UpstreamSpec,
    "teams": TeamSpec,
    "configurations": ConfigurationSpec,
}
READ_ONLY_KINDS = ("entries",)
KINDS = (*SPECS, *READ_ONLY_KINDS)


def check_spec(kind: str, spec: Any) -> Result[dict[str, Any], Problem]:
    """Return a spec with the fields that were given, or the first problem.

    Args:
        kind: A key of `SPECS`.
        spec: JSON value of the spec.
    """
    match read_fields(SPECS[kind], spec, converter=JSON_CONVERTER, path=("spec",)):
        case Failure(_) as failure:
            return failure
    size = len(json.dumps(spec).encode())
    if size > MAX_DATA_BYTES:
        text = f"has {size} bytes; allowed are at most {MAX_DATA_BYTES} bytes"
        return Failure(Problem(("spec",), text))
    return Success(dict(spec))


def check_name(name: str) -> Result[str, Problem]:
    """Return a name of a resource if it is allowed."""
    if NAME.fullmatch(name):
        return Success(name)
    text = "allowed are 1 to 63 letters, digits, dots, dashes and underscores"
    return Failure(Problem(("name",), text))
