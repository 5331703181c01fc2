"""Errors of the fleet model."""

from __future__ import annotations

from load_balancer.errors import LoadBalancerError


class UsageError(LoadBalancerError, ValueError):
    """Something cannot be run, compared or drawn; the message is one line."""


class ScenarioError(LoadBalancerError, ValueError):
    """A scenario file is not valid; the message is one line with file, path of the key and expectation."""
