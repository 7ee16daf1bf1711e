"""What a call may cost at most, and what it did cost.

Tokens are counted as the tokens that the engine generated plus the new messages' tokens, which
are estimated by their size so that they are known before the call.
"""

from lagoonfold.config import Route
from lagoonfold.records import Cost, Program

BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 4_096
TOKENS_PER_PRICE_UNIT = 1_000


def prompt_tokens_of(body: bytes) -> int:
    """Return the estimated tokens of a turn's new messages."""
    return max(1, len(body) // BYTES_PER_TOKEN)


def cost_of(route: Route, tokens: int) -> Cost:
    """Return the cost of one call with that many tokens; money is rounded up."""
    per_tokens = -(-route.cost_micros_per_1000_tokens * tokens // TOKENS_PER_PRICE_UNIT)
    return Cost(tokens, 1, route.cost_micros_per_call + per_tokens)


def remaining_tokens(lineage: list[Program]) -> int:
    """Return what the program and its ancestors have left."""
    return min(each.limits.tokens - each.used.tokens - each.reserved.tokens for each in lineage)


def max_answer_tokens(asked: int | None, left: int) -> int:
    """Return the tokens that an answer may have, at least one."""
    return max(1, min(asked or DEFAULT_ANSWER_TOKENS, left))


def remaining_answer_tokens(reservation: Cost, body: bytes) -> int:
    """Return the tokens of a reserve that are left for the answer."""
    return max(1, reservation.tokens - prompt_tokens_of(body))
