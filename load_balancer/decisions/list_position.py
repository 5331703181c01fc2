"""Where this gateway stands in service discovery's log of changes, and which lists are older than that."""

from __future__ import annotations

from load_balancer.decisions.endpoint import ListKind

# How long service discovery must have sent nothing but older lists until one is applied: it has then begun to
# count anew, rather than answered from a replica that lags.
OLDER_LISTS_S = 30.0


class ListPosition:
    """The index of the list in use, and the one from which a watch has to continue.

    An index of 0 or less is unknown, and is never older.

    Attributes:
        index: Index of the last list or change that was applied.
        resume_index: Index up to which nothing is missing.
    """

    __slots__ = ("_misses_changes", "_older_since_s", "index", "resume_index")

    def __init__(self) -> None:
        self.index = 0
        self.resume_index = 0
        self._misses_changes = False
        self._older_since_s: float | None = None

    def rejects_as_older(self, kind: ListKind, index: int, now_s: float) -> bool:
        """Return whether a complete list must not be applied, as a newer one has been; note it if so.

        A change is never rejected. The caller has to turn the changes of a watch that began with a rejected
        list into complete ones, as they apply to that list.

        Args:
            kind: Whether it is complete or a change.
            index: Its index.
            now_s: The current time in seconds.
        """
        if kind is ListKind.DELTA or index <= 0 or index >= self.index:
            return False
        if self._older_since_s is None:
            self._older_since_s = now_s
        return now_s - self._older_since_s < OLDER_LISTS_S

    def note_applied(self, kind: ListKind, index: int, *, is_partial: bool) -> None:
        """Note a list or change that is applied, in whole or in part."""
        if kind is not ListKind.DELTA or index > self.index:
            self._older_since_s = None
        self.index = index
        if is_partial:
            self._misses_changes = True
        elif kind is not ListKind.DELTA:
            self._misses_changes = False
        if not self._misses_changes:
            self.resume_index = index

    def note_skipped(self) -> None:
        """Note that a list or change was not applied."""
        self._misses_changes = True
