"""Building blocks of the report's HTML: style, tables and notes."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from html import escape

NO_RESULTS = "<p>The results contain no data for this section.</p>"
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


def document(title: str, body: str) -> str:
    """Return a complete HTML document.

    Args:
        title: The title, as plain text.
        body: The body, as HTML.
    """
    head = f'<meta charset="utf-8">\n<title>{escape(title)}</title>\n<style>{STYLE}</style>'
    return f'<!DOCTYPE html>\n<html lang="en">\n<head>\n{head}\n</head>\n<body>\n{body}\n</body>\n</html>\n'


def table(head: Sequence[str], rows: Iterable[Sequence[str]], text_column: int = 0) -> str:
    """Return a table.

    Args:
        head: Titles of the columns, as plain text.
        rows: Rows of cells, as HTML.
        text_column: Number, from 1, of a column to align to the left; 0 for none.
    """

    def row_html(tag: str, cells: Sequence[str]) -> str:
        class_attributes = [
            ' class="text"' if number == text_column else "" for number in range(1, len(cells) + 1)
        ]
        return (
            "<tr>"
            + "".join(f"<{tag}{k}>{c}</{tag}>" for k, c in zip(class_attributes, cells, strict=True))
            + "</tr>"
        )

    body = "\n".join(row_html("td", row) for row in rows)
    return f'<div class="wide"><table>\n{row_html("th", [escape(h) for h in head])}\n{body}\n</table></div>'


def note(text: str) -> str:
    """Return a paragraph in small print; `text` is HTML."""
    return f'<p class="note">{text}</p>'


def count_noun(number: int, noun: str) -> str:
    """Return a number with its noun in the singular or plural."""
    return f"{number} {noun}" + ("" if number == 1 else "s")
