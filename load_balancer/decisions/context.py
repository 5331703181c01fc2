"""The time, the settings and the request classes that apply to the current event."""

from __future__ import annotations

from collections.abc import Mapping

from load_balancer.decisions.latency import ClassState, RequestClasses
from load_balancer.decisions.settings import Settings
from load_balancer.decisions.settings_version import SettingsVersion


class Context:
    """Shared state that the parts of the balancer read and only `Balancer` changes.

    Attributes:
        now_us: The time of the current event, in microseconds.
        settings_version: The settings version in force.
        settings: The settings of that version.
        classes: The state of its request classes.
    """

    __slots__ = ("classes", "now_us", "settings", "settings_version")

    def __init__(self, version: SettingsVersion) -> None:
        self.now_us = 0
        self.change_settings(version, {})

    def change_settings(self, version: SettingsVersion, classes: Mapping[int, ClassState]) -> None:
        """Put a settings version in force.

        Args:
            version: The new version.
            classes: Previous class states by id; those whose id the new version has are kept.
        """
        self.settings_version: SettingsVersion = version
        self.settings: Settings = version.settings
        self.classes = RequestClasses(version, classes)
