"""Tables of plain text."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Columns aligned to the right but for the first; a short row's last cell runs on over what is left."""
    body = [list(row) for row in rows]
    whole = [list(head), *(row for row in body if len(row) == len(head))]
    widths = [max(len(row[n]) for row in whole) for n in range(len(head))]
    for row in body:
        widths[0] = max(widths[0], len(row[0]))

    def line(row: Sequence[str]) -> str:
        cells = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=False)]
        if len(row) < len(head):
            cells = list(row[1:])
        return "  ".join([row[0].ljust(widths[0]), *cells]).rstrip()

    return "\n".join(line(row) for row in [list(head), *body])
