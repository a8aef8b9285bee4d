"""What a saved measurement says about where and how it was made."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "docs" / "results"


def revision() -> str:
    """Return the short revision, with `+` if files of the programs have changed."""
    short = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "--", "catkincross", "catkincross_bench")
    return (short or "unknown") + ("+" if changed else "")


def _git(*arguments: str) -> str:
    command = ["git", "-C", str(ROOT), *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() if done.returncode == 0 else ""


def environment(command: str) -> dict[str, Any]:
    """Return revision, cores and command of a measurement."""
    return {
        "command": command,
        "revision": revision(),
        "cores": os.cpu_count(),
        "python": sys.version.split()[0],
        "load": round(os.getloadavg()[0], 1),
        "shared_machine": True,
    }


def save_json(path: Path, data: dict[str, Any]) -> None:
    """Write a result file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(data, indent=1) + "\n")
