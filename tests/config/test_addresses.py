"""Addresses of the form host:port."""

from __future__ import annotations

import pytest

from load_balancer.config.addresses import format_address, parse_address
from load_balancer.config.errors import ConfigError


@pytest.mark.parametrize("text", ["127.0.0.1:0", "host:65535", "::1:80"])
def test_a_parsed_address_is_formatted_the_same(text: str) -> None:
    assert format_address(parse_address(text)) == text


@pytest.mark.parametrize(
    "text", [None, 7, "", "host", ":80", "host:", "host:65536", "host:-1", "host:\uff180"]
)
def test_an_invalid_address_is_an_error_with_the_value(text: object) -> None:
    with pytest.raises(ConfigError) as error:
        parse_address(text)
    assert str(error.value) == f"expected an address of the form host:port, got {text!r}"


def test_a_long_value_is_truncated_in_the_error() -> None:
    with pytest.raises(ConfigError) as error:
        parse_address("x" * 100)
    assert str(error.value).endswith("got '" + "x" * 59 + "...")
