"""Plain text tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table with its first column aligned to the left and the others to the right.

    A row with fewer cells than the header is printed without alignment after its first cell.
    """
    body_rows = [list(row) for row in rows]
    full_rows = [list(header), *(row for row in body_rows if len(row) == len(header))]
    widths = [max(len(row[column]) for row in full_rows) for column in range(len(header))]
    for row in body_rows:
        widths[0] = max(widths[0], len(row[0]))

    def format_row(row: Sequence[str]) -> str:
        cells = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=False)]
        if len(row) < len(header):
            cells = list(row[1:])
        return "  ".join([row[0].ljust(widths[0]), *cells]).rstrip()

    return "\n".join(format_row(row) for row in [list(header), *body_rows])
