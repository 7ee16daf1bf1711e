"""Programs with an owner, or with a prefix at an engine, that a test can rely on."""

import time

from standins.client import Reply
from tests.failure._world import PROFILE, World, mark, persist

PROGRAM_AT_TIMEOUT_S = 60.0
LONG_TEXT = "point " * 2_000


def program_of(each: World, owner: str) -> str:
    """Create programs until an instance owns one; return its id."""
    while True:
        program_id, owned_by = each.owned_program()
        if owned_by == owner:
            return program_id


def program_at(each: World, engine: str) -> tuple[str, list[dict]]:
    """Start programs until the first call of one has run at an engine; return its messages."""
    client = each.client()
    deadline_s = time.monotonic() + PROGRAM_AT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        marked = mark()
        text = f"{marked} {LONG_TEXT}"
        program_id = client.create_program(PROFILE)
        said = text_of(persist(lambda p=program_id, t=text: client.chat(p, 1, t)))
        if each.seen(engine, marked):
            user = {"role": "user", "content": text}
            return program_id, [user, {"role": "assistant", "content": said}]
    raise AssertionError(f"no program ran at {engine} within {PROGRAM_AT_TIMEOUT_S:g} s")


def text_of(reply: Reply) -> str:
    """Return the text of a whole answer."""
    assert reply.status == 200, f"{reply.status} {reply.body.decode()}"
    assert reply.is_whole(), reply.body.decode()[-300:]
    return reply.text()
