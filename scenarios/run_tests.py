"""Runs all tests and prints one closing line.

Tests listed in KNOWN-RED.txt run and are printed, but do not decide the verdict.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

import attrs
import pytest

from .known_red import read_known_red

ROOT = Path(__file__).resolve().parent.parent


@attrs.define
class Outcomes:
    """Results by test: True if it passed."""

    tests: dict[str, bool] = attrs.field(factory=dict)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take one report of pytest."""
        if report.when == "call" or report.failed:
            passed = report.passed and self.tests.get(report.nodeid, True)
            self.tests[report.nodeid] = passed

    def pytest_collectreport(self, report: pytest.CollectReport) -> None:
        """Take a failed collection as a failed test."""
        if report.failed:
            self.tests[report.nodeid] = False


def run_pytest(outcomes: Outcomes) -> None:
    """Run the pytest suite."""
    pytest.main(["-q", "--no-header", str(ROOT / "tests")], plugins=[outcomes])


def run_behave(outcomes: Outcomes) -> None:
    """Run the behave features; output is shown for failures only."""
    with TemporaryDirectory() as folder:
        report = Path(folder) / "behave.json"
        command = [sys.executable, "-m", "behave", "--format", "json"]
        command += ["--outfile", str(report), "--format", "progress", "features"]
        subprocess.run(command, cwd=ROOT, check=False)
        features = json.loads(report.read_text()) if report.exists() else []
    if not features:
        outcomes.tests["features"] = False
    for feature in features:
        for scenario in feature.get("elements", []):
            if scenario["type"] != "background":
                name = f"{scenario['location'].split(':')[0]}: {scenario['name']}"
                outcomes.tests[name] = scenario["status"] == "passed"


def main() -> int:
    """Run everything; return the exit code."""
    known = {entry.test: entry for entry in read_known_red(ROOT / "KNOWN-RED.txt")}
    outcomes = Outcomes()
    run_pytest(outcomes)
    run_behave(outcomes)
    decisive = {name: ok for name, ok in outcomes.tests.items() if name not in known}
    for name, entry in known.items():
        result = outcomes.tests.get(name)
        shown = {True: "passes now", False: "fails", None: "was not run"}[result]
        print(f"known red: {name}: {shown}; {entry.seen} (issue {entry.issue})")
    failed = [name for name, passed in decisive.items() if not passed]
    for name in failed:
        print(f"failed: {name}")
    print(f"{len(decisive) - len(failed)} passed, {len(failed)} failed")
    return 1 if failed or not decisive else 0


if __name__ == "__main__":
    sys.exit(main())
