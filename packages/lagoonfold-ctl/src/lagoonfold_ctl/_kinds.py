"""The kinds of configuration documents: where each is stored, validated and changed."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold.config import (
    Change,
    Configuration,
    PutAccount,
    PutKey,
    PutProfile,
    PutRoute,
    RetireAccount,
    RetireProfile,
    RetireRoute,
    WithdrawKey,
)
from lagoonfold_ctl._inputs import AccountInput, Input, KeyInput, ProfileInput, RouteInput


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of document: its input model, its place in a configuration, and its changes.

    `put` takes a document and whether it replaces an existing one; `retire` takes a name.
    """

    noun: str
    model: type[Input]
    documents_of: Callable[[Configuration], Mapping[str, Any]]
    put: Callable[[Any, bool], Change]
    retire: Callable[[str], Change]


ACCOUNT = Kind(
    noun="account",
    model=AccountInput,
    documents_of=lambda configuration: configuration.accounts_by_id,
    put=lambda account, replaces: PutAccount(account=account, replaces=replaces),
    retire=lambda account_id: RetireAccount(account_id=account_id),
)
ROUTE = Kind(
    noun="route",
    model=RouteInput,
    documents_of=lambda configuration: configuration.routes_by_name,
    put=lambda route, replaces: PutRoute(route=route, replaces=replaces),
    retire=lambda name: RetireRoute(name=name),
)
PROFILE = Kind(
    noun="profile",
    model=ProfileInput,
    documents_of=lambda configuration: configuration.profiles_by_name,
    put=lambda profile, replaces: PutProfile(profile=profile, replaces=replaces),
    retire=lambda name: RetireProfile(name=name),
)
KEY = Kind(
    noun="key with the digest",
    model=KeyInput,
    documents_of=lambda configuration: configuration.keys_by_digest,
    put=lambda key, replaces: PutKey(key=key, replaces=replaces),
    retire=lambda digest: WithdrawKey(digest=digest),
)


def find(kind: Kind, configuration: Configuration, name: str) -> Result[str, Refusal]:
    """Return the full name of a document; a key may be named by a unique prefix of its digest."""
    documents = kind.documents_of(configuration)
    found = [name] if name in documents else []
    if kind is KEY and name:
        found = [digest for digest in documents if digest.startswith(name)]
    if len(found) == 1:
        return Ok(found[0])
    count = "no" if not found else "more than one"
    return Err(Refusal(kind=ErrorKind.NOT_FOUND, detail=f"there is {count} {kind.noun} {name}"))
