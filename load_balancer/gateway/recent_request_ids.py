"""The ids of requests that may have been executed a short time ago, and must not be executed again."""

from __future__ import annotations

from collections.abc import Callable

RETENTION_S = 60.0
MAX_IDS = 4096  # each takes up to 300 bytes


class RecentRequestIds:
    """The ids of recent requests, bounded in number and age; the oldest are forgotten first.

    Args:
        now: The loop's clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._added_at: dict[bytes, float] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._added_at)

    def __contains__(self, request_id: bytes) -> bool:
        self._forget_expired()
        return request_id in self._added_at

    def add(self, request_id: bytes) -> None:
        """Remember an id from now on, also if it is remembered already."""
        self._added_at.pop(request_id, None)
        self._added_at[request_id] = self._now()
        if len(self._added_at) > MAX_IDS:
            del self._added_at[next(iter(self._added_at))]

    def discard(self, request_id: bytes) -> None:
        """Forget an id, as its request has certainly not been executed."""
        self._added_at.pop(request_id, None)

    def _forget_expired(self) -> None:
        oldest = self._now() - RETENTION_S
        while self._added_at:
            request_id, added_at = next(iter(self._added_at.items()))
            if added_at > oldest:
                return
            del self._added_at[request_id]
