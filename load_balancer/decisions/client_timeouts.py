"""The timeout that clients give their first tries, which distinguishes first tries from retries."""

from __future__ import annotations

from load_balancer.decisions.events import RequestArrived
from load_balancer.decisions.latency import ClassState

SAME_TIMEOUT_TOLERANCE = 0.02  # timeouts that differ by less, as a share, are the same


def elapsed_before_arrival_us(
    event: RequestArrived, request_class: ClassState, clients_mark_retries: bool
) -> int:
    """Return how much of its client's timeout the earlier tries of a request have used; 0 for a first try.

    First tries of a class share one timeout, found by majority vote; a different one marks a retry, which has
    the rest of the client's time. The configured timeout is not used for this: clients may give the last try
    more time than the first, so that most requests would seem past their objective on arrival.
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
