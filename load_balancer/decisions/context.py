"""The time, the settings and the request classes that apply to the current event."""

from __future__ import annotations

from collections.abc import Mapping

from load_balancer.decisions.latency import ClassState, RequestClasses
from load_balancer.decisions.settings import Settings
from load_balancer.decisions.settings_version import SettingsVersion


class Context:
    """Shared state that all parts of the balancer read and only `Balancer` changes.

    Attributes:
        now_us: The time of the event.
        settings_version: The settings in force, with ids for classes and tenants.
        settings: The settings of that version.
        classes: The state of its classes.
    """

    __slots__ = ("classes", "now_us", "settings", "settings_version")

    def __init__(self, version: SettingsVersion) -> None:
        self.now_us = 0
        self.change_settings(version, {})

    def change_settings(self, version: SettingsVersion, classes: Mapping[int, ClassState]) -> None:
        """Put settings in force; of `classes`, by id, those that the version still has keep their state."""
        self.settings_version: SettingsVersion = version
        self.settings: Settings = version.settings
        self.classes = RequestClasses(version, classes)
