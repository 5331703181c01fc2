"""One self-contained HTML page on what `lab run` has written: tables, and plots as inline SVG."""

from __future__ import annotations

import io
import re
from collections.abc import Callable, Iterable, Sequence
from html import escape
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np
from matplotlib.axes import Axes
from matplotlib.colors import LogNorm
from matplotlib.figure import Figure
from matplotlib.lines import Line2D

from lab.child import Hist
from lab.model import experiment
from lab.model.experiment import FILE, Result, UsageError, digits, mean, of_policy
from lab.model.policies import POLICIES
from lab.schedule import Floats

NAME = "report.html"
COLOURS = ("#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9", "#7f7f7f", "#8b6d00")
GREY = "#555555"
RULES = (
    "a fault: an unknown request or server is named",
    "each request has one final answer in time, and nothing is sent after it",
    "what may have run is neither sent again nor refused where its effect forbids it",
    "nothing is sent to a server that is known to drain or to be gone",
    "no cold server is felled by gateways that knew of its start",
)
DRAWN: dict[Any, Any] = {
    "svg.hashsalt": "rosedeal", "svg.fonttype": "none", "text.parse_math": False, "font.size": 9.0,
    "axes.spines.top": False, "axes.spines.right": False, "axes.grid": True, "grid.color": "#e4e4e4",
    "axes.axisbelow": True, "axes.titlesize": 9.5, "legend.frameon": False,
}  # fmt: skip
BARE = {"Date": None, "Creator": None, "Format": None, "Type": None}
ZONES = 12  # drawn; a fleet of more has the first ones drawn
NAMED = 200  # broken rules in the table
WIDE = 9.6  # inches
STYLE = """
body{font:15px/1.5 system-ui,sans-serif;color:#1c1c1c;background:#fff;max-width:1080px;margin:2em auto;
padding:0 1em}
h1{margin-bottom:.2em}h2{margin-top:2em;border-bottom:1px solid #ccc}
.wide{overflow-x:auto}table{border-collapse:collapse;font-size:13px;font-variant-numeric:tabular-nums}
th,td{padding:.25em .5em;text-align:right;border-bottom:1px solid #e4e4e4}
th:first-child,td:first-child,td.text,th.text{text-align:left}
svg{width:100%;height:auto}td:first-child{white-space:nowrap}svg *{stroke-linejoin:round;stroke-linecap:butt}
.dot{display:inline-block;width:.8em;height:.8em;margin-right:.4em}
.note{color:#555;font-size:.87em}.name{white-space:nowrap}
@media print{body{max-width:none;margin:0;font-size:12px}table{font-size:8.5px}th,td{padding:.2em .35em}
svg,tr{break-inside:avoid}h2,h3{break-after:avoid}.wide{overflow:visible}
*{print-color-adjust:exact;-webkit-print-color-adjust:exact}}
"""


