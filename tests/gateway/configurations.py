"""Configuration documents for gateways under test."""

from __future__ import annotations

from typing import Any

from tests.gateway.stub_discovery import CACHED_INDEX, endpoint_entry


def request_class_settings(name: str, effect: str) -> dict[str, object]:
    """Return the settings of a request class, with every time at 60 s."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "windowUs": 60_000_000,
        "aimUs": 60_000_000,
        "giveUpUs": 60_000_000,
        "lateValue": 1.0,
    }


def settings(**caps: object) -> dict[str, object]:
    """Return settings with one request class of each effect; the arguments are added to `caps`."""
    return {
        "lanes": [
            request_class_settings("look", "free"),
            request_class_settings("pay", "guarded"),
            request_class_settings("buy", "single_shot"),
        ],
        "zones": ["a", "b"],
        "shapes": ["m1"],
        "membershipMode": "on_request",
        "caps": {
            "maxAttempts": 1,
            "mayCancel": True,
            "connectTimeoutUs": 20_000_000,
            "keepaliveUs": 60_000_000,
            **caps,
        },
        "contract": {"mustAskInUs": 100_000, "stopSendingWithinUs": 0},
    }


def configuration(endpoints: dict[str, str], discovery_address: str, **overrides: Any) -> dict[str, Any]:
    """Return a configuration document whose cached list has these endpoints, by name and address."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery_address,
        "seed": "1f",
        "limits": {"sockets": 1024},
        "known": {
            "index": CACHED_INDEX,
            "endpoints": [endpoint_entry(name, address) for name, address in endpoints.items()],
        },
        "settings": settings(),
        **overrides,
    }
