"""Tests of configuration documents and changes."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from lagoonfold import ErrorKind
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    MAX_WITHDRAWN_KEYS,
    Account,
    ApiKey,
    Change,
    Configuration,
    ConfigView,
    PutAccount,
    PutKey,
    RetireAccount,
    WithdrawKey,
    apply_change,
    digest_of_key,
    generate_secret,
    redact,
)
from tests._suite import load_functions
from tests.config._strategies import changes

_NORTH = Account(account_id="north", rate_per_s=5.0, burst=10)


def _apply_all(accepted: list[Change]) -> Configuration:
    configuration = EMPTY_CONFIGURATION
    for change in accepted:
        configuration = apply_change(configuration, change).unwrap()
    return configuration


def _dangling_references(configuration: Configuration) -> list[str]:
    """Return the names of absent documents that other documents refer to."""
    absent: list[str] = []
    for profile in configuration.profiles_by_name.values():
        absent += [name for name in profile.routes if name not in configuration.routes_by_name]
        absent += [a for a in profile.account_ids if a not in configuration.accounts_by_id]
    for key in configuration.keys_by_digest.values():
        if not key.is_withdrawn() and key.account_id not in configuration.accounts_by_id:
            absent.append(key.account_id)
    return absent


@settings(derandomize=True, max_examples=200)
@given(st.lists(changes(), max_size=25))
def test_changes_increase_versions_and_keep_references_valid(proposed: list[Change]) -> None:
    """Accepted changes increase the version by one; references stay valid, keys stay withdrawn."""
    configuration = EMPTY_CONFIGURATION
    withdrawn: set[str] = set()
    for change in proposed:
        outcome = apply_change(configuration, change)
        if isinstance(outcome, Ok):
            assert outcome.ok_value.version == configuration.version + 1
            configuration = outcome.ok_value
        assert not _dangling_references(configuration)
        now_withdrawn = {d for d, k in configuration.keys_by_digest.items() if k.is_withdrawn()}
        assert withdrawn <= now_withdrawn
        withdrawn = now_withdrawn


def test_retiring_an_account_withdraws_its_keys() -> None:
    """The keys of a retired account are withdrawn in the same version."""
    key = ApiKey(digest=digest_of_key("one"), account_id="north")
    configuration = _apply_all(
        [
            PutAccount(account=_NORTH, replaces=False),
            PutKey(key=key, replaces=False),
            RetireAccount(account_id="north"),
        ]
    )
    assert configuration.keys_by_digest[key.digest].withdrawn_version == configuration.version


def test_withdrawn_keys_are_forgotten_oldest_first() -> None:
    """The configuration holds only the newest `MAX_WITHDRAWN_KEYS` withdrawn keys."""
    configuration = _apply_all([PutAccount(account=_NORTH, replaces=False)])
    digests = [digest_of_key(str(number)) for number in range(MAX_WITHDRAWN_KEYS + 3)]
    for digest in digests:
        added = PutKey(key=ApiKey(digest=digest, account_id="north"), replaces=False)
        for change in (added, WithdrawKey(digest=digest)):
            configuration = apply_change(configuration, change).unwrap()
    assert set(configuration.keys_by_digest) == set(digests[3:])


def test_replacing_absent_or_adding_existing_documents_is_refused() -> None:
    """Replacing an absent document is refused, and so is adding one twice."""
    replaced = apply_change(EMPTY_CONFIGURATION, PutAccount(account=_NORTH, replaces=True))
    assert replaced.unwrap_err().kind is ErrorKind.NOT_FOUND
    once = _apply_all([PutAccount(account=_NORTH, replaces=False)])
    twice = apply_change(once, PutAccount(account=_NORTH, replaces=False))
    assert twice.unwrap_err().kind is ErrorKind.VERSION_CONFLICT


def test_secrets_are_long_and_redacted() -> None:
    """Secrets differ, have 43 characters after the prefix, and are redacted in a log line."""
    secret = generate_secret()
    assert secret != generate_secret()
    assert len(secret.removeprefix("lfk_")) == 43
    assert secret not in redact(f"authorization: Bearer {secret}")


def test_a_view_becomes_stale() -> None:
    """A view is stale once its age exceeds the bound, and until it is first verified."""
    assert ConfigView().is_stale(0.0, 5.0)
    assert not ConfigView(verified_at_s=10.0).is_stale(15.0, 5.0)
    assert ConfigView(verified_at_s=10.0).is_stale(15.1, 5.0)


load_tests = load_functions(globals())
