"""Refusals that callers get when a shard's owner cannot serve them."""

from lagoonfold import ErrorKind, Refusal, ShardId

MOVED_RETRY_S = 0.5
OUTAGE_RETRY_S = 5.0


def shard_moved_refusal(shard_id: ShardId) -> Refusal:
    """Return the refusal by a process that does not own the shard."""
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"shard {shard_id} is not owned here",
        retry_after_s=MOVED_RETRY_S,
    )


def store_outage_refusal(detail: str) -> Refusal:
    """Return the refusal by an owner that cannot reach the key-value service."""
    return Refusal(kind=ErrorKind.PLATFORM_UNAVAILABLE, detail=detail, retry_after_s=OUTAGE_RETRY_S)
