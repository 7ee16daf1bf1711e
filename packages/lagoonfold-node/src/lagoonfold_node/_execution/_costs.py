"""Compute the maximum cost of a call before it runs and its actual cost afterwards.

The tokens of a call are those that the engine generated plus those of the turn's new messages.
The latter are estimated from the size of the messages, so they are known before the call.
"""

from lagoonfold.config import Route
from lagoonfold.records import Cost, Program

BYTES_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 4_096
TOKENS_PER_PRICE_UNIT = 1_000


def prompt_tokens_of(body: bytes) -> int:
    """Return the estimated number of tokens in a turn's new messages."""
    return max(1, len(body) // BYTES_PER_TOKEN)


def cost_of(route: Route, tokens: int) -> Cost:
    """Return the cost of one call with that many tokens; the price is rounded up."""
    per_tokens = -(-route.cost_micros_per_1000_tokens * tokens // TOKENS_PER_PRICE_UNIT)
    return Cost(tokens, 1, route.cost_micros_per_call + per_tokens)


def remaining_tokens(lineage: list[Program]) -> int:
    """Return the tokens left in the budgets of a program and all its ancestors."""
    return min(each.limits.tokens - each.used.tokens - each.reserved.tokens for each in lineage)


def max_answer_tokens(requested: int | None, remaining: int) -> int:
    """Return the maximum number of tokens in an answer, at least one."""
    return max(1, min(requested or DEFAULT_ANSWER_TOKENS, remaining))


def remaining_answer_tokens(reservation: Cost, body: bytes) -> int:
    """Return the tokens of a reservation that are left for the answer, at least one."""
    return max(1, reservation.tokens - prompt_tokens_of(body))
