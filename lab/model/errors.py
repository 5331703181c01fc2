"""Errors of the fleet model."""

from __future__ import annotations

from load_balancer.errors import LoadBalancerError


class UsageError(LoadBalancerError, ValueError):
    """One line on what cannot be run, compared or drawn."""


class ScenarioError(LoadBalancerError, ValueError):
    """One line: the scenario's file, the key by its path, and what was expected there."""
