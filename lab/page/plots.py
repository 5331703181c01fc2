"""Plots of results as inline SVG."""

from __future__ import annotations

import io
import re
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.lines import Line2D

from lab.model.results import Result
from lab.page.view import View
from lab.schedule import Floats

GREY = "#555555"
WIDTH = 9.6  # width of a figure in inches
LEGEND_CHARACTERS = 150  # length of a line of the legend in characters
RC_PARAMS: dict[Any, Any] = {
    "svg.hashsalt": "rosedeal",
    "svg.fonttype": "none",
    "text.parse_math": False,
    "font.size": 9.0,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.grid": True,
    "grid.color": "#e4e4e4",
    "axes.axisbelow": True,
    "axes.titlesize": 9.5,
    "legend.frameon": False,
}
NO_METADATA = {"Date": None, "Creator": None, "Format": None, "Type": None}


class Plots:
    """Draws the plots of one page; element ids are unique within the page."""

    def __init__(self, view: View) -> None:
        self.view = view
        self._figures = 0

    def draw_band(
        self, axes: Axes, policy: str | None, values: Floats, positions: Floats | None = None
    ) -> None:
        """Draw a line for the mean over the seeds and a band for their range; NaN values are ignored.

        Args:
            axes: Axes to draw on.
            policy: Policy that determines the colour; None for grey.
            values: Values with one row per seed.
            positions: Horizontal positions of the columns; by default, seconds counted from 1.
        """
        line_color = GREY if policy is None else self.view.colors[policy]
        valid = np.ma.masked_invalid(values)
        x = np.arange(1, values.shape[1] + 1) if positions is None else positions
        low, average, high = (f(axis=0).filled(np.nan) for f in (valid.min, valid.mean, valid.max))
        if len(values) > 1:
            axes.fill_between(x, low, high, color=line_color, alpha=0.13, lw=0)
        axes.plot(x, average, color=line_color, lw=1.4)

    def draw_bars(
        self,
        names: Sequence[str],
        titles: Sequence[str],
        get_value: Callable[[Result, str], float | None],
        columns: int,
        axis_limit: float | None = None,
    ) -> str:
        """Draw a panel per metric, with a bar per policy for the mean and a whisker for the seeds' range.

        Args:
            names: Names of the metrics.
            titles: Titles of the panels.
            get_value: Returns the metric with a name from a result.
            columns: Number of panels side by side.
            axis_limit: Upper end of the values' axis in all panels; None to fit each panel to its values.
        """
        by_policy = self.view.by_policy
        with matplotlib.rc_context(RC_PARAMS):
            rows = -(-len(names) // columns)
            height = 0.45 + rows * (0.55 + 0.22 * len(by_policy))
            figure = Figure((WIDTH, height), layout="constrained")
            grid = figure.subplots(rows, columns, squeeze=False, sharey=True)
            for axes in grid.flat[len(names) :]:
                axes.set_axis_off()
            for axes, name, title in zip(grid.flat, names, titles, strict=False):
                max_value = self._draw_panel(axes, name, get_value, axis_limit)
                axes.set(title=title, xlim=(0, (max_value or 1.0) * 1.3))
                axes.set_yticks(range(len(by_policy)), [printable(policy) for policy in by_policy])
                axes.grid(False)
                axes.locator_params(axis="x", nbins=3)
            grid.flat[0].invert_yaxis()
            return self.render_svg(figure, legend=False)

    def _draw_panel(
        self,
        axes: Axes,
        name: str,
        get_value: Callable[[Result, str], float | None],
        axis_limit: float | None,
    ) -> float:
        """Draw the bars of one metric and return the largest value."""
        max_value = axis_limit or 0.0
        for row, (policy, results) in enumerate(self.view.by_policy.items()):
            values = [v for r in results if (v := get_value(r, name)) is not None] or [0.0]
            average, low, high = float(np.mean(values)), min(values), max(values)
            max_value = max(max_value, high)
            axes.barh(row, average, color=self.view.colors[policy], height=0.7)
            axes.plot([low, high], [row, row], color="#333", lw=1.0)
            text = f"{average:.3f}" if axis_limit else f"{average:.3g}"
            axes.annotate(text, (high, row), (4, 0), textcoords="offset points", va="center", fontsize=8)
        return max_value

    def render_svg(self, figure: Figure, policies: Iterable[str] | None = None, legend: bool = True) -> str:
        """Return a figure as inline SVG, without date or external reference, and with unique element ids."""
        names = list(self.view.by_policy if policies is None else policies)
        if legend:
            columns = max(1, min(len(names), LEGEND_CHARACTERS // (max(map(len, names)) + 8)))
            lines = [Line2D([], [], color=self.view.colors[name], lw=2.5) for name in names]
            figure.legend(lines, list(map(printable, names)), loc="outside upper left", ncols=columns)
        file = io.StringIO()
        figure.savefig(file, format="svg", metadata=NO_METADATA)
        self._figures += 1
        text = file.getvalue()
        text = re.sub(
            r"<style.*?</style>|<metadata>.*?</metadata>", "", text[text.index("<svg") :], flags=re.S
        )
        return re.sub(r'(\bid="|url\(#|href="#)', rf"\g<1>f{self._figures}-", text)


def printable(name: object) -> str:
    """Return a name with each unprintable character replaced by a question mark."""
    return "".join(c if c.isprintable() else "?" for c in str(name))
