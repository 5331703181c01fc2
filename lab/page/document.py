"""The report page: its sections are rendered from a folder's results and written as one HTML file."""

from __future__ import annotations

from collections.abc import Callable
from html import escape
from pathlib import Path

from lab.model.errors import UsageError
from lab.model.results import RESULTS_FILE, read_results_file
from lab.page import html, plot_sections, table_sections
from lab.page.plots import Plots
from lab.page.view import View

PAGE_FILE = "report.html"
SECTIONS: tuple[tuple[str, Callable[[Plots], str]], ...] = (
    ("Policies side by side", table_sections.side_by_side),
    ("Served worth over time", plot_sections.served_weight),
    ("Latency percentiles", plot_sections.latency),
    ("Load by server and zone", plot_sections.load),
    ("Breakers and limits over time", plot_sections.guards),
    ("Broken rules", table_sections.broken_rules),
    ("Cost by kind", table_sections.costs),
)


def render_page(view: View) -> str:
    """Return the page's HTML."""
    name, seeds = str(view.header.get("scenario")), sorted({r["seed"] for r in view.results})
    knobs = ", ".join(map(str, view.header.get("knobs") or ())) or "none turned"
    program = escape(str(view.header.get("program", "unknown")))
    parts = [
        f"<h1>Fleet model: {escape(name)}</h1>",
        f"<p>Policies: {len(view.policies)}; seeds: {len(seeds)}; knobs: {escape(knobs)}; program: "
        f"{program}. <strong>The figures come "
        "from the fleet model; the operators' benchmark is authoritative.</strong></p>",
        html.note(
            "Each policy runs with the same seeds, so that all receive the same requests. A line or a bar "
            "is the mean over the seeds; a band or a whisker spans their range. Each policy has one "
            f"colour in all plots: {view.color_legend()}"
        ),
        *(html.note(escape(note)) for note in view.notes),
    ]
    plots = Plots(view)
    for title, draw in SECTIONS:
        section_id = title.lower().replace(" ", "-")
        parts.append(f'<section id="{section_id}">\n<h2>{title}</h2>\n{draw(plots)}\n</section>')
    return html.document(f"Fleet model: {name}", "\n".join(parts))


def write_page(folder: Path) -> tuple[Path, list[str]]:
    """Write the report page of a folder of results.

    Returns:
        The page's path, and notes on incomplete results.

    Raises:
        UsageError: The folder has no results, or they have another format.
    """
    path = folder / RESULTS_FILE
    header, results = read_results_file(path)
    if header is None or not results:
        raise UsageError(f"{folder}: expected a folder with results that lab run has written")
    notes = []
    if not path.read_bytes().endswith(b"\n"):
        notes.append(f"{RESULTS_FILE}: the last line is incomplete and was ignored")
    try:
        text = render_page(View(header, results, notes))
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        reason = f"{type(error).__name__}: {error}".splitlines()[0]
        raise UsageError(f"{path}: expected results in this program's format ({reason})") from None
    page = folder / PAGE_FILE
    draft = page.with_suffix(".draft")
    draft.write_text(text, encoding="utf-8")
    draft.replace(page)
    return page, notes
