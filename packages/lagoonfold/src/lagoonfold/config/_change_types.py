"""The types of change that operators make to the configuration."""

import msgspec

from lagoonfold._ids import AccountId, KeyDigest, ProfileName, RouteName
from lagoonfold.config._documents import Account, ApiKey, Profile, Route


class _ChangeBase(msgspec.Struct, frozen=True, kw_only=True, tag_field="op"):
    """Base of all changes; the field `op` of a stored change names its type."""


class PutProfile(_ChangeBase, frozen=True, kw_only=True, tag="put-profile"):
    """Add a profile, or replace the one with that name."""

    profile: Profile
    replaces: bool


class RetireProfile(_ChangeBase, frozen=True, kw_only=True, tag="retire-profile"):
    """Remove a profile; its running programs go on with the budget that they have."""

    name: ProfileName


class PutAccount(_ChangeBase, frozen=True, kw_only=True, tag="put-account"):
    """Add a client account, or replace the one with that id."""

    account: Account
    replaces: bool


class RetireAccount(_ChangeBase, frozen=True, kw_only=True, tag="retire-account"):
    """Remove a client account that no profile names, and withdraw its keys."""

    account_id: AccountId


class PutKey(_ChangeBase, frozen=True, kw_only=True, tag="put-key"):
    """Add a key, or replace the one with that digest."""

    key: ApiKey
    replaces: bool


class WithdrawKey(_ChangeBase, frozen=True, kw_only=True, tag="withdraw-key"):
    """Withdraw a key permanently."""

    digest: KeyDigest


class PutRoute(_ChangeBase, frozen=True, kw_only=True, tag="put-route"):
    """Add a route, or replace the one with that name."""

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
