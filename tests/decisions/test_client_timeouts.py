"""First tries told from later ones."""

from __future__ import annotations

from dataclasses import replace

from tests.decisions.driver import IDEMPOTENT, SETTINGS, Driver, sends


def test_a_longer_timeout_of_a_last_try_does_not_make_first_tries_late() -> None:
    """Clients leave their last try all the time left: first tries, given less, were refused as late."""
    late = replace(IDEMPOTENT, late_weight_share=0.0)
    for marks in (True, False):
        driver = Driver(replace(SETTINGS, classes=(late,), clients_mark_retries=marks))
        for n in range(30):
            timeout_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.arrive(timeout_us=timeout_us, is_retry=marks and n % 5 == 4)
            (send,) = sends(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end(name, send.endpoint_id)
