"""Guards against a demo that fails or leaves something behind."""

from __future__ import annotations

import threading

from click.testing import CliRunner

from catkincross.cli import main


def test_the_demo_runs_jobs_and_a_drain_through_a_whole_system() -> None:
    threads = set(threading.enumerate())
    shown = CliRunner().invoke(main, ["demo", "--tasks", "6"])
    assert shown.exit_code == 0, shown.output
    assert shown.output.count("complete, 6 of 6 tasks ended") == 3
    assert "owner: job ended" in shown.output
    left = [t for t in threading.enumerate() if t not in threads and not t.daemon]
    assert not left
