"""Runs policies or saved revisions side by side."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import tarfile
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from catkincross.placement._placement import PLACEMENT_POLICIES

from ._cores_run import drain_round, idle_round, steady_round
from ._record_run import ROOT, environment
from ._summary import summarize
from ._workload import Workload, read_workload

Round = Callable[[int], dict[str, Any]]


def cores_round(workload: Workload, policy: str, seed: int) -> dict[str, Any]:
    """Return the measures of one round on the cores."""
    return {
        "steady": steady_round(workload, policy=policy, seed=seed),
        "idle": idle_round(workload, policy=policy, seed=seed),
        "drain": drain_round(workload, policy=policy, seed=seed),
    }


def compare(
    path: Path,
    *,
    policies: list[str],
    revisions: list[str],
    rounds: int,
    driver: str,
    progress: Callable[[str], None],
) -> dict[str, Any]:
    """Run all subjects in turn, round by round, with the same arrivals.

    Args:
        path: Workload file.
        policies: Policies to compare; with revisions only the first counts.
        revisions: Saved revisions to compare instead.
        rounds: Number of rounds; each has its own fixed seed.
        driver: `cores` or `processes`.
        progress: Called with a line after each round.

    Raises:
        ValueError: If fewer than two subjects are given or one is not known.
    """
    workload = read_workload(path)
    if driver == "processes" and revisions:
        raise ValueError("saved revisions are compared on the cores only")
    command = f"catkincross-bench run {path.name} --rounds {rounds} --driver {driver}"
    chosen = f"--revisions {','.join(revisions)} " if revisions else ""
    # Read before the rounds, since the tree may change while they run.
    run = environment(f"{command} {chosen}--policies {','.join(policies)}")
    with TemporaryDirectory() as folder:
        subjects = _subjects(workload, path, policies, revisions, driver, Path(folder))
        results: dict[str, list[dict[str, Any]]] = {name: [] for name in subjects}
        for number in range(rounds):
            for name, run_round in subjects.items():
                results[name].append(run_round(workload.seed + number))
                progress(f"round {number + 1} of {rounds}: {name}")
    return {
        "run": run,
        "workload": workload.name,
        "driver": driver,
        "subjects": list(subjects),
        "summary": summarize(results),
        "rounds": results,
    }


def _subjects(
    workload: Workload,
    path: Path,
    policies: list[str],
    revisions: list[str],
    driver: str,
    folder: Path,
) -> dict[str, Round]:
    names = revisions or policies
    if len(names) < 2 or not policies:
        raise ValueError("give two or more policies or revisions to compare")
    if revisions:
        return {
            name: _revision_round(path, policies[0], name, folder) for name in revisions
        }
    unknown = [name for name in policies if name not in PLACEMENT_POLICIES]
    if unknown:
        known = ", ".join(sorted(PLACEMENT_POLICIES))
        raise ValueError(f"unknown policies {unknown}; this revision has {known}")
    run_round = cores_round
    if driver == "processes":
        from ._process_run import processes_round as run_round

    return {
        name: lambda seed, name=name: run_round(workload, name, seed)
        for name in policies
    }


def _revision_round(path: Path, policy: str, revision: str, folder: Path) -> Round:
    """Return a round that runs the program code of a revision with this bench."""
    target = folder / revision.replace("/", "_")
    command = ["git", "-C", str(ROOT), "archive", revision, "catkincross"]
    archived = subprocess.run(command, capture_output=True, check=False)
    if archived.returncode:
        raise ValueError(f"no revision {revision!r}")
    with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
        archive.extractall(target, filter="data")
    for package in ("catkincross_bench", "scenarios"):
        (target / package).symlink_to(ROOT / package)

    def run_round(seed: int) -> dict[str, Any]:
        command = [sys.executable, "-m", "catkincross_bench.cli", "round", path.name]
        command += ["--policy", policy, "--seed", str(seed)]
        environ = {**os.environ, "PYTHONPATH": str(target)}
        done = subprocess.run(
            command, cwd=target, env=environ, capture_output=True, text=True, check=True
        )
        return json.loads(done.stdout)

    return run_round
