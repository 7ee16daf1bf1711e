"""Operators' input becomes a valid document or a refusal."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from lagoonfold import ErrorKind
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    Account,
    PutAccount,
    PutRoute,
    apply_change,
    encode_value,
)
from lagoonfold_ctl._inputs import (
    AccountInput,
    Input,
    KeyInput,
    ProfileInput,
    RouteInput,
    parse_input,
)
from tests._suite import load_functions

_MODELS = [AccountInput, RouteInput, ProfileInput, KeyInput]
_TEXTS = st.one_of(
    st.text(max_size=12),
    st.sampled_from(["1", "-1", "0", "nan", "inf", "1e999", "True", "model", "a,b", ",", "\x00"]),
)


@settings(derandomize=True, max_examples=300)
@given(st.sampled_from(_MODELS), st.data())
def test_any_text_is_a_document_or_a_refusal(model: type[Input], data: st.DataObject) -> None:
    """No text raises an exception, and an accepted account can be encoded for the store."""
    given = {name: data.draw(_TEXTS) for name in model.model_fields}
    parsed = parse_input(model, given)
    if isinstance(parsed, Ok):
        document = parsed.ok_value.to_document()
        if isinstance(document, Account):
            change = PutAccount(account=document, replaces=False)
            encode_value(apply_change(EMPTY_CONFIGURATION, change).unwrap())
    else:
        assert parsed.err_value.kind is ErrorKind.MALFORMED


def test_a_refusal_names_every_field_at_fault() -> None:
    """A refusal names two invalid fields and a missing one together, with the given values."""
    refusal = parse_input(AccountInput, {"id": "a b", "rate": "fast"}).unwrap_err()
    assert all(name in refusal.detail for name in ("id", "rate", "burst", "'fast'"))


def test_a_change_keeps_the_fields_that_are_not_given() -> None:
    """Changing one field of a document leaves all others as they were."""
    first = parse_input(
        RouteInput, {"name": "publish", "kind": "service", "target": "web", "timeout": "7"}
    ).unwrap()
    document = first.to_document()
    changed = parse_input(RouteInput, {"open": "True"}, RouteInput.fields_of(document)).unwrap()
    assert changed.to_document().is_open and changed.to_document().timeout_s == 7.0
    stored = apply_change(EMPTY_CONFIGURATION, PutRoute(route=document, replaces=False)).unwrap()
    assert stored.routes_by_name["publish"] == document


def _is_idempotent(**given: str) -> bool:
    fields = {"name": "r", "target": "t", **given}
    return parse_input(RouteInput, fields).unwrap().to_document().is_idempotent


def test_idempotence_of_a_route_defaults_to_its_kind() -> None:
    """Models are idempotent by default, tools and services are not; a given value overrides it."""
    assert _is_idempotent(kind="model")
    assert not _is_idempotent(kind="tool")
    assert not _is_idempotent(kind="service")
    assert not _is_idempotent(kind="model", idempotent="false")
    assert _is_idempotent(kind="tool", idempotent="true")


load_tests = load_functions(globals())
