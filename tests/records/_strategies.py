"""Strategies and builders for requests to a program shard."""

from hypothesis import strategies as st

from lagoonfold import AccountId, CallId, ProgramId, RouteName, new_id
from lagoonfold.records import CallOutcome, CallRequest, Cost, ProgramLimits, digest_of_content

ACCOUNTS = ("acme", "globex")
LIMITS = ProgramLimits(40, 6, 600, 100.0)

accounts = st.sampled_from(ACCOUNTS)
bodies = st.sampled_from((b"one", b"two"))
keys = st.sampled_from(("", "", "key-1", "key-2"))
turns = st.integers(0, 5)
reservations = st.builds(Cost, st.integers(0, 30), st.just(1), st.integers(0, 100))
outcomes = st.sampled_from(tuple(CallOutcome))


def make_request(
    program_id: ProgramId,
    turn: int,
    *,
    account_id: str = ACCOUNTS[0],
    body: bytes = b"one",
    key: str = "",
    is_idempotent: bool = False,
    reservation: Cost = Cost(10, 1, 10),  # noqa: B008
) -> CallRequest:
    """Return a call request with a new call id."""
    return CallRequest(
        call_id=CallId(new_id("call")),
        program_id=program_id,
        account_id=AccountId(account_id),
        turn=turn,
        route=RouteName("register"),
        is_idempotent=is_idempotent,
        content_digest=digest_of_content(body),
        body=body,
        reservation=reservation,
        idempotency_key=key,
    )
