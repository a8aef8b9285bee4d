"""Guards against declarations that count as newer or more certain than they are."""

from __future__ import annotations

import pytest

from catkincross.operations import DeclarationFreshness

LIMIT_MS = 2_000


def read_up_to(offset: int, at_ms: int) -> DeclarationFreshness:
    """Return the state of an entry that has read all there was."""
    freshness = DeclarationFreshness()
    freshness.record_answer(offset, offset, at_ms)
    return freshness


def test_declarations_are_not_confirmed_before_the_first_read() -> None:
    """An entry that has just started denied queues that it had not read yet."""
    assert not DeclarationFreshness().is_confirmed(0, LIMIT_MS)


def test_a_read_that_is_not_complete_confirms_nothing() -> None:
    """An entry that was behind counted its old declarations as the newest ones."""
    freshness = read_up_to(5, 1_000)
    freshness.record_answer(7, 9, 4_000)
    assert freshness.offset == 7
    assert not freshness.is_confirmed(4_000, LIMIT_MS)


def test_another_entry_confirms_as_of_its_own_read() -> None:
    """Two entries that the store turns away must not confirm each other for ever."""
    freshness = read_up_to(5, 1_000)
    freshness.record_other("e1", 5, 3_000)
    assert freshness.is_confirmed(5_000, LIMIT_MS)
    assert not freshness.is_confirmed(5_001, LIMIT_MS)
    freshness.record_other("e1", 5, 2_000)
    freshness.record_other("e2", 4, None)
    assert freshness.confirmed_ms == 3_000


def test_an_answer_that_shows_less_than_is_known_confirms_nothing() -> None:
    """A read that was in flight while a newer copy came counted as the newest one."""
    freshness = read_up_to(5, 1_000)
    freshness.record_answer(4, 4, 2_000)
    freshness.record_other("e1", 4, 2_000)
    assert freshness.confirmed_ms == 1_000
    assert freshness.offset == 5


def test_an_entry_that_has_read_more_confirms_nothing() -> None:
    """Its newest read shows that the declarations here are outdated."""
    freshness = read_up_to(5, 1_000)
    freshness.record_other("e1", 6, 3_000)
    assert freshness.confirmed_ms == 1_000
    assert freshness.ahead == {"e1": 6}
    freshness.advance(6)
    assert freshness.ahead == {}


def test_no_entry_is_asked_while_the_store_answers() -> None:
    """Each change would be sent between all entries as well."""
    freshness = read_up_to(5, 1_000)
    freshness.record_other("e1", 6, 1_400)
    assert freshness.choose_entry(1_500) is None


@pytest.mark.parametrize("failing", [True, False])
def test_an_entry_that_is_behind_asks_the_entry_that_has_read_most(
    failing: bool,
) -> None:
    """It served the old declarations until the store answered again."""
    freshness = read_up_to(5, 1_000)
    now_ms = 1_100 if failing else 2_000
    if failing:
        freshness.record_failure(1_050)
    freshness.record_other("e1", 6, 1_060)
    freshness.record_other("e2", 8, 1_060)
    assert freshness.choose_entry(now_ms) == "e2"
    assert freshness.choose_entry(now_ms) is None


def test_another_entry_is_asked_if_the_first_one_is_silent() -> None:
    """A silent entry that has read most was asked again and again."""
    freshness = read_up_to(5, 1_000)
    freshness.record_failure(1_050)
    freshness.record_other("e1", 6, None)
    freshness.record_other("e2", 8, None)
    assert freshness.choose_entry(1_100) == "e2"
    assert freshness.choose_entry(1_700) == "e1"
    freshness.forget("e1")
    assert freshness.choose_entry(1_710) == "e2"
    freshness.record_answer_of("e2")
    assert freshness.choose_entry(1_720) == "e2"


def test_entries_that_are_behind_do_not_all_ask_the_same_one() -> None:
    """One entry sent the declarations to all that the store had turned away."""
    asked = set()
    for number in range(30):
        freshness = read_up_to(5, 1_000)
        freshness.name = f"e{number}"
        freshness.record_failure(1_050)
        for other in range(30, 36):
            freshness.record_other(f"e{other}", 8, None)
        freshness.record_other("e36", 7, None)
        asked.add(freshness.choose_entry(1_100))
    assert asked == {f"e{other}" for other in range(30, 36)}
