"""The deterministic answers of the model engine's stand-in.

Every replica gives the same answer to the same messages, so that a test can compare an answer with
the complete one, also after a retry or a resumption on another replica.
"""

import hashlib
import json

DEFAULT_ANSWER_TOKENS = 16


def count_tokens(messages: list[dict]) -> int:
    """Return the number of tokens: one per four characters of a message, at least one each."""
    return sum(max(1, len(str(message.get("content", ""))) // 4) for message in messages)


def answer_tokens(messages: list[dict], count: int) -> list[str]:
    """Return the first `count` tokens of the answer to the messages."""
    canonical = json.dumps([[m.get("role"), m.get("content")] for m in messages])
    seed = hashlib.sha256(canonical.encode()).hexdigest()[:8]
    return [f"{seed}.{number} " for number in range(count)]


def answer_text(messages: list[dict], count: int = DEFAULT_ANSWER_TOKENS) -> str:
    """Return the answer of `count` tokens as one string."""
    return "".join(answer_tokens(messages, count))
