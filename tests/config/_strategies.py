"""Strategies for configuration documents and changes over a small set of names."""

from hypothesis import strategies as st

from lagoonfold.config import (
    Account,
    ApiKey,
    Budget,
    Change,
    Profile,
    PutAccount,
    PutKey,
    PutProfile,
    PutRoute,
    RetireAccount,
    RetireProfile,
    RetireRoute,
    Route,
    RouteKind,
    WithdrawKey,
    digest_of_key,
)

_ACCOUNT_IDS = st.sampled_from(["north", "south"])
_PROFILE_NAMES = st.sampled_from(["crews", "nightly"])
_ROUTE_NAMES = st.sampled_from(["chat", "register"])
_DIGESTS = st.sampled_from([digest_of_key("one"), digest_of_key("two"), digest_of_key("three")])

BUDGET = Budget(tokens=1000, calls=10, cost_micros=5000, wall_s=60.0)

accounts = st.builds(
    Account,
    account_id=_ACCOUNT_IDS,
    rate_per_s=st.floats(min_value=0.1, max_value=100),
    burst=st.integers(min_value=1, max_value=50),
)
profiles = st.builds(
    Profile,
    name=_PROFILE_NAMES,
    account_ids=st.lists(_ACCOUNT_IDS, unique=True).map(tuple),
    budget=st.just(BUDGET),
    routes=st.lists(_ROUTE_NAMES, unique=True).map(tuple),
)
keys = st.builds(
    ApiKey,
    digest=_DIGESTS,
    account_id=_ACCOUNT_IDS,
    profile_names=st.lists(_PROFILE_NAMES, unique=True).map(tuple),
)
routes = st.builds(
    Route, name=_ROUTE_NAMES, kind=st.sampled_from(RouteKind), target=st.sampled_from(["a", "b"])
)


def changes() -> st.SearchStrategy[Change]:
    """Return a strategy for changes; most of them refer to documents that may be absent."""
    replaces = st.booleans()
    return st.one_of(
        st.builds(PutAccount, account=accounts, replaces=replaces),
        st.builds(PutProfile, profile=profiles, replaces=replaces),
        st.builds(PutKey, key=keys, replaces=replaces),
        st.builds(PutRoute, route=routes, replaces=replaces),
        st.builds(RetireAccount, account_id=_ACCOUNT_IDS),
        st.builds(RetireProfile, name=_PROFILE_NAMES),
        st.builds(RetireRoute, name=_ROUTE_NAMES),
        st.builds(WithdrawKey, digest=_DIGESTS),
    )
