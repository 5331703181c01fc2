"""Straight lines."""

from __future__ import annotations

from lab import fit


def test_a_line_tells_its_slope_and_how_far_the_figures_lie_off() -> None:
    line = fit.line([1, 2, 3, 4], [5, 7, 9, 11])
    assert line is not None
    assert (line["slope"], line["at_zero"]) == (2, 3)
    assert line["residual"] < 1e-9
    off = fit.line([1, 2, 3, 4], [5, 9, 7, 11])
    assert off is not None
    assert 0.1 < off["residual_share"] < 0.3
    assert fit.line([1, 2], [1, 2]) is None
