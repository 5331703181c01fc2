"""Knobs: constants of the decisions that a run may override, and their names in earlier versions."""

from __future__ import annotations

import importlib
import pkgutil
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from types import ModuleType

import numpy as np

from lab.model.errors import UsageError
from load_balancer import decisions

OLD_KNOBS = {
    "choice.AIM_SHARE": "request.OBJECTIVE_WAIT_SHARE",
    "choice.AWAY": "locality.CROSS_ZONE_PENALTY",
    "choice.BINDS": "concurrency_limit.LIMIT_IN_USE_SHARE",
    "choice.CEILING": "weight_controller.MAX_WEIGHT",
    "choice.CUT": "weight_controller.WEIGHT_DECREASE_FACTOR",
    "choice.FAILING": "picker.ERROR_SHARE_UNIT",
    "choice.FALL_MARGIN": "slow_start.OVERLOAD_BUDGET_SHARE",
    "choice.FEW": "latency.MIN_ANSWERS",
    "choice.FIRST_CALL_MOST_US": "list_polling.MAX_FIRST_CALL_DELAY_US",
    "choice.FIRST_CALL_SHARE": "list_polling.FIRST_CALL_INTERVAL_SHARE",
    "choice.FLOOR": "weight_controller.MIN_WEIGHT",
    "choice.HASH_FACTOR": "rendezvous.HASH_FACTOR",
    "choice.HASH_MASK": "rendezvous.HASH_MASK",
    "choice.HELD_PER_CORE": "admission.HELD_REQUESTS_PER_CORE",
    "choice.HINTED": "latency.HINTED_WORK_SHARE",
    "choice.HOME_FAVOUR": "picker.KEY_AFFINITY_BOOST",
    "choice.HURRIED_TRIALS": "admission.SHORT_TIMEOUT_TRIAL_SHARE",
    "choice.KINDS": "circuit_breaker.KEYS_PER_CLASS",
    "choice.LIMIT_CUT": "concurrency_limit.LIMIT_DECREASE_STEPS",
    "choice.LIMIT_FIRST": "concurrency_limit.INITIAL_LIMIT",
    "choice.LIMIT_LEAST": "concurrency_limit.MIN_LIMIT",
    "choice.LIMIT_STEP": "concurrency_limit.LIMIT_STEP",
    "choice.LOG_GAP_US": "rate_limited_log.MIN_LOG_INTERVAL_US",
    "choice.MINIMUM": "circuit_breaker.MINIMUM_OUTCOMES",
    "choice.OVERDUE": "latency.OVERDUE_LATENCY_FACTOR",
    "choice.REACH_MEMORY": "subset.SUBSET_SIZE_MEMORY",
    "choice.REPEAT_CALL_MOST_US": "list_polling.MAX_POLL_BACKOFF_US",
    "choice.REPORTED": "load_reports.REPORT_SMOOTHING_FACTOR",
    "choice.REPORT_HALF_US": "load_reports.REPORT_HALF_LIFE_US",
    "choice.RETRY_BURST": "retries.MAX_RETRY_TOKENS",
    "choice.RETRY_SHARE": "retries.RETRY_TOKENS_PER_REQUEST",
    "choice.RING": "circuit_breaker.RING_SIZE",
    "choice.SAME_PATIENCE": "client_timeouts.SAME_TIMEOUT_TOLERANCE",
    "choice.SHED_MOST": "admission.MAX_SHED_SHARE",
    "choice.SHED_STEP": "admission.SHED_SHARE_STEP",
    "choice.SLOW": "latency.SLOW_LATENCY_FACTOR",
    "choice.SMOOTHING": "latency.SMOOTHING_FACTOR",
    "choice.SPEEDS": "load_reports.MAX_SPEED_FACTOR",
    "choice.STEP": "weight_controller.WEIGHT_INCREASE",
    "choice.SUBSET": "subset.MIN_SUBSET_SIZE",
    "choice.TOLERATED": "concurrency_limit.TOLERATED_WAIT_SHARE",
    "choice.TRIALS": "circuit_breaker.HALF_OPEN_TRIALS",
    "choice.UNHINDERED_DOWN": "latency.UNLOADED_DECREASE_SHARE",
    "choice.UNHINDERED_UP": "latency.UNLOADED_INCREASE_SHARE",
    "choice.WEIGHT_UNIT": "weight_controller.WEIGHT_UNIT",
    "choice.WIDE": "subset.MAX_RETRY_CANDIDATES",
    "evidence.COOLDOWN_US": "circuit_breaker.INITIAL_COOLDOWN_US",
    "evidence.EXACT": "priority_order.MAX_EXACT_PARTS",
    "evidence.FORGOTTEN": "demand.FORGOTTEN_REQUESTS",
    "evidence.KINDS": "circuit_breaker.KEYS_PER_CLASS",
    "evidence.LAPSE_US": "circuit_breaker.BREAKER_EXPIRY_US",
    "evidence.LONGEST_COOLDOWN_US": "circuit_breaker.MAX_COOLDOWN_US",
    "evidence.MEMORY": "demand.DEMAND_MEMORY_REQUESTS",
    "evidence.MINIMUM": "circuit_breaker.MINIMUM_OUTCOMES",
    "evidence.QUOTA_SPAN_S": "quotas.QUOTA_BURST_S",
    "evidence.RING": "circuit_breaker.RING_SIZE",
    "evidence.THRESHOLD": "circuit_breaker.FAILURE_THRESHOLD",
    "evidence.TRIALS": "circuit_breaker.HALF_OPEN_TRIALS",
    "evidence.WEIGHT_UNIT": "weight_controller.WEIGHT_UNIT",
}
"""Names of knobs in stored results, and the constants' current names; the command line accepts both."""


