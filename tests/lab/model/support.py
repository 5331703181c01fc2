"""Scenarios and runs for the tests of the model."""

from __future__ import annotations

import pytest

from lab.__main__ import lab
from lab.model import scenario_files
from lab.model.policies import CreatePolicy
from lab.model.scenario import Scenario
from lab.model.simulation import Simulation

TINY = """
name = "tiny"
seconds = 10.0
[fleet]
gateways = 2
servers = 4
errors = 0.1
regions = {west = ["a", "b"]}
machines = [{name = "plain", share = 1.0, speed = [0.9, 1.1]}]
[discovery]
delay_s = [0.1, 0.3]
must_ask_s = 1.0
[traffic]
rate_per_s = 40.0
classes = [
  {name = "view", share = 0.6, work_ms = [20.0, 40.0]},
  {name = "change", share = 0.4, work_ms = [30.0, 50.0], effect = "unsafe", give_up_ms = 1000.0},
]
tenants = [{name = "one", share = 1.0}]
"""
RELEASE = '\n[[troubles]]\nkind = "release"\nat_s = 2.0\nfor_s = 3.0\nwaves = 1\npart = 0.5\ndown_s = 2.0\n'
BURST = '\n[[troubles]]\nkind = "burst"\nat_s = 5.0\nfor_s = 4.0\ntimes = 2.0\n'


def parse_tiny(more: str = "") -> Scenario:
    """Parse the scenario TINY with more text at its end."""
    return scenario_files.parse(TINY + more, "tiny.toml")


def simulate(scenario: Scenario, create_policy: CreatePolicy, seed: int = 1) -> Simulation:
    """Run a scenario and return the finished simulation."""
    simulation = Simulation(scenario, create_policy, seed)
    simulation.run()
    return simulation


def violated_rules(simulation: Simulation) -> set[int]:
    """Return the numbers of the rules that a run has violated."""
    return {violation["rule"] for violation in simulation.rules.violations}


def call_lab(*arguments: str) -> int:
    """Run a lab command in this process and return its exit code."""
    with pytest.raises(SystemExit) as ended:
        lab.main(list(arguments))
    return int(ended.value.code or 0)
