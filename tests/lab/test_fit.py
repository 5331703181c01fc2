"""Lines fitted to figures at several sizes."""

from __future__ import annotations

from lab import fit


def test_a_fitted_line_has_slope_intercept_and_residual() -> None:
    line = fit.fit_line([1, 2, 3, 4], [5, 7, 9, 11])
    assert line is not None
    assert (line["slope"], line["at_zero"]) == (2, 3)
    assert line["residual"] < 1e-9
    scattered = fit.fit_line([1, 2, 3, 4], [5, 9, 7, 11])
    assert scattered is not None
    assert 0.1 < scattered["residual_share"] < 0.3
    assert fit.fit_line([1, 2], [1, 2]) is None
