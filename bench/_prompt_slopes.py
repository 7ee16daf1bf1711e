"""Measures the cost of building a turn's prompt by the number of turns of its program.

The turns have about 6.8 KB each, as in a program of 200 turns and 340,000 tokens of 4 bytes.
"""

import msgspec

from bench._quantities import mean_time_us, quantity
from lagoonfold import ProgramId
from lagoonfold.records import (
    CallOutcome,
    Cost,
    Turn,
    check_history,
    decode_turn,
    encode_turn,
    extend_history_digest,
    initial_history_digest,
)
from lagoonfold_node._execution._prompts import engine_body, history_messages
from lagoonfold_node._execution._render import COMPLETION_TYPE

REQUEST_TEXT = "point " * 550
ANSWER_TEXT = "answer " * 480
_PROGRAM = ProgramId("program-1")
_BODY = msgspec.json.encode({"messages": [{"role": "user", "content": REQUEST_TEXT}]})
_ANSWER = msgspec.json.encode(
    {"choices": [{"message": {"role": "assistant", "content": ANSWER_TEXT}}]}
)


def _turn(number: int) -> Turn:
    return Turn(
        number=number,
        call_id=f"call-{number}",
        route="small",
        is_idempotent=True,
        idempotency_key="",
        content_digest="",
        body=_BODY,
        outcome=CallOutcome.ANSWERED,
        status=200,
        content_type=COMPLETION_TYPE,
        answer=_ANSWER,
        used=Cost(1_700, 1, 10),
    )


@quantity("us", "turn of 6.8 KB", (20, 80, 200))
def prompt_time(turns: int) -> float:
    """Time to decode and check a history by its turns, and to encode the engine's request."""
    stored = [encode_turn(_turn(number)) for number in range(1, turns + 1)]
    history_digest = initial_history_digest(_PROGRAM)
    for data in stored:
        history_digest = extend_history_digest(history_digest, decode_turn(data).unwrap())

    def make_prompt() -> bytes:
        history = tuple(decode_turn(data).unwrap() for data in stored)
        checked = check_history(_PROGRAM, history, history_digest).unwrap()
        messages = history_messages(checked)
        return msgspec.json.encode(engine_body(_BODY, messages, model="small", max_tokens=None))

    return mean_time_us(make_prompt)
