"""Zone locality: the higher the price of crossing zones, the lower the weight of other zones' endpoints."""

from __future__ import annotations

from load_balancer.decisions.settings import Settings

# The weight of an endpoint in another zone is divided by 1 plus this times the price of crossing zones.
CROSS_ZONE_PENALTY = 80.0


def zone_factor(zone: int, settings: Settings) -> float:
    """Return the factor on the weight of an endpoint in `zone`: 1 in the gateway's own zone, else less."""
    return 1.0 / (1.0 + CROSS_ZONE_PENALTY * settings.prices.cross_zone * (zone != settings.zone))
