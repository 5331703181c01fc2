"""Sections that draw a run over time, latency by percentile, and load by endpoint and zone."""

from __future__ import annotations

from html import escape

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.colors import LogNorm
from matplotlib.figure import Figure

from lab.child import Histogram
from lab.model.results import Result
from lab.model.summary import format_figure
from lab.page import html
from lab.page.plots import GREY, RC_PARAMS, WIDTH, Plots, printable
from lab.schedule import Floats

MAX_ZONES = 12  # drawn; a fleet of more has the first ones drawn
NINES = np.linspace(0.0, 3.0, 61)  # -log10 of the share above a percentile
TABLE_PERCENTILES = (50, 90, 99, 99.9, 100)
LEAST_WORK_S = 0.1  # the palest colour
LOAD_KINDS = (("waiting", "requests that wait", 1.0), ("work_ms", "work in hand, s", 1e-3))
GUARD_TITLES = {
    "open": "open breakers of a gateway",
    "half-open": "half-open breakers of a gateway",
    "limit": "limit of a gateway on what is out",
    "shed": "share of the work that a gateway sheds",
}


def served_weight(plots: Plots) -> str:
    """Share of the weight that was served, by second of arrival."""
    by_policy = plots.view.by_policy
    if not by_policy:
        return html.NO_RESULTS
    with matplotlib.rc_context(RC_PARAMS):
        figure = Figure((WIDTH, 5.0), layout="constrained")
        upper, lower = figure.subplots(2, 1, sharex=True, height_ratios=(2, 1))
        for policy, results in by_policy.items():
            pairs = np.array([r["worth_by_s"] for r in results], dtype=np.float64)
            offered, served = pairs[:, :, 0], pairs[:, :, 1]
            share = np.divide(served, offered, out=np.full_like(served, np.nan), where=offered > 0)
            plots.band(upper, policy, share)
        most = max(by_policy.values(), key=len)
        plots.band(lower, None, np.array([r["worth_by_s"] for r in most])[:, :, 0] / 1e6)
        title = "Share of the worth asked for that was served"
        upper.set(title=title, ylabel="share", ylim=(-0.02, 1.03))
        title = "Worth asked for: the same for all"
        lower.set(title=title, xlabel="second of arrival", ylabel="worth, millions")
        lower.set_ylim(bottom=0)
        return plots.svg(figure)


def latency(plots: Plots) -> str:
    """Latency of what was served, by percentile."""
    rows, curves = [], {}
    percentiles = 100.0 * (1.0 - 10.0**-NINES)
    for policy, results in plots.view.by_policy.items():
        hists = [hist for r in results if (hist := Histogram(r["latency"])).count]
        if hists:
            curves[policy] = np.array([[h.percentile_ms(p) for p in percentiles] for h in hists])
            for hist in hists[1:]:
                hists[0].merge(hist)
        cells = [format_figure(hists[0].percentile_ms(p) if hists else None, 0) for p in TABLE_PERCENTILES]
        rows.append([plots.view.label(policy), *cells])
    if not curves:
        return html.NO_RESULTS
    with matplotlib.rc_context(RC_PARAMS):
        figure = Figure((WIDTH, 3.8), layout="constrained")
        axes = figure.subplots()
        for policy, values in curves.items():
            plots.band(axes, policy, values, NINES)
        axes.set(yscale="log", xlabel="percentile of the requests served", ylabel="ms", xlim=(0, 3))
        axes.set_xticks(
            [-np.log10(1 - p) for p in (0, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999)],
            ["0", "50", "75", "90", "95", "99", "99.5", "99.9"],
        )
        axes.yaxis.set_major_formatter("{x:g}")
        axes.yaxis.set_minor_formatter(lambda value, _: f"{value:g}" if f"{value:e}"[0] in "25" else "")
        picture = plots.svg(figure)
    head = ("policy", "p50", "p90", "p99", "p99.9", "most")
    note = html.note("In ms, of all seeds: from the HDR histograms of the requests served.")
    return picture + html.table(head, rows) + note


def load(plots: Plots) -> str:
    """Load by zone, and by endpoint of the first seed."""
    sampled = plots.view.select(lambda result: "zone_load" in result)
    if not sampled:
        return html.NO_RESULTS
    with matplotlib.rc_context(RC_PARAMS):
        parts = ["<h3>By zone</h3>", _plot_zones(plots, sampled)]
        seed = next(iter(sampled.values()))[0]["seed"]
        parts += [f"<h3>By server, seed {seed}</h3>", _plot_endpoints(plots, sampled)]
    parts.append(
        html.note(
            "One sample a second. Work is that of a core of speed 1: what waits, and what is "
            f"left of what runs. At most the first {MAX_ZONES} zones and 100 servers are drawn; a zone "
            "counts all its servers."
        )
    )
    return "\n".join(parts)


