"""Latency estimates by request class, and the multiples of them at which an answer is slow or overdue."""

from __future__ import annotations

from collections.abc import Mapping
from operator import attrgetter

from load_balancer.decisions.settings import RequestClass
from load_balancer.decisions.settings_version import SettingsVersion

SMOOTHING_FACTOR = 0.05  # Share of the newest sample in exponentially smoothed values.
SLOW_LATENCY_FACTOR = 2.0  # Multiple of the expected latency beyond which an answer is slow.
OVERDUE_LATENCY_FACTOR = 4.0  # Multiple of the expected latency beyond which an attempt is overdue.
HINTED_WORK_SHARE = 0.3  # Share of the usual latency that is proportional to the hinted work.
MIN_ANSWERS = 5  # Answers of a class before its unloaded latency is relied on.
# Share of the difference by which the unloaded latency moves towards a shorter sample.
UNLOADED_DECREASE_SHARE = 0.05
# Relative increase of the unloaded latency at each answer; slow, so that it does not adapt to an overload.
UNLOADED_INCREASE_SHARE = 0.0005


class ClassState:
    """Estimates for one request class since its settings last changed.

    Attributes:
        class_id: Id of the class in the settings versions.
        definition: The class as defined in the settings.
        current_classes: The classes of the version in force; None once this class is not among them.
        unloaded_us: Estimated latency at an endpoint without a queue, in microseconds.
        answer_count: Number of successful answers so far.
        mean_work_us: Smoothed work as hinted by clients, in microseconds; 0 before the first hint.
        first_try_timeout_us: The timeout that clients set for a first try, found by majority vote.
        timeout_votes: Votes for `first_try_timeout_us` minus votes against it since it last changed.
    """

    __slots__ = (
        "_smoothed_us",
        "answer_count",
        "class_id",
        "current_classes",
        "definition",
        "first_try_timeout_us",
        "mean_work_us",
        "timeout_votes",
        "unloaded_us",
    )

    def __init__(self, class_id: int, definition: RequestClass) -> None:
        self.class_id = class_id
        self.definition = definition
        self.current_classes: RequestClasses | None = None
        self._smoothed_us = definition.latency_objective_us / 4
        self.unloaded_us = definition.latency_objective_us / 4
        self.answer_count = 0
        self.mean_work_us = 0.0
        self.first_try_timeout_us = definition.client_timeout_us
        self.timeout_votes = 0

    @property
    def smoothed_us(self) -> float:
        """Smoothed latency of successful answers, in microseconds."""
        return self._smoothed_us

    @smoothed_us.setter
    def smoothed_us(self, value: float) -> None:
        previous_us, self._smoothed_us = self._smoothed_us, value
        current_classes = self.current_classes
        if current_classes is None:
            return
        if value > current_classes.slowest.smoothed_us:
            current_classes.slowest = self
        elif self is current_classes.slowest and value < previous_us:
            current_classes.slowest = max(current_classes, key=attrgetter("_smoothed_us"))

    def add_latency_sample(self, latency_us: float) -> None:
        """Update the estimates with the latency of a successful answer, scaled to the usual work.

        The unloaded latency starts high and decreases faster at the first answers, so that a gateway that has
        just started does not take an overload for normal. It never decreases to a single sample, as one short
        latency is not representative.
        """
        self.smoothed_us += SMOOTHING_FACTOR * (latency_us - self.smoothed_us)
        unloaded_us = self.unloaded_us
        self.answer_count += 1
        share = max(UNLOADED_DECREASE_SHARE, 1.0 / (MIN_ANSWERS + self.answer_count))
        self.unloaded_us += share * min(0.0, latency_us - unloaded_us) + UNLOADED_INCREASE_SHARE * unloaded_us

    def add_work_hint(self, work_us: int) -> float:
        """Update the mean work with a hint, and return the request's expected relative latency."""
        mean_us = self.mean_work_us or float(work_us)
        self.mean_work_us = mean_us + SMOOTHING_FACTOR * (work_us - mean_us)
        return 1.0 + HINTED_WORK_SHARE * (work_us / mean_us - 1.0)


class RequestClasses(list[ClassState]):
    """The classes of a settings version, in the order of the settings.

    Attributes:
        by_id: The same classes by class id.
        slowest: The class with the longest smoothed latency, which the classes keep up to date.
    """

    def __init__(self, version: SettingsVersion, previous: Mapping[int, ClassState]) -> None:
        """Reuse the states of the version's classes that are in `previous`, which has them by class id."""
        definitions_by_id = zip(version.class_ids, version.settings.classes, strict=True)
        super().__init__(
            previous.get(class_id) or ClassState(class_id, definition)
            for class_id, definition in definitions_by_id
        )
        self.by_id = {state.class_id: state for state in self}
        for state in previous.values():
            state.current_classes = None
        for state in self:
            state.current_classes = self
        self.slowest = max(self, key=attrgetter("_smoothed_us"))
