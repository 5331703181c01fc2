"""Report sections that compare policies: metrics, broken rules and costs."""

from __future__ import annotations

from html import escape

import matplotlib
from matplotlib.figure import Figure

from lab.model import comparison, summary
from lab.model.results import RESULTS_FILE, Result, results_of_policy
from lab.model.summary import format_metric, mean_metric
from lab.page import html
from lab.page.plots import RC_PARAMS, WIDTH, Plots
from lab.page.view import View

MAX_VIOLATIONS = 200  # rows of the table of violations
RULE_DESCRIPTIONS = (
    "an invalid action: it refers to an unknown request or endpoint",
    "each request gets one final answer by its deadline, and no attempt is sent after it",
    "a request that may have run is neither repeated nor rejected if its effect forbids that",
    "no attempt is sent to an endpoint that is known to drain or to be gone",
    "gateways that know of an endpoint's start do not overload it during slow start",
)
PER_RUN_COSTS = {
    "falls": "endpoint crashes per run",
    "chokes": "congestion events per run",
    "connections": "open connections",
    "wasted_work": "wasted share of offered work",
}  # all other costs are divided by the number of requests


def side_by_side(plots: Plots) -> str:
    """Tabulate and plot the metrics of all policies, and compare them with the first policy."""
    view = plots.view
    rows = [_summary_row(view, policy) for policy in view.policies]
    text = "Shares of the offered weight (G, whole, worst) or of the requests (late, refused, failed); "
    text += "attempts and handshakes per request; violations of rules in all runs."
    parts = [html.table(summary.COLUMNS, rows), html.note(text)]
    names = ("G", "whole", "worst_window", "worst_class", "worst_tenant")
    titles = ("G", "whole", "worst 10 s", "worst class", "worst tenant")
    if view.by_policy:
        parts.append(plots.draw_bars(names, titles, summary.metric_value, columns=5, axis_limit=1.0))
    if len(view.policies) > 1:
        parts += _comparison_parts(view)
    return "\n".join(parts)


def _summary_row(view: View, policy: str) -> list[str]:
    results = view.by_policy.get(policy, [])
    request_count = sum(r["asked"] for r in results)
    broken = sum(r["broken"]["count"] for r in results)
    crashed = len(results_of_policy(view.results, policy)) - len(results)
    return [
        view.label(policy),
        str(len(results)),
        *(format_metric(mean_metric(results, name)) for name in summary.COMPARED_METRICS[:8]),
        *(format_metric(mean_metric(results, name), 0) for name in ("p50_ms", "p99_ms")),
        *(
            format_metric(sum(r["costs"][kind] for r in results) / request_count if request_count else None)
            for kind in ("attempts", "handshakes")
        ),
        f"{broken}" + (f", {html.count_noun(crashed, 'run')} crashed" if crashed else ""),
    ]


def _comparison_parts(view: View) -> list[str]:
    first, *others = view.policies
    compared = []
    for other in others:
        pair = (results_of_policy(view.results, first), results_of_policy(view.results, other))
        compared += [[escape(cell) for cell in row] for row in comparison.compare_results(*pair, other)[:2]]
    return [
        f"<h3>Compared with {escape(first)}, in pairs by seed</h3>",
        html.table(comparison.COMPARE_COLUMNS, compared),
        html.note(
            "95 % bootstrap interval of the mean difference; a verdict is given only where it "
            f"excludes zero and there are at least {comparison.MIN_PAIRS} pairs."
        ),
    ]


def broken_rules(plots: Plots) -> str:
    """List the rules and the crashed runs, and plot and tabulate the violations."""
    view = plots.view
    violations = [
        (r["policy"], r["seed"], violation)
        for results in view.by_policy.values()
        for r in results
        for violation in r["broken"]["named"]
    ]
    total = sum(r["broken"]["count"] for results in view.by_policy.values() for r in results)
    runs = sum(map(len, view.by_policy.values()))
    rules = "".join(f"<li>{rule}: {escape(text)}</li>" for rule, text in enumerate(RULE_DESCRIPTIONS) if rule)
    parts = [f"<p>The model checks the four rules of the page WIRE on every event:</p><ul>{rules}</ul>"]
    crashes = [r for r in view.results if "crash" in r]
    if crashes:
        rows = [[view.label(r["policy"]), str(r["seed"]), escape(str(r["crash"]))] for r in crashes]
        parts.append(html.table(("policy", "seed", "crashed with"), rows, text_column=3))
    if not violations:
        text = f"No rule was broken in {html.count_noun(runs, 'run')}." if runs else "No run was completed."
        parts.append(f"<p>{text}</p>")
        return "\n".join(parts)
    parts.append(_plot_violations(plots, violations))
    parts.append(
        f"<p>{total} violations in {html.count_noun(runs, 'run')}; the first ones of each run are listed:</p>"
    )
    parts.append(_violation_table(view, violations[:MAX_VIOLATIONS]))
    if len(violations) > MAX_VIOLATIONS:
        parts.append(html.note(f"{len(violations) - MAX_VIOLATIONS} more are listed in {RESULTS_FILE}."))
    return "\n".join(parts)


def _violation_table(view: View, violations: list[tuple[str, int, Result]]) -> str:
    rows = [
        [
            view.label(policy),
            str(seed),
            str(violation["rule"]),
            f"{violation['at_s']:.3f}",
            str(violation["gateway"]),
            escape(str(violation["what"])),
        ]
        for policy, seed, violation in violations
    ]
    head = ("policy", "seed", "rule", "second", "gateway", "violation")
    return html.table(head, rows, text_column=6)


def _plot_violations(plots: Plots, violations: list[tuple[str, int, Result]]) -> str:
    by_policy = plots.view.by_policy
    with matplotlib.rc_context(RC_PARAMS):
        figure = Figure((WIDTH, 2.6), layout="constrained")
        axes = figure.subplots()
        for row, policy in enumerate(by_policy):
            points = [(v["at_s"], v["rule"]) for name, _, v in violations if name == policy]
            offset = (row - (len(by_policy) - 1) / 2) * 0.7 / len(by_policy)
            times, heights = [time_s for time_s, _ in points], [rule + offset for _, rule in points]
            axes.plot(times, heights, "|", ms=7, mew=1.6, color=plots.view.colors[policy])
        rules = sorted({1, 2, 3, 4} | {violation["rule"] for _, _, violation in violations})
        axes.set(xlabel="second", ylim=(4.6, min(rules) - 0.6))
        axes.set_xlim(0, max(len(r["worth_by_s"]) for results in by_policy.values() for r in results))
        axes.set_yticks(rules, [f"rule {rule}" if rule else "invalid" for rule in rules])
        return plots.render_svg(figure)


def costs(plots: Plots) -> str:
    """Plot the costs of each policy, by kind."""
    by_policy = plots.view.by_policy
    if not by_policy:
        return html.NO_RESULTS
    kinds = list(
        dict.fromkeys(kind for results in by_policy.values() for r in results for kind in r["costs"])
    )
    titles = [PER_RUN_COSTS.get(kind, f"{kind.replace('_', ' ')} per request") for kind in kinds]
    return plots.draw_bars(kinds, titles, _cost_value, columns=3)


def _cost_value(result: Result, kind: str) -> float | None:
    value = float(result["costs"].get(kind, 0))
    return value if kind in PER_RUN_COSTS else value / max(1, result["asked"])
