"""Texts of events, prompts of chains, and turns as they are written."""

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from lagoonfold.histories import (
    KeptTurn,
    decode_kept_turn,
    encode_kept_turn,
    make_prompt,
    text_of_event,
)
from tests._suite import load_functions


def _turn(turn_id: str, previous: str | None, text: bytes) -> KeptTurn:
    return KeptTurn(
        turn_id=turn_id,
        account="acme",
        previous=previous,
        program="p1",
        request=b"in:" + text,
        answer=b"out:" + text + b"\n",
    )


def test_text_of_an_event_is_its_data_and_a_line_feed() -> None:
    """Only data lines count, whatever line ends the event has; one space is dropped."""
    assert text_of_event(b"id: 4\ndata: word\n\n") == b"word\n"
    assert text_of_event(b"data:word\r\nid: 4\r\n\r\n") == b"word\n"
    assert text_of_event(b"data:  two spaces\n\n") == b" two spaces\n"
    assert text_of_event(b"data: a\ndata\ndata: b\n\n") == b"a\n\nb\n"
    assert text_of_event(b"x-version: 2\nid: 4\ndata: w: x\n\n") == b"w: x\n"
    assert text_of_event(b": comment\n\n") == b""


def test_prompt_is_the_chain_and_the_new_input() -> None:
    """Each turn's input is followed by its answer, oldest first."""
    chain = (_turn("a", None, b"1"), _turn("b", "a", b"2"))
    assert make_prompt(chain, b"in:3") == b"in:1out:1\nin:2out:2\nin:3"
    assert make_prompt((), b"in:1") == b"in:1"


@given(st.binary(max_size=200), st.integers(min_value=0), st.integers(1, 255))
def test_changed_bytes_of_a_written_turn_are_found(text: bytes, position: int, change: int) -> None:
    """A turn reads back as it was; with any byte changed or cut off, it is not read at all."""
    turn = _turn("a", None, text)
    data = encode_kept_turn(turn)
    assert decode_kept_turn(data) == Ok(turn)
    at = position % len(data)
    changed = data[:at] + bytes([data[at] ^ change]) + data[at + 1 :]
    assert isinstance(decode_kept_turn(changed), Err)
    assert isinstance(decode_kept_turn(data[:at]), Err)


load_tests = load_functions(globals())
