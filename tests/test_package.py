"""Tests of the package's structure: pure decisions, imports in one direction, a complete deploy file."""

import ast
import sys
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "load_balancer"
DECISIONS = sorted((PACKAGE / "decisions").glob("*.py"))
IO_MODULES = {"asyncio", "os", "select", "signal", "socket", "subprocess", "sys", "threading", "time"}


def imported_modules(path: Path) -> set[str]:
    """Return the dotted names of what a source file imports: modules, and names from modules."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module or "")
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return found


def test_the_deploy_file_names_each_module_of_the_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = [str(path.relative_to(ROOT)) for path in DECISIONS if path.name != "__init__.py"]
    assert deploy["policy"] == modules
    assert modules
    assert all((ROOT / name).exists() for name in deploy["node"])


@pytest.mark.parametrize("path", DECISIONS, ids=lambda path: path.stem)
def test_decisions_import_only_the_standard_library_and_each_other(path: Path) -> None:
    names = imported_modules(path)
    package_imports = {name for name in names if name.startswith("load_balancer")}
    assert all(
        name.startswith(("load_balancer.decisions.", "load_balancer.errors")) for name in package_imports
    )
    other_imports = {name.partition(".")[0] for name in names - package_imports}
    assert other_imports <= sys.stdlib_module_names
    assert not other_imports & IO_MODULES


MAX_MODULE_LINES = 300
MODULES = sorted(PACKAGE.rglob("*.py"))
SHARED_MODULES = {"errors", "load_report_format"}  # modules outside all subpackages
ALLOWED_IMPORTS = {
    "decisions": {"errors"},
    "config": SHARED_MODULES | {"decisions"},
    "gateway": SHARED_MODULES | {"decisions", "config"},
    "simulator": SHARED_MODULES | {"decisions", "config"},
}


@pytest.mark.parametrize("subpackage", ALLOWED_IMPORTS)
def test_a_subpackage_imports_only_itself_and_those_below_it(subpackage: str) -> None:
    paths = sorted((PACKAGE / subpackage).glob("*.py"))
    assert paths
    for path in paths:
        package_imports = {name for name in imported_modules(path) if name.startswith("load_balancer.")}
        assert {name.split(".")[1] for name in package_imports} <= ALLOWED_IMPORTS[subpackage] | {subpackage}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_the_package_does_not_import_the_lab_or_the_tests(path: Path) -> None:
    assert not {name.partition(".")[0] for name in imported_modules(path)} & {"lab", "tests"}


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_a_module_stays_within_the_line_limit(path: Path) -> None:
    assert len(path.read_text().splitlines()) <= MAX_MODULE_LINES


def module_name(path: Path) -> str:
    """Return the dotted name of a source file of the project."""
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


@pytest.mark.parametrize("package", ["load_balancer", "lab"])
def test_imports_form_no_cycle(package: str) -> None:
    sources = {module_name(path): path for path in (ROOT / package).rglob("*.py")}
    order = TopologicalSorter({name: imported_modules(path) - {name} for name, path in sources.items()})
    order.prepare()  # raises CycleError, which names the modules
