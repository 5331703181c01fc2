"""Errors of the simulator's wire."""

from __future__ import annotations

from load_balancer.errors import LoadBalancerError


class WireFormatError(LoadBalancerError, ValueError):
    """A line that cannot be read; the message says why."""