def decision_modules() -> Iterator[ModuleType]:
    """Yield all modules of the decisions; a module that imports a constant keeps it under the same name."""
    for module_info in pkgutil.iter_modules(decisions.__path__):
        yield importlib.import_module(f"{decisions.__name__}.{module_info.name}")


@dataclass(frozen=True, slots=True)
class Knob:
    """A constant of the decisions, and its value in a run.

    Attributes:
        module: The module's name, as given on the command line.
        name: The constant's name, as given on the command line.
        value: The value.
    """

    module: str
    name: str
    value: int | float

    @property
    def text(self) -> str:
        """The knob as it is written on the command line."""
        return f"{self.module}.{self.name}={self.value}"

    @property
    def constant(self) -> tuple[str, str]:
        """The full name of the constant's module and its name there; old names of knobs are resolved."""
        knob_name = f"{self.module}.{self.name}"
        module, _, name = OLD_KNOBS.get(knob_name, knob_name).partition(".")
        return f"{decisions.__name__}.{module}", name


def parse_knob(text: str) -> Knob:
    """Parse a knob, such as circuit_breaker.RING_SIZE=20.

    Raises:
        UsageError: The text is malformed, the constant does not exist, or the value has the wrong type.
    """
    match = re.fullmatch(r"([a-z][a-z_]*)\.([A-Z][A-Z0-9_]*)=(\S+)", text)
    if match is None:
        raise UsageError(f"--knob {text}: expected MODULE.NAME=NUMBER, such as circuit_breaker.RING_SIZE=20")
    module, name, number_text = match.groups()
    module_path, constant_name = Knob(module, name, 0).constant
    modules = {module.__name__: module for module in decision_modules()}
    if module_path not in modules:
        raise UsageError(f"--knob {text}: there is no constant {module}.{name}")
    current_value = getattr(modules[module_path], constant_name, None)
    if isinstance(current_value, bool) or not isinstance(current_value, int | float):
        raise UsageError(f"--knob {text}: {module_path} has no number {constant_name}")
    try:
        value = int(number_text) if isinstance(current_value, int) else float(number_text)
    except ValueError:
        raise UsageError(f"--knob {text}: expected {type(current_value).__name__} for {name}") from None
    if not np.isfinite(value):
        raise UsageError(f"--knob {text}: expected a finite number for {name}")
    return Knob(module, name, value)


def apply_knobs(knobs: Iterable[Knob]) -> None:
    """Set the constants, for this process, in every module of the decisions that has them."""
    for knob in knobs:
        name = knob.constant[1]
        for module in decision_modules():
            if hasattr(module, name):
                setattr(module, name, knob.value)
