"""The retry budget, the rules for repeating a request, and the reaction to overdue attempts."""

from __future__ import annotations

from enum import Enum

from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import DeduplicationScope, Idempotency

# Tokens added for each first try; a retry after a possible execution takes one token.
RETRY_TOKENS_PER_REQUEST = 0.2
MAX_RETRY_TOKENS = 2.0  # Small, as hundreds of gateways may use all their tokens at the same time.


class OverdueReaction(Enum):
    """The reaction to a request with an overdue attempt.

    Attributes:
        WAIT: Keep waiting for the answer.
        HEDGE: Send a second attempt, and keep the first one in flight.
        REPLACE: Cancel the attempt, and send another one once it has ended.
    """

    WAIT = "wait"
    HEDGE = "hedge"
    REPLACE = "replace"


def may_repeat(request: Request) -> bool:
    """Return whether a further attempt can be sent without causing the request's effect a second time.

    With an idempotency key, that holds only at the endpoints that `Subset.select_for_retry` returns.
    """
    return not request.may_have_run or (
        request.request_class.definition.idempotency is not Idempotency.NON_IDEMPOTENT
    )


def write_deadline_us(request: Request, now_us: int) -> int | None:
    """Return the time by which an attempt that is sent now has to be written; None if it has no limit.

    An attempt may wait long for its connection. Where attempts may be hedged, another one can be sent and run
    meanwhile, so that the first has the same limit as one that is sent after it.
    """
    definition = request.request_class.definition
    if definition.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return None
    deduplicated_until_us = request.deduplicated_until_us
    if deduplicated_until_us is None and request.settings_version.settings.may_hedge:
        return now_us + definition.deduplication_window_us
    return deduplicated_until_us


def may_reject(request: Request) -> bool:
    """Return whether the request may be rejected, which promises its client that a retry is safe."""
    definition = request.request_class.definition
    if not request.may_have_run or definition.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        definition.idempotency is Idempotency.IDEMPOTENCY_KEY
        and definition.deduplication_scope is DeduplicationScope.ALL
    )


class RetryBudget:
    """A token bucket for retries and hedged requests, so that they do not amplify an overload.

    Attributes:
        tokens: Number of tokens left.
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = MAX_RETRY_TOKENS

    def note_first_try(self) -> None:
        """Add the fraction of a token that each first try earns."""
        self.tokens = min(self.tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS)

    def withdraw(self) -> None:
        """Withdraw one token, for a retry or a hedged request."""
        self.tokens -= 1

    def has_token(self, shed_share: float) -> bool:
        """Return whether a token may be used: one is left, and no load is shed."""
        return self.tokens >= 1 and shed_share <= 0.0

    def react_to_overdue(self, request: Request, shed_share: float) -> OverdueReaction:
        """Mark the attempts in flight as overdue, and return what to do about them."""
        overdue_attempts = [
            attempt for attempt in request.attempts if not attempt.ended and not request.answered
        ]
        for attempt in overdue_attempts:
            attempt.overdue = True
        settings = request.settings_version.settings
        if not overdue_attempts or request.streaming or not self.has_token(shed_share):
            return OverdueReaction.WAIT
        if len(request.attempts) >= settings.max_attempts:
            return OverdueReaction.WAIT
        if settings.may_hedge:
            return OverdueReaction.HEDGE
        return OverdueReaction.REPLACE if settings.may_cancel else OverdueReaction.WAIT

    def may_retry(self, request: Request, needs_token: bool, now_us: int, shed_share: float) -> bool:
        """Return whether a request whose attempts have all failed may be retried.

        Args:
            request: The request.
            needs_token: Whether the retry requires a token.
            now_us: The current time.
            shed_share: Share of the load that is being shed, from 0 to 1.
        """
        if not may_repeat(request) or (needs_token and not self.has_token(shed_share)):
            return False
        if request.wait_until_us(now_us) - now_us <= request.unloaded_us:
            return False
        return len(request.attempts) < request.settings_version.settings.max_attempts
