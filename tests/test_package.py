"""Rules on the shape of the package: what decides is pure, and the deploy file names all of it."""

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "load_balancer"
DECISIONS = sorted((PACKAGE / "decisions").glob("*.py"))
INPUT_AND_OUTPUT = {"asyncio", "os", "select", "signal", "socket", "subprocess", "sys", "threading", "time"}


def imported_modules(path: Path) -> set[str]:
    """Return the dotted names of the modules that a source file imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
    return found


def test_the_deploy_file_names_the_package_of_the_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == ["load_balancer/decisions"]
    assert DECISIONS
    assert all((ROOT / name).exists() for name in deploy["node"])


@pytest.mark.parametrize("path", DECISIONS, ids=lambda path: path.stem)
def test_decisions_import_the_standard_library_and_each_other_alone(path: Path) -> None:
    names = imported_modules(path)
    own = {name for name in names if name.startswith("load_balancer")}
    assert all(name.startswith(("load_balancer.decisions.", "load_balancer.errors")) for name in own)
    others = {name.partition(".")[0] for name in names - own}
    assert others <= sys.stdlib_module_names
    assert not others & INPUT_AND_OUTPUT
