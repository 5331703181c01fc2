"""Tests that a client's first tries are distinguished from its retries."""

from __future__ import annotations

from dataclasses import replace

from tests.decisions.driver import IDEMPOTENT, SETTINGS, Driver, sends


def test_a_longer_timeout_of_a_last_try_does_not_make_first_tries_late() -> None:
    """Clients give their last try all the time that is left.

    First tries, which have shorter timeouts, were taken for late retries and rejected.
    """
    no_late_weight = replace(IDEMPOTENT, late_weight_share=0.0)
    for clients_mark_retries in (True, False):
        driver = Driver(
            replace(SETTINGS, classes=(no_late_weight,), clients_mark_retries=clients_mark_retries)
        )
        for n in range(30):
            timeout_us = 330_000 if n % 5 == 4 else 220_000
            request_id, actions = driver.start_request(
                timeout_us=timeout_us, is_retry=clients_mark_retries and n % 5 == 4
            )
            (send,) = sends(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end_attempt(request_id, send.endpoint_id)
