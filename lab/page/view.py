"""The results of a folder as the page shows them: by policy, each with a colour."""

from __future__ import annotations

from collections.abc import Callable
from html import escape

from lab.model.policies import POLICIES
from lab.model.results import Result, of_policy

COLOURS = ("#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9", "#7f7f7f", "#8b6d00")


class View:
    """Results in order of policy and seed."""

    def __init__(self, header: Result, results: list[Result], notes: list[str]) -> None:
        self.header = header
        self.notes = notes
        known = list(POLICIES)
        names = {str(r["policy"]) for r in results}
        self.policies = sorted(names, key=lambda n: (known.index(n) if n in known else len(known), n))
        ordered = known + [name for name in self.policies if name not in known]
        self.colour = {name: COLOURS[ordered.index(name) % len(COLOURS)] for name in self.policies}
        self.results = sorted(results, key=lambda r: (self.policies.index(r["policy"]), r["seed"]))
        whole = [r for r in self.results if "crash" not in r]
        self.by_policy = {name: found for name in self.policies if (found := of_policy(whole, name))}

    def key(self) -> str:
        """The colours of all policies."""
        return " &#160;\n".join(map(self.label, self.policies))

    def label(self, policy: str) -> str:
        """A policy's name with its colour."""
        dot = f'<span class="dot" style="background:{self.colour[policy]}"></span>'
        return f'<span class="name">{dot}{escape(policy)}</span>'

    def select(self, wanted: Callable[[Result], bool]) -> dict[str, list[Result]]:
        """By policy, the results that are wanted, without policies that have none."""
        found = {name: [r for r in results if wanted(r)] for name, results in self.by_policy.items()}
        return {name: results for name, results in found.items() if results}