def _plot_zones(plots: Plots, sampled: dict[str, list[Result]]) -> str:
    zones = next(iter(sampled.values()))[0]["zones"][:MAX_ZONES]
    figure = Figure((WIDTH, 0.5 + 1.8 * len(zones)), layout="constrained")
    grid = figure.subplots(len(zones), 2, sharex=True, sharey="col", squeeze=False)
    for row, zone in enumerate(zones):
        for axes, (kind, label, scale) in zip(grid[row], LOAD_KINDS, strict=True):
            for policy, results in sampled.items():
                values = np.array([r["zone_load"][kind] for r in results])
                plots.band(axes, policy, values[:, :, row] * scale)
            axes.set(title=f"{printable(zone)}: {label}")
    for axes in grid[-1]:
        axes.set_ylim(bottom=0)
        axes.set_xlabel("second")
    return plots.svg(figure)


def _plot_endpoints(plots: Plots, sampled: dict[str, list[Result]]) -> str:
    first = {name: np.array(rs[0]["server_load"]["work_ms"]).T / 1e3 for name, rs in sampled.items()}
    most = max(0.2, *(float(values.max()) for values in first.values()))
    rows = max(len(values) for values in first.values())
    figure = Figure((WIDTH, 0.6 + len(first) * max(1.1, 0.03 * rows)), layout="constrained")
    column = figure.subplots(len(first), 1, sharex=True, squeeze=False)[:, 0]
    for axes, (policy, values) in zip(column, first.items(), strict=True):
        shown = axes.imshow(
            np.maximum(values, LEAST_WORK_S),
            aspect="auto",
            cmap="YlOrRd",
            norm=LogNorm(LEAST_WORK_S, most),
            interpolation="nearest",
            extent=(0.5, values.shape[1] + 0.5, len(values) - 0.5, -0.5),
        )
        axes.grid(False)
        axes.set(ylabel="server")
        axes.set_title(printable(policy), color=plots.view.colour[policy], loc="left", fontweight="bold")
    column[-1].set_xlabel("second")
    bar = figure.colorbar(shown, ax=list(column), pad=0.01, aspect=5 * figure.get_figheight())
    ticks = [tick for n in range(-1, 6) for m in (1, 2, 5) if (tick := m * 10.0**n) <= most]
    bar.set_ticks(ticks, labels=[f"{tick:g}" for tick in ticks])
    bar.ax.minorticks_off()
    bar.set_label("work in hand, s (0.1 or less is palest)")
    return plots.svg(figure, legend=False)


def guards(plots: Plots) -> str:
    """Breakers and limits of the gateways, where the policy has them."""
    guarded = plots.view.select(lambda result: bool(result.get("guards")))
    without = [escape(name) for name in plots.view.policies if name not in guarded]
    note = html.note(f"None to draw for {', '.join(without)}.") if without else ""
    if not guarded:
        return html.NO_RESULTS + note
    with matplotlib.rc_context(RC_PARAMS):
        figure = Figure((WIDTH, 5.0), layout="constrained")
        panels = figure.subplots(2, 2, sharex=True).flat
        for axes, (kind, title) in zip(panels, GUARD_TITLES.items(), strict=True):
            _plot_guard(plots, axes, kind, guarded)
            top = max(0.1 if kind == "shed" else 1.0, axes.get_ylim()[1])
            axes.set(title=title, ylim=(-0.02 * top, top))  # a line at zero is seen
            if not any(np.any(r["guards"][kind]) for results in guarded.values() for r in results):
                where = {"transform": axes.transAxes, "ha": "center", "color": GREY}
                axes.text(0.5, 0.5, "none at any second", **where)
            if axes.get_subplotspec().is_last_row():
                axes.set_xlabel("second")
        picture = plots.svg(figure, guarded)
    text = "The line is the mean of the gateways, the dots that with the most; both are means of the seeds."
    return f"{picture}{html.note(text)}{note}"


def _plot_guard(plots: Plots, axes: Axes, kind: str, guarded: dict[str, list[Result]]) -> None:
    for policy, results in guarded.items():
        values: Floats = np.array([r["guards"][kind] for r in results])
        plots.band(axes, policy, values[:, :, 0])
        seconds = np.arange(1, values.shape[1] + 1)
        axes.plot(seconds, values[:, :, 1].mean(axis=0), color=plots.view.colour[policy], lw=0.9, ls=":")
