"""Tests of the operators' input models."""

from lagoonfold_ctl._inputs import RouteInput, parse_input
from tests._suite import load_functions


def _is_idempotent(**given: str) -> bool:
    fields = {"name": "r", "target": "t", **given}
    return parse_input(RouteInput, fields).unwrap().to_document().is_idempotent


def test_a_route_is_idempotent_by_its_kind_unless_said_otherwise() -> None:
    """Models are idempotent by default, tools and services are not; a word on it wins."""
    assert _is_idempotent(kind="model")
    assert not _is_idempotent(kind="tool")
    assert not _is_idempotent(kind="service")
    assert not _is_idempotent(kind="model", idempotent="false")
    assert _is_idempotent(kind="tool", idempotent="true")


load_tests = load_functions(globals())
