"""Apply changes to the configuration.

A registry holds an applier for each type of change. An applier returns the changed configuration
with the version unchanged, or a refusal that names the document and its fault.

    changed = apply_change(configuration, PutAccount(account=account, replaces=False))
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, TypeVar

from result import Err, Ok, Result

from lagoonfold._errors import ErrorKind, Refusal
from lagoonfold._ids import KeyDigest
from lagoonfold.config._change_types import (
    Change,
    PutAccount,
    PutKey,
    PutProfile,
    PutRoute,
    RetireAccount,
    RetireProfile,
    RetireRoute,
    WithdrawKey,
)
from lagoonfold.config._documents import ApiKey, Configuration

MAX_WITHDRAWN_KEYS = 1024  # bounds the size of the configuration


Outcome = Result[Configuration, Refusal]

K = TypeVar("K")
V = TypeVar("V")

_APPLIERS_BY_TYPE: dict[type, Callable[[Configuration, Any], Outcome]] = {}
_SUBJECTS_BY_TYPE: dict[type, Callable[[Any], str]] = {}


def _applies(
    change_type: type, subject: Callable[[Any], str]
) -> Callable[[Callable[[Configuration, Any], Outcome]], Callable[[Configuration, Any], Outcome]]:
    """Register the applier of a change type, and `subject`, which names the changed document."""

    def register(
        applier: Callable[[Configuration, Any], Outcome],
    ) -> Callable[[Configuration, Any], Outcome]:
        _APPLIERS_BY_TYPE[change_type] = applier
        _SUBJECTS_BY_TYPE[change_type] = subject
        return applier

    return register


def apply_change(configuration: Configuration, change: Change) -> Outcome:
    """Return the configuration after the change, with the version increased by one.

    Errors: `NOT_FOUND` if the document to replace or remove is absent, `VERSION_CONFLICT` if the
    document to add exists, `MALFORMED` if a document refers to an absent one, a removed one is
    still referred to, or a key is withdrawn.
    """
    outcome = _APPLIERS_BY_TYPE[type(change)](configuration, change)
    return outcome.map(lambda changed: replace(changed, version=configuration.version + 1))


def document_of(change: Change) -> str:
    """Return the name of the document that the change affects, such as `profile crews`."""
    return _SUBJECTS_BY_TYPE[type(change)](change)


def _not_found(subject: str) -> Err[Refusal]:
    return Err(Refusal(kind=ErrorKind.NOT_FOUND, detail=f"{subject} is not in the configuration"))


def _malformed(detail: str) -> Err[Refusal]:
    return Err(Refusal(kind=ErrorKind.MALFORMED, detail=detail))


def _check_presence(subject: str, present: bool, replaces: bool) -> Result[None, Refusal]:
    if replaces and not present:
        return _not_found(subject)
    if present and not replaces:
        detail = f"{subject} is in the configuration already"
        return Err(Refusal(kind=ErrorKind.VERSION_CONFLICT, detail=detail))
    return Ok(None)


def _with(documents: Mapping[K, V], key: K, document: V) -> dict[K, V]:
    return {**documents, key: document}


def _without(documents: Mapping[K, V], key: K) -> dict[K, V]:
    return {name: document for name, document in documents.items() if name != key}


@_applies(PutProfile, lambda change: f"profile {change.profile.name}")
def _put_profile(configuration: Configuration, change: PutProfile) -> Outcome:
    profile = change.profile
    for account_id in profile.account_ids:
        if account_id not in configuration.accounts_by_id:
            return _malformed(f"profile {profile.name} names account {account_id}, which is absent")
    for route in profile.routes:
        if route not in configuration.routes_by_name:
            return _malformed(f"profile {profile.name} names route {route}, which is absent")
    profiles = configuration.profiles_by_name
    checked = _check_presence(document_of(change), profile.name in profiles, change.replaces)
    changed = replace(configuration, profiles_by_name=_with(profiles, profile.name, profile))
    return checked.map(lambda _: changed)


@_applies(RetireProfile, lambda change: f"profile {change.name}")
def _retire_profile(configuration: Configuration, change: RetireProfile) -> Outcome:
    if change.name not in configuration.profiles_by_name:
        return _not_found(document_of(change))
    profiles = _without(configuration.profiles_by_name, change.name)
    return Ok(replace(configuration, profiles_by_name=profiles))


@_applies(PutAccount, lambda change: f"account {change.account.account_id}")
def _put_account(configuration: Configuration, change: PutAccount) -> Outcome:
    account = change.account
    accounts = configuration.accounts_by_id
    present = account.account_id in accounts
    checked = _check_presence(document_of(change), present, change.replaces)
    changed = replace(configuration, accounts_by_id=_with(accounts, account.account_id, account))
    return checked.map(lambda _: changed)


@_applies(RetireAccount, lambda change: f"account {change.account_id}")
def _retire_account(configuration: Configuration, change: RetireAccount) -> Outcome:
    if change.account_id not in configuration.accounts_by_id:
        return _not_found(document_of(change))
    for profile in configuration.profiles_by_name.values():
        if change.account_id in profile.account_ids:
            return _malformed(f"profile {profile.name} still names account {change.account_id}")
    keys = dict(configuration.keys_by_digest)
    for digest, key in configuration.keys_by_digest.items():
        if key.account_id == change.account_id and not key.is_withdrawn():
            keys[digest] = replace(key, withdrawn_version=configuration.version + 1)
    accounts = _without(configuration.accounts_by_id, change.account_id)
    changed = replace(configuration, accounts_by_id=accounts, keys_by_digest=_prune(keys))
    return Ok(changed)


@_applies(PutKey, lambda change: f"key {change.key.digest}")
def _put_key(configuration: Configuration, change: PutKey) -> Outcome:
    key = change.key
    if key.account_id not in configuration.accounts_by_id:
        return _malformed(f"the key names account {key.account_id}, which is absent")
    for name in key.profile_names:
        if name not in configuration.profiles_by_name:
            return _malformed(f"the key names profile {name}, which is absent")
    keys = configuration.keys_by_digest
    present = keys.get(key.digest)
    if present is not None and present.is_withdrawn():
        return _malformed(f"{document_of(change)} is withdrawn and cannot become valid again")
    checked = _check_presence(document_of(change), present is not None, change.replaces)
    valid = replace(key, withdrawn_version=0)
    changed = replace(configuration, keys_by_digest=_with(keys, key.digest, valid))
    return checked.map(lambda _: changed)


@_applies(WithdrawKey, lambda change: f"key {change.digest}")
def _withdraw_key(configuration: Configuration, change: WithdrawKey) -> Outcome:
    key = configuration.keys_by_digest.get(change.digest)
    if key is None or key.is_withdrawn():
        return _not_found(document_of(change))
    withdrawn = replace(key, withdrawn_version=configuration.version + 1)
    keys = _prune(_with(configuration.keys_by_digest, change.digest, withdrawn))
    return Ok(replace(configuration, keys_by_digest=keys))


@_applies(PutRoute, lambda change: f"route {change.route.name}")
def _put_route(configuration: Configuration, change: PutRoute) -> Outcome:
    route = change.route
    routes = configuration.routes_by_name
    checked = _check_presence(document_of(change), route.name in routes, change.replaces)
    changed = replace(configuration, routes_by_name=_with(routes, route.name, route))
    return checked.map(lambda _: changed)


@_applies(RetireRoute, lambda change: f"route {change.name}")
def _retire_route(configuration: Configuration, change: RetireRoute) -> Outcome:
    if change.name not in configuration.routes_by_name:
        return _not_found(document_of(change))
    for profile in configuration.profiles_by_name.values():
        if change.name in profile.routes:
            return _malformed(f"profile {profile.name} still names route {change.name}")
    routes = _without(configuration.routes_by_name, change.name)
    return Ok(replace(configuration, routes_by_name=routes))


def _prune(keys: dict[KeyDigest, ApiKey]) -> dict[KeyDigest, ApiKey]:
    """Drop the keys withdrawn longest ago; an unknown key is refused like a withdrawn one."""
    withdrawn = [key for key in keys.values() if key.is_withdrawn()]
    if len(withdrawn) <= MAX_WITHDRAWN_KEYS:
        return keys
    withdrawn.sort(key=lambda key: (key.withdrawn_version, key.digest))
    forgotten = {key.digest for key in withdrawn[:-MAX_WITHDRAWN_KEYS]}
    return {digest: key for digest, key in keys.items() if digest not in forgotten}
