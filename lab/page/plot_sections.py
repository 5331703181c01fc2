"""Report sections with plots over time, latency percentiles, and load by endpoint and zone."""

from __future__ import annotations

from html import escape

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.colors import LogNorm
from matplotlib.figure import Figure

from lab.child import Histogram
from lab.model.results import Result
from lab.model.summary import format_metric
from lab.page import html
from lab.page.plots import GREY, RC_PARAMS, WIDTH, Plots, printable
from lab.schedule import Floats

MAX_ZONES = 12  # only the first zones of a larger fleet are drawn
NINES = np.linspace(0.0, 3.0, 61)  # percentiles to draw, each as -log10 of the share above it
TABLE_PERCENTILES = (50, 90, 99, 99.9, 100)
MIN_DRAWN_WORK_S = 0.1  # less work has the palest colour too
LOAD_KINDS = (("waiting", "queued requests", 1.0), ("work_ms", "pending work, s", 1e-3))
GUARD_TITLES = {
    "open": "open circuit breakers per gateway",
    "half-open": "half-open circuit breakers per gateway",
    "limit": "concurrency limit per gateway",
    "shed": "share of work shed per gateway",
}


def served_weight(plots: Plots) -> str:
    """Plot the share of the offered weight that was served, by second of arrival."""
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
            plots.draw_band(upper, policy, share)
        most_results = max(by_policy.values(), key=len)
        plots.draw_band(lower, None, np.array([r["worth_by_s"] for r in most_results])[:, :, 0] / 1e6)
        title = "Share of the offered weight that was served"
        upper.set(title=title, ylabel="share", ylim=(-0.02, 1.03))
        title = "Offered weight: the same for all policies"
        lower.set(title=title, xlabel="second of arrival", ylabel="weight, millions")
        lower.set_ylim(bottom=0)
        return plots.render_svg(figure)


def latency(plots: Plots) -> str:
    """Plot and tabulate the latency of the requests served, by percentile."""
    rows, curves = [], {}
    percentiles = 100.0 * (1.0 - 10.0**-NINES)
    for policy, results in plots.view.by_policy.items():
        histograms = [histogram for r in results if (histogram := Histogram(r["latency"])).count]
        if histograms:
            curves[policy] = np.array(
                [[histogram.percentile_ms(p) for p in percentiles] for histogram in histograms]
            )
            for histogram in histograms[1:]:
                histograms[0].merge(histogram)
        cells = [
            format_metric(histograms[0].percentile_ms(p) if histograms else None, 0)
            for p in TABLE_PERCENTILES
        ]
        rows.append([plots.view.label(policy), *cells])
    if not curves:
        return html.NO_RESULTS
    with matplotlib.rc_context(RC_PARAMS):
        figure = Figure((WIDTH, 3.8), layout="constrained")
        axes = figure.subplots()
        for policy, values in curves.items():
            plots.draw_band(axes, policy, values, NINES)
        axes.set(yscale="log", xlabel="percentile of the requests served", ylabel="ms", xlim=(0, 3))
        axes.set_xticks(
            [-np.log10(1 - p) for p in (0, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999)],
            ["0", "50", "75", "90", "95", "99", "99.5", "99.9"],
        )
        axes.yaxis.set_major_formatter("{x:g}")
        axes.yaxis.set_minor_formatter(lambda value, _: f"{value:g}" if f"{value:e}"[0] in "25" else "")
        picture = plots.render_svg(figure)
    head = ("policy", "p50", "p90", "p99", "p99.9", "max")
    note = html.note("In ms, over all seeds, from the HDR histograms of the requests served.")
    return picture + html.table(head, rows) + note


