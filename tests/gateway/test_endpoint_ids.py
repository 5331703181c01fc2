"""Endpoint ids are derived from names."""

from __future__ import annotations

from load_balancer.gateway.discovery_messages import endpoint_id_of


def test_an_endpoint_has_the_same_id_at_every_gateway() -> None:
    assert endpoint_id_of("s-5be2a07c") == 0x850D21AD14919D0C