class Page:
    """The results of a folder, by policy, and the parts of the page."""

    def __init__(self, header: Result, results: list[Result], notes: list[str]) -> None:
        self.header, self.notes, self.figures = header, notes, 0
        known = list(POLICIES)
        names = {str(r["policy"]) for r in results}
        self.policies = sorted(names, key=lambda n: (known.index(n) if n in known else len(known), n))
        places = known + [name for name in self.policies if name not in known]
        self.colour = {name: COLOURS[places.index(name) % len(COLOURS)] for name in self.policies}
        self.results = sorted(results, key=lambda r: (self.policies.index(r["policy"]), r["seed"]))
        whole = [r for r in self.results if "crash" not in r]
        self.of = {name: of for name in self.policies if (of := of_policy(whole, name))}

    # Parts

    def text(self) -> str:
        name, seeds = str(self.header.get("scenario")), sorted({r["seed"] for r in self.results})
        knobs = ", ".join(map(str, self.header.get("knobs") or ())) or "none turned"
        parts = [
            f"<h1>Fleet model: {escape(name)}</h1>",
            f"<p>Policies: {len(self.policies)}; seeds: {len(seeds)}; knobs: {escape(knobs)}; program: "
            f"{escape(str(self.header.get('program', 'not told')))}. <strong>The figures are "
            "the model's own: the operators' bench is the judge.</strong></p>",
            '<p class="note">Every policy meets the same days. A line or a bar is the mean over the seeds, '
            "and the shade or the whisker reaches from the least to the most of them. A policy has one "
            f"colour throughout: {self.key()}</p>",
            *(f'<p class="note">{escape(note)}</p>' for note in self.notes),
        ]
        for title, draw in (
            ("Policies side by side", self.side_by_side),
            ("Served worth over time", self.worth),
            ("Latency percentiles", self.latency),
            ("Load by server and zone", self.load),
            ("Breakers and limits over time", self.guards),
            ("Broken rules", self.rules),
            ("Cost by kind", self.costs),
        ):
            ident = title.lower().replace(" ", "-")
            parts.append(f'<section id="{ident}">\n<h2>{title}</h2>\n{draw()}\n</section>')
        title = escape(f"Fleet model: {name}")
        head = f'<meta charset="utf-8">\n<title>{title}</title>\n<style>{STYLE}</style>'
        body = "\n".join(parts)
        return (
            f'<!DOCTYPE html>\n<html lang="en">\n<head>\n{head}\n</head>\n<body>\n{body}\n</body>\n</html>\n'
        )

    def key(self) -> str:
        return " &#160;\n".join(map(self.label, self.policies))

    def label(self, policy: str) -> str:
        dot = f'<span class="dot" style="background:{self.colour[policy]}"></span>'
        return f'<span class="name">{dot}{escape(policy)}</span>'

    def side_by_side(self) -> str:
        rows = []
        for policy in self.policies:
            of = self.of.get(policy, [])
            asked = sum(r["asked"] for r in of)
            broken = sum(r["broken"]["count"] for r in of)
            crashed = len(of_policy(self.results, policy)) - len(of)
            rows.append([
                self.label(policy), str(len(of)), *(digits(mean(of, n)) for n in experiment.COMPARED[:8]),
                *(digits(mean(of, name), 0) for name in ("p50_ms", "p99_ms")),
                *(digits(sum(r["costs"][kind] for r in of) / asked if asked else None)
                  for kind in ("attempts", "handshakes")),
                f"{broken}" + (f", {count(crashed, 'day')} crashed" if crashed else ""),
            ])  # fmt: skip
        told = "Shares of the worth asked for (G, whole, worst) or of the requests (late, refused, failed); "
        told += "attempts and handshakes a request; broken rules in all days."
        parts = [table(experiment.COLUMNS, rows), f'<p class="note">{told}</p>']
        names = ("G", "whole", "worst_window", "worst_class", "worst_tenant")
        titles = ("G", "whole", "worst 10 s", "worst class", "worst tenant")
        if self.of:
            parts.append(self.bars(names, titles, experiment.figure, columns=5, most=1.0))
        if len(self.policies) > 1:
            first, *others = self.policies
            compared = []
            for other in others:
                pair = (of_policy(self.results, first), of_policy(self.results, other))
                compared += [[escape(cell) for cell in row] for row in experiment.compare(*pair, other)[:2]]
            parts.append(f"<h3>Against {escape(first)}, in pairs by seed</h3>")
            parts.append(table(experiment.COMPARE_COLUMNS, compared))
            parts.append(
                '<p class="note">Bootstrap 95 % interval of the mean difference; a verdict only where it '
                f"excludes nought, and from {experiment.LEAST_PAIRS} pairs on.</p>"
            )
        return "\n".join(parts)

    def worth(self) -> str:
        if not self.of:
            return nothing()
        with matplotlib.rc_context(DRAWN):
            figure = Figure((WIDE, 5.0), layout="constrained")
            upper, lower = figure.subplots(2, 1, sharex=True, height_ratios=(2, 1))
            for policy, of in self.of.items():
                pairs = np.array([r["worth_by_s"] for r in of], dtype=np.float64)
                asked, served = pairs[:, :, 0], pairs[:, :, 1]
                share = np.divide(served, asked, out=np.full_like(served, np.nan), where=asked > 0)
                self.band(upper, policy, share)
            of = max(self.of.values(), key=len)
            self.band(lower, None, np.array([r["worth_by_s"] for r in of])[:, :, 0] / 1e6)
            upper.set(title="Share of the worth asked for that was served", ylabel="share",
                      ylim=(-0.02, 1.03))  # fmt: skip
            lower.set(title="Worth asked for: the same for all", xlabel="second of arrival",
                      ylabel="worth, millions")  # fmt: skip
            lower.set_ylim(bottom=0)
            return self.svg(figure)

    def latency(self) -> str:
        rows, curves = [], {}
        shares = 100.0 * (1.0 - 10.0 ** -np.linspace(0.0, 3.0, 61))
        for policy, of in self.of.items():
            hists = [hist for r in of if (hist := Hist(r["latency"])).count]
            if hists:
                curves[policy] = np.array([[h.at(p) for p in shares] for h in hists])
                for hist in hists[1:]:
                    hists[0].join(hist)
            cells = [digits(hists[0].at(p) if hists else None, 0) for p in (50, 90, 99, 99.9, 100)]
            rows.append([self.label(policy), *cells])
        if not curves:
            return nothing()
        with matplotlib.rc_context(DRAWN):
            figure = Figure((WIDE, 3.8), layout="constrained")
            axes = figure.subplots()
            for policy, values in curves.items():
                self.band(axes, policy, values, np.linspace(0.0, 3.0, 61))
            axes.set(yscale="log", xlabel="percentile of the requests served", ylabel="ms", xlim=(0, 3))
            axes.set_xticks([-np.log10(1 - p) for p in (0, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999)],
                            ["0", "50", "75", "90", "95", "99", "99.5", "99.9"])  # fmt: skip
            axes.yaxis.set_major_formatter("{x:g}")
            axes.yaxis.set_minor_formatter(lambda value, _: f"{value:g}" if f"{value:e}"[0] in "25" else "")
            picture = self.svg(figure)
        note = '<p class="note">In ms, of all seeds: from the HDR histograms of the requests served.</p>'
        return picture + table(("policy", "p50", "p90", "p99", "p99.9", "most"), rows) + note

    def load(self) -> str:
        of = {
            name: sampled for name, rs in self.of.items() if (sampled := [r for r in rs if "zone_load" in r])
        }
        if not of:
            return nothing()
        zones = next(iter(of.values()))[0]["zones"][:ZONES]
        kinds = (("waiting", "requests that wait", 1.0), ("work_ms", "work in hand, s", 1e-3))
        with matplotlib.rc_context(DRAWN):
            figure = Figure((WIDE, 0.5 + 1.8 * len(zones)), layout="constrained")
            grid = figure.subplots(len(zones), 2, sharex=True, sharey="col", squeeze=False)
            for row, zone in enumerate(zones):
                for axes, (kind, label, scale) in zip(grid[row], kinds, strict=True):
                    for policy, results in of.items():
                        self.band(
                            axes, policy, np.array([r["zone_load"][kind] for r in results])[:, :, row] * scale
                        )
                    axes.set(title=f"{plain(zone)}: {label}")
            for axes in grid[-1]:
                axes.set_ylim(bottom=0)
                axes.set_xlabel("second")
            parts = ["<h3>By zone</h3>", self.svg(figure)]
            first = {name: np.array(rs[0]["server_load"]["work_ms"]).T / 1e3 for name, rs in of.items()}
            most = max(0.2, *(float(values.max()) for values in first.values()))
            most_servers = max(len(values) for values in first.values())
            figure = Figure((WIDE, 0.6 + len(first) * max(1.1, 0.03 * most_servers)), layout="constrained")
            column = figure.subplots(len(first), 1, sharex=True, squeeze=False)[:, 0]
            for axes, (policy, values) in zip(column, first.items(), strict=True):
                shown = axes.imshow(
                    np.maximum(values, 0.1), aspect="auto", cmap="YlOrRd", norm=LogNorm(0.1, most),
                    interpolation="nearest", extent=(0.5, values.shape[1] + 0.5, len(values) - 0.5, -0.5),
                )  # fmt: skip
                axes.grid(False)
                axes.set(ylabel="server")
                axes.set_title(plain(policy), color=self.colour[policy], loc="left", fontweight="bold")
            column[-1].set_xlabel("second")
            bar = figure.colorbar(shown, ax=list(column), pad=0.01, aspect=5 * figure.get_figheight())
            ticks = [tick for n in range(-1, 6) for m in (1, 2, 5) if (tick := m * 10.0**n) <= most]
            bar.set_ticks(ticks, labels=[f"{tick:g}" for tick in ticks])
            bar.ax.minorticks_off()
            bar.set_label("work in hand, s (0.1 or less is palest)")
            seed = next(iter(of.values()))[0]["seed"]
            parts += [f"<h3>By server, seed {seed}</h3>", self.svg(figure, legend=False)]
        parts.append(
            '<p class="note">One sample a second. Work is that of a core of speed 1: what waits, and what is '
            f"left of what runs. At most the first {ZONES} zones and 100 servers are drawn; a zone counts "
            "all its servers.</p>"
        )
        return "\n".join(parts)

    def guards(self) -> str:
        of = {
            name: guarded for name, rs in self.of.items() if (guarded := [r for r in rs if r.get("guards")])
        }
        without = [escape(name) for name in self.policies if name not in of]
        note = f'<p class="note">None to draw for {", ".join(without)}.</p>' if without else ""
        if not of:
            return nothing() + note
        titles = {
            "open": "open breakers of a gateway", "half-open": "half-open breakers of a gateway",
            "limit": "limit of a gateway on what is out", "shed": "share of the work that a gateway sheds",
        }  # fmt: skip
        with matplotlib.rc_context(DRAWN):
            figure = Figure((WIDE, 5.0), layout="constrained")
            for axes, (kind, title) in zip(
                figure.subplots(2, 2, sharex=True).flat, titles.items(), strict=True
            ):
                for policy, results in of.items():
                    values = np.array([r["guards"][kind] for r in results])
                    self.band(axes, policy, values[:, :, 0])
                    seconds = np.arange(1, values.shape[1] + 1)
                    axes.plot(
                        seconds, values[:, :, 1].mean(axis=0), color=self.colour[policy], lw=0.9, ls=":"
                    )
                top = max(0.1 if kind == "shed" else 1.0, axes.get_ylim()[1])
                axes.set(title=title, ylim=(-0.02 * top, top))  # a line at nought is seen
                if not any(np.any(r["guards"][kind]) for results in of.values() for r in results):
                    axes.text(
                        0.5, 0.5, "none at any second", transform=axes.transAxes, ha="center", color=GREY
                    )
                if axes.get_subplotspec().is_last_row():
                    axes.set_xlabel("second")
            picture = self.svg(figure, of)
        told = (
            "The line is the mean of the gateways, the dots that with the most; both are means of the seeds."
        )
        return f'{picture}<p class="note">{told}</p>{note}'

    def rules(self) -> str:
        found = [
            (r["policy"], r["seed"], b) for rs in self.of.values() for r in rs for b in r["broken"]["named"]
        ]
        total = sum(r["broken"]["count"] for rs in self.of.values() for r in rs)
        days = sum(map(len, self.of.values()))
        told = "".join(f"<li>{rule}: {escape(text)}</li>" for rule, text in enumerate(RULES) if rule)
        parts = [f"<p>The model checks the four rules of WIRE on every event:</p><ul>{told}</ul>"]
        crashes = [r for r in self.results if "crash" in r]
        if crashes:
            rows = [[self.label(r["policy"]), str(r["seed"]), escape(str(r["crash"]))] for r in crashes]
            parts.append(table(("policy", "seed", "crashed with"), rows, text=3))
        if not found:
            told = f"None was broken in {count(days, 'day')}." if days else "No day came to its end."
            parts.append(f"<p>{told}</p>")
            return "\n".join(parts)
        with matplotlib.rc_context(DRAWN):
            figure = Figure((WIDE, 2.6), layout="constrained")
            axes = figure.subplots()
            for place, policy in enumerate(self.of):
                here = [(b["at_s"], b["rule"]) for name, _, b in found if name == policy]
                lift = (place - (len(self.of) - 1) / 2) * 0.7 / len(self.of)
                axes.plot([at for at, _ in here], [rule + lift for _, rule in here], "|", ms=7, mew=1.6,
                          color=self.colour[policy])  # fmt: skip
            rules = sorted({1, 2, 3, 4} | {b["rule"] for _, _, b in found})
            axes.set(xlabel="second", ylim=(4.6, min(rules) - 0.6))
            axes.set_xlim(0, max(len(r["worth_by_s"]) for rs in self.of.values() for r in rs))
            axes.set_yticks(rules, [f"rule {rule}" if rule else "fault" for rule in rules])
            parts.append(self.svg(figure))
        parts.append(f"<p>{total} broken in {count(days, 'day')}, of which the first of a day are named:</p>")
        rows = [
            [self.label(policy), str(seed), str(b["rule"]), f"{b['at_s']:.3f}", str(b["gateway"]),
             escape(str(b["what"]))]
            for policy, seed, b in found[:NAMED]
        ]  # fmt: skip
        parts.append(table(("policy", "seed", "rule", "second", "gateway", "what"), rows, text=6))
        if len(found) > NAMED:
            parts.append(f'<p class="note">{len(found) - NAMED} more are named in {FILE}.</p>')
        return "\n".join(parts)

    def costs(self) -> str:
        if not self.of:
            return nothing()
        whole = {
            "falls": "servers fallen, a day", "chokes": "servers choked, a day",
            "connections": "open connections", "wasted_work": "wasted work, of that offered",
        }  # fmt: skip
        kinds = list(dict.fromkeys(kind for rs in self.of.values() for r in rs for kind in r["costs"]))
        titles = [whole.get(kind, f"{kind.replace('_', ' ')} a request") for kind in kinds]

        def cost(result: Result, kind: str) -> float | None:
            value = float(result["costs"].get(kind, 0))
            return value if kind in whole else value / max(1, result["asked"])

        return self.bars(kinds, titles, cost, columns=3)

    # Plots

    def band(self, axes: Axes, policy: str | None, values: Floats, at: Floats | None = None) -> None:
        """The mean with the range of values, a row a seed, at places, by default the seconds from 1.

        A value that is not a number is left out; what is no policy's is grey.
        """
        colour = GREY if policy is None else self.colour[policy]
        there = np.ma.masked_invalid(values)
        x = np.arange(1, values.shape[1] + 1) if at is None else at
        low, middle, high = (f(axis=0).filled(np.nan) for f in (there.min, there.mean, there.max))
        if len(values) > 1:
            axes.fill_between(x, low, high, color=colour, alpha=0.13, lw=0)
        axes.plot(x, middle, color=colour, lw=1.4)

    def bars(
        self, names: Sequence[str], titles: Sequence[str], value: Callable[[Result, str], float | None],
        columns: int, most: float | None = None,
    ) -> str:  # fmt: skip
        """A panel a name, with a bar a policy to the mean of `value`, and a whisker over the seeds' range.

        `most` is what every axis reaches to; without it, each reaches to its own.
        """
        with matplotlib.rc_context(DRAWN):
            rows = -(-len(names) // columns)
            height = 0.45 + rows * (0.55 + 0.22 * len(self.of))
            figure = Figure((WIDE, height), layout="constrained")
            grid = figure.subplots(rows, columns, squeeze=False, sharey=True)
            for axes in grid.flat[len(names) :]:
                axes.set_axis_off()
            for axes, name, title in zip(grid.flat, names, titles, strict=False):
                longest = most or 0.0
                for place, (policy, of) in enumerate(self.of.items()):
                    values = [v for r in of if (v := value(r, name)) is not None] or [0.0]
                    middle, low, high = float(np.mean(values)), min(values), max(values)
                    longest = max(longest, high)
                    axes.barh(place, middle, color=self.colour[policy], height=0.7)
                    axes.plot([low, high], [place, place], color="#333", lw=1.0)
                    told = f"{middle:.3f}" if most else f"{middle:.3g}"
                    axes.annotate(told, (high, place), (4, 0), textcoords="offset points", va="center",
                                  fontsize=8)  # fmt: skip
                axes.set(title=title, xlim=(0, (longest or 1.0) * 1.3))
                axes.set_yticks(range(len(self.of)), [plain(policy) for policy in self.of])
                axes.grid(False)
                axes.locator_params(axis="x", nbins=3)
            grid.flat[0].invert_yaxis()
            return self.svg(figure, legend=False)

    def svg(self, figure: Figure, policies: Iterable[str] | None = None, legend: bool = True) -> str:
        """A figure as inline SVG, without date, outside reference or identifier that another one has."""
        names = list(self.of if policies is None else policies)
        if legend:
            columns = max(1, min(len(names), 150 // (max(map(len, names)) + 8)))
            lines = [Line2D([], [], color=self.colour[name], lw=2.5) for name in names]
            figure.legend(lines, list(map(plain, names)), loc="outside upper left", ncols=columns)
        file = io.StringIO()
        figure.savefig(file, format="svg", metadata=BARE)
        self.figures += 1
        text = file.getvalue()
        text = re.sub(
            r"<style.*?</style>|<metadata>.*?</metadata>", "", text[text.index("<svg") :], flags=re.S
        )
        return re.sub(r'(\bid="|url\(#|href="#)', rf"\g<1>f{self.figures}-", text)


def plain(name: object) -> str:
    """A name as it can be drawn."""
    return "".join(c if c.isprintable() else "?" for c in str(name))


def count(number: int, noun: str) -> str:
    return f"{number} {noun}" + ("" if number == 1 else "s")


def nothing() -> str:
    return "<p>The results hold none of it.</p>"


def table(head: Sequence[str], rows: Iterable[Sequence[str]], text: int = 0) -> str:
    """Rows of HTML; the column of number `text`, where there is one, is text."""

    def line(tag: str, cells: Sequence[str]) -> str:
        kinds = [' class="text"' if place == text else "" for place in range(1, len(cells) + 1)]
        return "<tr>" + "".join(f"<{tag}{k}>{c}</{tag}>" for k, c in zip(kinds, cells, strict=True)) + "</tr>"

    body = "\n".join(line("td", row) for row in rows)
    return f'<div class="wide"><table>\n{line("th", [escape(h) for h in head])}\n{body}\n</table></div>'


def write(folder: Path) -> tuple[Path, list[str]]:
    """The page's path, and what is to be said of the results; UsageError where there is nothing to draw."""
    path = folder / FILE
    header, results = experiment.read(path)
    if header is None or not results:
        raise UsageError(f"{folder}: expected a folder with results that lab run has written")
    notes = []
    if not path.read_bytes().endswith(b"\n"):
        notes.append(f"{FILE}: the last line is cut off and left out")
    try:
        text = Page(header, results, notes).text()
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        why = f"{type(error).__name__}: {error}".splitlines()[0]
        raise UsageError(f"{path}: expected results of this program's form ({why})") from None
    out = folder / NAME
    draft = out.with_suffix(".draft")
    draft.write_text(text, encoding="utf-8")
    draft.replace(out)
    return out, notes