def load(plots: Plots) -> str:
    """Plot the load by zone, and by endpoint for the first seed."""
    sampled = plots.view.select(lambda result: "zone_load" in result)
    if not sampled:
        return html.NO_RESULTS
    with matplotlib.rc_context(RC_PARAMS):
        parts = ["<h3>By zone</h3>", _plot_zones(plots, sampled)]
        seed = next(iter(sampled.values()))[0]["seed"]
        parts += [f"<h3>By endpoint, seed {seed}</h3>", _plot_endpoints(plots, sampled)]
    parts.append(
        html.note(
            "One sample per second. Pending work is the remaining work of queued and running requests "
            f"on a core of speed 1. Only the first {MAX_ZONES} zones and 100 endpoints are drawn; a zone "
            "includes all its endpoints."
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
                plots.draw_band(axes, policy, values[:, :, row] * scale)
            axes.set(title=f"{printable(zone)}: {label}")
    for axes in grid[-1]:
        axes.set_ylim(bottom=0)
        axes.set_xlabel("second")
    return plots.render_svg(figure)


def _plot_endpoints(plots: Plots, sampled: dict[str, list[Result]]) -> str:
    work_by_policy = {name: np.array(rs[0]["server_load"]["work_ms"]).T / 1e3 for name, rs in sampled.items()}
    max_work_s = max(0.2, *(float(values.max()) for values in work_by_policy.values()))
    rows = max(len(values) for values in work_by_policy.values())
    figure = Figure((WIDTH, 0.6 + len(work_by_policy) * max(1.1, 0.03 * rows)), layout="constrained")
    column = figure.subplots(len(work_by_policy), 1, sharex=True, squeeze=False)[:, 0]
    for axes, (policy, values) in zip(column, work_by_policy.items(), strict=True):
        shown = axes.imshow(
            np.maximum(values, MIN_DRAWN_WORK_S),
            aspect="auto",
            cmap="YlOrRd",
            norm=LogNorm(MIN_DRAWN_WORK_S, max_work_s),
            interpolation="nearest",
            extent=(0.5, values.shape[1] + 0.5, len(values) - 0.5, -0.5),
        )
        axes.grid(False)
        axes.set(ylabel="endpoint")
        axes.set_title(printable(policy), color=plots.view.colors[policy], loc="left", fontweight="bold")
    column[-1].set_xlabel("second")
    color_scale = figure.colorbar(shown, ax=list(column), pad=0.01, aspect=5 * figure.get_figheight())
    ticks = [tick for n in range(-1, 6) for m in (1, 2, 5) if (tick := m * 10.0**n) <= max_work_s]
    color_scale.set_ticks(ticks, labels=[f"{tick:g}" for tick in ticks])
    color_scale.ax.minorticks_off()
    color_scale.set_label("pending work, s (palest: 0.1 or less)")
    return plots.render_svg(figure, legend=False)


def guards(plots: Plots) -> str:
    """Plot the gateways' circuit breakers, limits and load shedding, for policies that have them."""
    guarded = plots.view.select(lambda result: bool(result.get("guards")))
    unguarded_policies = [escape(name) for name in plots.view.policies if name not in guarded]
    note = html.note(f"No data for {', '.join(unguarded_policies)}.") if unguarded_policies else ""
    if not guarded:
        return html.NO_RESULTS + note
    with matplotlib.rc_context(RC_PARAMS):
        figure = Figure((WIDTH, 5.0), layout="constrained")
        panels = figure.subplots(2, 2, sharex=True).flat
        for axes, (kind, title) in zip(panels, GUARD_TITLES.items(), strict=True):
            _plot_guard(plots, axes, kind, guarded)
            top = max(0.1 if kind == "shed" else 1.0, axes.get_ylim()[1])
            axes.set(title=title, ylim=(-0.02 * top, top))  # keeps a line at zero visible
            if not any(np.any(r["guards"][kind]) for results in guarded.values() for r in results):
                text_options = {"transform": axes.transAxes, "ha": "center", "color": GREY}
                axes.text(0.5, 0.5, "zero throughout", **text_options)
            if axes.get_subplotspec().is_last_row():
                axes.set_xlabel("second")
        picture = plots.render_svg(figure, guarded)
    text = "Solid: mean over the gateways; dotted: maximum over the gateways; both are means over the seeds."
    return f"{picture}{html.note(text)}{note}"


def _plot_guard(plots: Plots, axes: Axes, kind: str, guarded: dict[str, list[Result]]) -> None:
    for policy, results in guarded.items():
        values: Floats = np.array([r["guards"][kind] for r in results])
        plots.draw_band(axes, policy, values[:, :, 0])
        seconds = np.arange(1, values.shape[1] + 1)
        axes.plot(seconds, values[:, :, 1].mean(axis=0), color=plots.view.colors[policy], lw=0.9, ls=":")
