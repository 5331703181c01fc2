"""Errors of the simulator's text protocol."""

from __future__ import annotations

from load_balancer.errors import LoadBalancerError


class WireFormatError(LoadBalancerError, ValueError):
    """A line that cannot be parsed; the message says why."""
