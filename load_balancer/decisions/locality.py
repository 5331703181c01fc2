"""Zone locality: endpoints in other zones weigh less, by the price of crossing zones."""

from __future__ import annotations

from load_balancer.decisions.settings import Settings

CROSS_ZONE_PENALTY = 80.0  # by which the price of crossing zones, as a share, divides the weight


def zone_factor(zone: int, settings: Settings) -> float:
    """Return the factor on the weight of an endpoint in a zone: 1 in the gateway's own, else less."""
    return 1.0 / (1.0 + CROSS_ZONE_PENALTY * settings.prices.cross_zone * (zone != settings.zone))
