"""Guards against wrong arithmetic behind the capacity page."""

from __future__ import annotations

import math

import pytest

from catkincross_bench import _target
from catkincross_bench._capacity_page import replace_block
from catkincross_bench._fits import growth_exponent, linear_fit, n_log_n_fit


def test_a_fixed_cost_is_not_counted_in_the_slope() -> None:
    fit = linear_fit([(n, 700 + 3 * n) for n in (10, 20, 40)])
    assert (round(fit.base), round(fit.slope), round(fit.r2, 6)) == (700, 3, 1)


def test_two_sizes_do_not_make_a_slope() -> None:
    with pytest.raises(ValueError):
        linear_fit([(10, 1), (10, 2), (20, 3)])


def test_growth_faster_than_linear_shows_in_the_exponent() -> None:
    assert growth_exponent([(n, n * n) for n in (1, 2, 4)]) == pytest.approx(2)
    fit = n_log_n_fit([(n, 5 * n * math.log2(n)) for n in (8, 64, 512)])
    assert fit.slope == pytest.approx(5)


def test_a_page_without_markers_is_not_left_with_old_figures() -> None:
    page = "a\n<!-- x: begin -->\nold\n<!-- x: end -->\nb\n"
    assert replace_block(page, "x", "new") == page.replace("old", "new")
    with pytest.raises(ValueError):
        replace_block(page, "y", "new")


def test_the_limits_of_the_page_are_the_stated_target() -> None:
    assert _target.CONTROL_US_PER_S == 1e6 * 0.033
    assert _target.CONTROL_BYTES_PER_S == 14_000
    assert _target.entries_by_starts() * _target.STARTS_PER_ENTRY >= 1_900_000
