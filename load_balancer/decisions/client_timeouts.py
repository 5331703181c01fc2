"""Detection of retries by their timeout, which differs from the one that clients set for a first try."""

from __future__ import annotations

from load_balancer.decisions.events import RequestArrived
from load_balancer.decisions.latency import ClassState

SAME_TIMEOUT_TOLERANCE = 0.02  # Timeouts whose relative difference is at most this count as equal.


def elapsed_before_arrival_us(
    event: RequestArrived, request_class: ClassState, clients_mark_retries: bool
) -> int:
    """Return how much of the client's timeout earlier tries of a request have used; 0 for a first try.

    All first tries of a class have the same timeout, which is found by majority vote. A request with a
    different timeout is a retry with the remaining time. The configured timeout cannot be used instead:
    clients may set a longer timeout for the last try than for the first, so that most requests would seem to
    have missed their latency objective on arrival.

    Args:
        event: The arrival of the request.
        request_class: State of its class; its votes are updated.
        clients_mark_retries: Whether clients mark retries; if so, an unmarked request is a first try.
    """
    expected_timeout_us = request_class.first_try_timeout_us
    votes = request_class.timeout_votes
    timeout_us = event.remaining_timeout_us
    matches = abs(timeout_us - expected_timeout_us) <= SAME_TIMEOUT_TOLERANCE * expected_timeout_us
    if not event.is_retry:
        votes += 1 if matches else -1
        if votes < 0:
            expected_timeout_us = timeout_us
            votes = 1
            matches = True
        request_class.first_try_timeout_us = expected_timeout_us
        request_class.timeout_votes = votes
        matches = matches or clients_mark_retries
    return 0 if matches else max(0, request_class.definition.client_timeout_us - timeout_us)
