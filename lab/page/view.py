"""The results of a folder as the report shows them: by policy, each with a colour."""

from __future__ import annotations

from collections.abc import Callable
from html import escape

from lab.model.policies import POLICIES
from lab.model.results import Result, results_of_policy

COLORS = ("#0072b2", "#e69f00", "#009e73", "#d55e00", "#cc79a7", "#56b4e9", "#7f7f7f", "#8b6d00")


class View:
    """Results in order of policy and seed.

    Attributes:
        header: The header of the result file.
        notes: Notes on incomplete results.
        policies: Names of the policies.
        colors: The colour of each policy.
        results: All results, crashed runs included.
        by_policy: Results of completed runs, by policy.
    """

    def __init__(self, header: Result, results: list[Result], notes: list[str]) -> None:
        self.header = header
        self.notes = notes
        known = list(POLICIES)
        names = {str(r["policy"]) for r in results}
        self.policies = sorted(names, key=lambda n: (known.index(n) if n in known else len(known), n))
        ordered = known + [name for name in self.policies if name not in known]
        self.colors = {name: COLORS[ordered.index(name) % len(COLORS)] for name in self.policies}
        self.results = sorted(results, key=lambda r: (self.policies.index(r["policy"]), r["seed"]))
        completed = [r for r in self.results if "crash" not in r]
        self.by_policy = {
            name: policy_results
            for name in self.policies
            if (policy_results := results_of_policy(completed, name))
        }

    def color_legend(self) -> str:
        """Return the policies' names with their colours, as HTML."""
        return " &#160;\n".join(map(self.label, self.policies))

    def label(self, policy: str) -> str:
        """Return a policy's name with a dot in its colour, as HTML."""
        dot = f'<span class="dot" style="background:{self.colors[policy]}"></span>'
        return f'<span class="name">{dot}{escape(policy)}</span>'

    def select(self, predicate: Callable[[Result], bool]) -> dict[str, list[Result]]:
        """Return the results that satisfy a predicate, by policy, without policies that have none."""
        selected = {name: [r for r in results if predicate(r)] for name, results in self.by_policy.items()}
        return {name: results for name, results in selected.items() if results}
