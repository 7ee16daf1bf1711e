"""The deterministic text of the model engine's stand-in.

The same messages always give the same answer, so that a test can tell a whole answer from a
broken one, on whichever replica it ran.
"""

import hashlib
import json

DEFAULT_ANSWER_TOKENS = 16


def count_tokens(messages: list[dict]) -> int:
    """Count a message's tokens as one per four characters, at least one each."""
    return sum(max(1, len(str(message.get("content", ""))) // 4) for message in messages)


def answer_tokens(messages: list[dict], count: int) -> list[str]:
    """Return the tokens that answer the messages."""
    canonical = json.dumps([[m.get("role"), m.get("content")] for m in messages])
    seed = hashlib.sha256(canonical.encode()).hexdigest()[:8]
    return [f"{seed}.{number} " for number in range(count)]


def answer_text(messages: list[dict], count: int = DEFAULT_ANSWER_TOKENS) -> str:
    """Return the whole answer as one text."""
    return "".join(answer_tokens(messages, count))
