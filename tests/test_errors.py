"""Tests of the error table."""

from lagoonfold import PROBLEM_TYPES_BY_KIND, ErrorKind
from tests._suite import load_functions


def test_every_kind_has_a_problem_type() -> None:
    """The table has an entry for each error kind, and only error statuses."""
    assert set(PROBLEM_TYPES_BY_KIND) == set(ErrorKind)
    assert all(400 <= answer.status <= 599 for answer in PROBLEM_TYPES_BY_KIND.values())


load_tests = load_functions(globals())
