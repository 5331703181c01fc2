"""Base classes of the errors that this package raises on purpose."""

from __future__ import annotations


class LoadBalancerError(Exception):
    """Base class of every error that this package raises on purpose."""


class SettingsError(LoadBalancerError, ValueError):
    """Settings that are out of range or contradictory; the message names the field and the problem."""
