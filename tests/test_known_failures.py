"""The list of known failures, by which the run of the tests passes over exactly the tests that it names."""

from __future__ import annotations

from tests.conftest import is_known_failure, known_failures

LIST = """1. A fault.
   test: tests/test_a.py::test_one    open issue: 3
   test: tests/test_a.py::test_two[x]    open issue: 3
   seen: it failed; see tests/test_a.py::test_three.
2. Another, shown by a command alone.
   command: review/1/run.sh
"""


def test_only_the_listed_tests_and_parameters_are_expected_to_fail() -> None:
    known = known_failures(LIST)
    assert is_known_failure("tests/test_a.py::test_one", known)
    assert is_known_failure("tests/test_a.py::test_one[x]", known)
    assert is_known_failure("tests/test_a.py::test_two[x]", known)
    assert not is_known_failure("tests/test_a.py::test_two[y]", known)
    assert not is_known_failure("tests/test_a.py::test_three", known)
