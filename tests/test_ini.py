"""Guards against daemons that start with unknown, invalid or out-of-range settings."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest
from returns.result import Failure, Success

from catkincross.settings import AgentSettings, EntrySettings, _ini
from catkincross.settings._ini import detect_settings_class, load_settings
from catkincross.settings._settings import setting
from catkincross.settings._settings_list import setting_rows

ENTRY = "[entry]\nname = e1\nregion = r\ndata_centre = perth\n"


def _load(
    folder: Path, text: str, settings_class: type = EntrySettings
) -> tuple[str, object]:
    path = folder / "x.ini"
    path.write_text(text)
    return str(path), load_settings(path, settings_class)


def test_sections_become_nested_settings(tmp_path: Path) -> None:
    text = ENTRY + "[freshness]\nfreshness_ms = 1_500\n[http]\nmax_waiting=7\n"
    _, result = _load(tmp_path, text)
    settings = result.unwrap()
    assert (settings.name, settings.freshness.freshness_ms) == ("e1", 1_500)
    assert settings.http.max_waiting == 7
    assert settings.jobs.key_retention_ms == 900_000


@pytest.mark.parametrize(
    ("text", "named"),
    [
        (ENTRY + "[fresh]\na=1\n", "[fresh]: is unknown; allowed are [entry], "),
        (ENTRY + "speed = 1\n", "[entry] speed: is unknown; allowed are name, region"),
        (ENTRY + "jobs = 1\n", "[entry] jobs: is unknown"),
        (ENTRY + "[jobs]\nmax_task = 1\n", "[jobs] max_task: is unknown; allowed are"),
        (
            ENTRY + "[jobs]\nmax_tasks = many\n",
            "[jobs] max_tasks: 'many' is not allowed; "
            "allowed is a whole number from 1 to 100000 tasks",
        ),
        (
            ENTRY + "[freshness]\nfreshness_ms = 50\n",
            "[freshness] freshness_ms: 50 is out of bounds; "
            "allowed is a whole number from 200 to 10000 ms",
        ),
        (
            ENTRY + "[freshness]\noutage_quorum = some\n",
            "[freshness] outage_quorum: 'some' is not allowed; "
            "allowed is one of all, one_per_data_centre",
        ),
        ("[entry]\nname = e1\nregion = r\n", "[entry] data_centre: is missing"),
        ("[entry]\nname =\n", "[entry] name: '' is not allowed; allowed is text"),
        ("[DEFAULT]\nname = x\n" + ENTRY, "[DEFAULT]: is unknown"),
        (ENTRY + "name = e2\n", "option 'name' in section 'entry' already exists"),
        ("name = e1\n", "no section headers"),
    ],
)
def test_an_error_is_one_line_that_names_section_and_key(
    tmp_path: Path, text: str, named: str
) -> None:
    path, result = _load(tmp_path, text)
    line = result.failure()
    assert named in line
    assert path in line and "\n" not in line


def test_a_missing_or_binary_file_is_reported_in_one_line(tmp_path: Path) -> None:
    assert "cannot be read" in load_settings(tmp_path / "no", EntrySettings).failure()
    (tmp_path / "b").write_bytes(b"\xff\xfe[entry]")
    assert "not UTF-8" in load_settings(tmp_path / "b", EntrySettings).failure()


def test_a_token_is_not_shown_in_a_message(tmp_path: Path) -> None:
    _, result = _load(tmp_path, ENTRY + "[http]\ntoken = s3cret\ntokens = s3cret\n")
    assert "s3cret" not in result.failure()


@attrs.define
class UpstreamSection:
    """Section `[upstream]`."""

    port: int = setting(80, low=1, high=65_535)


@attrs.define
class SharedNameSettings:
    """Settings with a key and a section of one name, and a section of any keys."""

    upstream: str = setting()
    probe: UpstreamSection = attrs.field(
        factory=UpstreamSection, kw_only=True, metadata={"section": "upstream"}
    )
    seeds: dict[str, str] = attrs.field(factory=dict, kw_only=True)


def test_a_plain_key_and_a_section_may_share_a_name(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(_ini.TOP_SECTIONS, SharedNameSettings, "both")
    text = "[both]\nupstream = u1\n[seeds]\ne1 = 127.0.0.1:7\n[upstream]\nport = "
    _, result = _load(tmp_path, text + "81\n", SharedNameSettings)
    assert result == Success(
        SharedNameSettings(
            upstream="u1", probe=UpstreamSection(port=81), seeds={"e1": "127.0.0.1:7"}
        )
    )
    _, result = _load(tmp_path, text + "0\n", SharedNameSettings)
    assert "[upstream] port: 0 is out of bounds" in result.failure()


def test_the_settings_class_is_found_by_the_top_section(tmp_path: Path) -> None:
    (tmp_path / "a").write_text("[agent]\nname = u1\n")
    (tmp_path / "both").write_text("[agent]\n[entry]\n")
    assert detect_settings_class(tmp_path / "a") == Success(AgentSettings)
    assert isinstance(detect_settings_class(tmp_path / "both"), Failure)


def test_the_operators_page_lists_each_setting_with_default_and_bounds() -> None:
    page = (Path(__file__).parent.parent / "docs" / "operations.md").read_text()
    block = page.partition("<!-- settings -->")[2].partition("<!-- /settings -->")[0]
    rows = {(row.section, row.key): row for row in setting_rows()}
    section, documented = "", set()
    for line in block.splitlines():
        if line.startswith("`["):
            section = line.strip("`[]")
        elif line.startswith("| `"):
            key, default, allowed = (cell.strip(" `") for cell in line.split("|")[1:4])
            row = rows[section, key]
            assert (default, allowed) == (row.default, row.allowed), (section, key)
            documented.add((section, key))
    assert documented == set(rows)


def test_an_unknown_placement_policy_is_refused(tmp_path: Path) -> None:
    text = "[entry]\nname = e1\nregion = r\ndata_centre = d\n[placement]\npolicy = "
    _, result = _load(tmp_path, text + "fastest\n", EntrySettings)
    assert "[placement] policy" in result.failure()
    assert "expected_finish" in result.failure()
