"""The budget of bytes for messages that are being received, served or sent on all connections together."""

from __future__ import annotations

BYTES_PER_MB = 1_000_000
# Share of the process's memory limit that messages may take. The rest is for the interpreter, the endpoint
# list, the settings, and the overhead of the allocator and of objects.
MESSAGE_SHARE = 0.25
MIN_LIMIT_BYTES = 2 * BYTES_PER_MB
# Share of the budget above which requests are rejected. The rest is kept for responses, so that an attempt
# that may have run can still end with its answer.
REQUEST_SHARE = 0.5


class BufferBudget:
    """A count of buffered bytes, with a limit that follows from the process's memory limit.

    Attributes:
        limit_bytes: How many bytes may be buffered.
        used_bytes: How many are buffered.
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, memory_limit_mb: float) -> None:
        self.used_bytes = 0
        self.limit_bytes = 0
        self.set_memory_limit(memory_limit_mb)

    def set_memory_limit(self, memory_limit_mb: float) -> None:
        """Set the limit as a share of the process's memory limit, in MB of 10^6 bytes."""
        self.limit_bytes = max(MIN_LIMIT_BYTES, int(memory_limit_mb * BYTES_PER_MB * MESSAGE_SHARE))

    @property
    def is_exhausted(self) -> bool:
        """Whether a response that needs more has to be dropped."""
        return self.used_bytes > self.limit_bytes

    @property
    def is_exhausted_for_requests(self) -> bool:
        """Whether requests have to be rejected."""
        return self.used_bytes > self.limit_bytes * REQUEST_SHARE


class BufferReservation:
    """The part of a budget that one connection uses.

    Attributes:
        size: Bytes in use.
    """

    __slots__ = ("_budget", "size")

    def __init__(self, budget: BufferBudget) -> None:
        self.size = 0
        self._budget = budget

    def resize(self, size: int) -> None:
        """Set the number of bytes in use; 0 to release all of it."""
        self._budget.used_bytes += size - self.size
        self.size = size
