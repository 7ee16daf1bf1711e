"""Measures the cost of the configuration by the number of client accounts and recent changes."""

from functools import cache

from bench._quantities import allocated_bytes, mean_time_us, quantity
from lagoonfold import ErrorKind
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    Account,
    ApiKey,
    Budget,
    ChangeRecord,
    ConfigHead,
    Configuration,
    Profile,
    PutAccount,
    PutKey,
    PutProfile,
    apply_change,
    digest_of_key,
    encode_value,
)

KEYS_PER_ACCOUNT = 3


@cache
def _configuration(accounts: int) -> Configuration:
    configuration = EMPTY_CONFIGURATION
    budget = Budget(tokens=10**6, calls=1000, cost_micros=10**8, wall_s=86_400.0)
    for number in range(accounts):
        account_id = f"account-{number:04}"
        account = Account(account_id=account_id, rate_per_s=9.0, burst=90)
        profile = Profile(
            name=f"profile-{number:04}", account_ids=(account_id,), budget=budget, routes=()
        )
        changes = [
            PutAccount(account=account, replaces=False),
            PutProfile(profile=profile, replaces=False),
        ]
        for key_number in range(KEYS_PER_ACCOUNT):
            digest = digest_of_key(f"{number}-{key_number}")
            key = ApiKey(digest=digest, account_id=account_id, label=f"key {key_number}")
            changes.append(PutKey(key=key, replaces=False))
        for change in changes:
            configuration = apply_change(configuration, change).unwrap()
    return configuration


_ACCOUNT_COUNTS = (8, 190, 570)


@quantity("bytes", "account with a profile and 3 keys", _ACCOUNT_COUNTS)
def snapshot_size(accounts: int) -> float:
    """Size of a configuration snapshot."""
    return float(len(encode_value(_configuration(accounts))))


@quantity("us", "account with a profile and 3 keys", _ACCOUNT_COUNTS)
def change_time(accounts: int) -> float:
    """Time to apply one change of a key."""
    configuration = _configuration(accounts)
    key = ApiKey(digest=digest_of_key("new"), account_id="account-0000")
    refused = apply_change(configuration, PutKey(key=key, replaces=True)).unwrap_err()
    assert refused.kind is ErrorKind.NOT_FOUND
    return mean_time_us(lambda: apply_change(configuration, PutKey(key=key, replaces=False)))


@quantity("bytes", "account with a profile and 3 keys", _ACCOUNT_COUNTS)
def configuration_memory(accounts: int) -> float:
    """Memory of a configuration in the process."""
    return allocated_bytes(lambda: _configuration.__wrapped__(accounts))


@quantity("bytes", "recent change", (1, 16, 32))
def head_size(changes: int) -> float:
    """Size of the configuration's head by the number of recent changes."""
    records = tuple(
        ChangeRecord(
            version=number + 1,
            from_version=number,
            change_id=f"change-{number:024x}",
            changed_by="operator",
            changed_at_s=1.7e9,
            change=PutKey(
                key=ApiKey(digest=digest_of_key(str(number)), account_id="account-0001"),
                replaces=False,
            ),
        )
        for number in range(changes)
    )
    head = ConfigHead(version=changes, snapshot_digest=digest_of_key(""), recent=records)
    return float(len(encode_value(head)))
