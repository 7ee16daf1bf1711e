"""Types of the identifiers that the packages share, and new random identifiers."""

import secrets
from typing import NewType

AccountId = NewType("AccountId", str)
CallId = NewType("CallId", str)
Epoch = NewType("Epoch", int)
InstanceId = NewType("InstanceId", str)
KeyDigest = NewType("KeyDigest", str)
ProfileName = NewType("ProfileName", str)
ProgramId = NewType("ProgramId", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
ShardId = NewType("ShardId", int)
UpstreamId = NewType("UpstreamId", str)
WriterId = NewType("WriterId", str)

_ID_BYTES = 12


def new_id(prefix: str) -> str:
    """Return a readable prefix and 96 random bits in hexadecimal, such as `req-5f0c...`."""
    return f"{prefix}-{secrets.token_hex(_ID_BYTES)}"
