"""Create programs that a given instance owns, or whose prefix a given engine has cached."""

import time

from standins.client import Reply
from tests.failure._world import PROFILE, Environment, new_marker, retry

PROGRAM_TIMEOUT_S = 60.0
LONG_TEXT = "point " * 2_000


def program_owned_by(env: Environment, owner: str) -> str:
    """Create programs until one is owned by the given instance; return its id."""
    while True:
        program_id, actual_owner = env.create_program()
        if actual_owner == owner:
            return program_id


def program_cached_at(env: Environment, engine: str) -> tuple[str, list[dict]]:
    """Start programs until the first call of one has run on an engine.

    Return the program's id and its messages so far. The long prompt makes the dispatcher prefer
    the same engine for the next call.
    """
    client = env.client()
    deadline_s = time.monotonic() + PROGRAM_TIMEOUT_S
    while time.monotonic() < deadline_s:
        marker = new_marker()
        text = f"{marker} {LONG_TEXT}"
        program_id = client.create_program(PROFILE)
        reply = text_of(retry(lambda p=program_id, t=text: client.chat(p, 1, t)))
        if env.seen(engine, marker):
            user = {"role": "user", "content": text}
            return program_id, [user, {"role": "assistant", "content": reply}]
    raise AssertionError(f"no program ran at {engine} within {PROGRAM_TIMEOUT_S:g} s")


def text_of(reply: Reply) -> str:
    """Return the text of an answer, after checking that it is whole."""
    assert reply.status == 200, f"{reply.status} {reply.body.decode()}"
    assert reply.is_whole(), reply.body.decode()[-300:]
    return reply.text()
