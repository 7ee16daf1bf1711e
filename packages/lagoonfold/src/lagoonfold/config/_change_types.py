"""The types of change that operators make; each is stored under its `op` tag."""

import msgspec

from lagoonfold._ids import AccountId, KeyDigest, ProfileName, RouteName
from lagoonfold.config._documents import Account, ApiKey, Profile, Route


class _ChangeBase(msgspec.Struct, frozen=True, kw_only=True, tag_field="op"):
    """Common base: a change is stored under its `op` tag."""


class PutProfile(_ChangeBase, frozen=True, kw_only=True, tag="put-profile"):
    """Add a profile, or replace the one of that name."""

    profile: Profile
    replaces: bool


class RetireProfile(_ChangeBase, frozen=True, kw_only=True, tag="retire-profile"):
    """Remove a profile; its running programs keep their budget and end as they would."""

    name: ProfileName


class PutAccount(_ChangeBase, frozen=True, kw_only=True, tag="put-account"):
    """Add a client account, or replace the one of that id."""

    account: Account
    replaces: bool


class RetireAccount(_ChangeBase, frozen=True, kw_only=True, tag="retire-account"):
    """Remove a client account that no profile names; its keys are withdrawn with it."""

    account_id: AccountId


class PutKey(_ChangeBase, frozen=True, kw_only=True, tag="put-key"):
    """Add a key, or replace what the key of that digest may do."""

    key: ApiKey
    replaces: bool


class WithdrawKey(_ChangeBase, frozen=True, kw_only=True, tag="withdraw-key"):
    """Withdraw a key for good."""

    digest: KeyDigest


class PutRoute(_ChangeBase, frozen=True, kw_only=True, tag="put-route"):
    """Add a route, or replace the one of that name."""

    route: Route
    replaces: bool


class RetireRoute(_ChangeBase, frozen=True, kw_only=True, tag="retire-route"):
    """Remove a route that no profile names."""

    name: RouteName


Change = (
    PutProfile
    | RetireProfile
    | PutAccount
    | RetireAccount
    | PutKey
    | WithdrawKey
    | PutRoute
    | RetireRoute
)
