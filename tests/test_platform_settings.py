"""Tests of the INI settings of the daemons on the platform."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest

from catkincross.daemons._own_settings import (
    OwnSettings,
    lapse_ms,
    load_own_settings,
    volatile_silence_ms,
)
from catkincross.owner import OwnerLimits
from catkincross.platform import NodeSettings
from catkincross.workers import WorkerLimits

DEPLOYED = Path(__file__).resolve().parent.parent / "deploy" / "catkincross.ini"


def node(**fields: int) -> NodeSettings:
    """Return settings of a host, as the platform would give them."""
    values = {field.name: 1 for field in attrs.fields(NodeSettings)}
    values |= {"lease_ms": 1_000, "stop_ms": 50, "resend_ms": 1_300}
    return NodeSettings(**(values | fields))


def test_the_deployed_file_holds_the_defaults() -> None:
    """An unknown key in the deployed file would keep the daemons from starting."""
    assert load_own_settings(str(DEPLOYED)) == OwnSettings()


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[platform]\nsilence_ms = soon\n", "silence_ms: 'soon' is not allowed"),
        ("[platform]\nsilence_ms = 3\n", "from 1500 to 30000"),
        ("[platform]\nsilense_ms = 2000\n", "silense_ms: is unknown"),
        ("[plattform]\n", "[plattform]: is unknown"),
        ("silence_ms = 2000\n", "cannot be read"),
    ],
)
def test_an_invalid_file_is_reported_with_key_and_allowed_values(
    tmp_path: Path, text: str, named: str
) -> None:
    """The printed error must tell an operator the key and the allowed values."""
    path = tmp_path / "own.ini"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(ValueError, match="own.ini") as raised:
        load_own_settings(str(path))
    assert named in str(raised.value)


def test_the_wait_for_a_lost_agent_covers_the_platforms_longest_lease() -> None:
    """With leases of 4 s, a fixed wait of 1,450 ms would let a task run twice."""
    assert lapse_ms(node()) == OwnerLimits().lapse_ms
    longest = node(lease_ms=4_000)
    own = OwnSettings()
    covered = own.owner_limits(longest).lapse_ms
    assert covered >= 4_000 * 1.02 + 50 + own.worker_limits(longest).stop_grace_ms


def test_runs_of_a_lost_entry_end_before_its_jobs_are_sent_again() -> None:
    """A job that a client account sends again must not run twice at the same time."""
    own = OwnSettings()
    assert volatile_silence_ms(own, node()) == 800
    assert volatile_silence_ms(own, node(resend_ms=1_000)) == 500
    assert volatile_silence_ms(own, node(resend_ms=100)) >= (
        2 * WorkerLimits().state_interval_ms
    )


def test_a_heartbeat_is_used_for_starts_until_a_smaller_capacity_binds() -> None:
    """With other bounds a fixed age starts too much, or nothing between heartbeats."""
    own = OwnSettings()
    assert own.worker_limits(node(capacity_change_ms=4_500)) == WorkerLimits(
        shards=1, lease_ms=1_000
    )
    slower = own.worker_limits(node(capacity_change_ms=9_000))
    assert slower.heartbeat_valid_ms == 8_700
