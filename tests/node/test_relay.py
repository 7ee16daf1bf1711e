"""Tests of the relay of an answer's parts to targets that may be slow."""

from dataclasses import dataclass, field

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonfold_node._execution._answer_buffer import (
    READ_AHEAD_BYTES,
    AnswerBuffer,
    AnswerReader,
    CallAnswer,
)
from lagoonfold_node._peers import OutboundStream, PeerLostError, StreamEnd, StreamPart
from tests._suite import load_functions

_ANSWER = CallAnswer(status=200, content_type="text/plain", body=b"")
_SIZES = st.lists(st.sampled_from((1, 900, READ_AHEAD_BYTES)), max_size=20)


@dataclass
class _Target:
    """Receives parts; needs `drain` after each part whose number is in `slow`."""

    slow: set[int] = field(default_factory=set)
    taken: list[bytes] = field(default_factory=list)
    is_behind: bool = False

    def write(self, data: bytes) -> bool:
        assert not self.is_behind
        self.is_behind = len(self.taken) in self.slow
        self.taken.append(data)
        return not self.is_behind

    async def drain(self) -> None:
        await trio.sleep(0)
        await trio.sleep(0)
        self.is_behind = False


async def _read_all(answer_buffer: AnswerBuffer, reader: AnswerReader, target: _Target) -> None:
    reader.relay_parts_to(target)
    while data := await reader.read():
        if not target.write(data):
            await target.drain()
    answer_buffer.detach(reader)


@settings(derandomize=True, deadline=None)
@given(
    sizes=_SIZES, slow=st.lists(st.sets(st.integers(0, 20)), min_size=1, max_size=3), data=st.data()
)
def test_each_reader_gets_the_parts_in_order(sizes, slow, data) -> None:
    """Each reader gets every part once and in order, however slow any of them is."""
    parts = [bytes([number]) * size for number, size in enumerate(sizes)]
    pauses = data.draw(st.sets(st.integers(0, 20)))
    targets = [_Target(slow=each) for each in slow]

    async def run() -> None:
        answer_buffer = AnswerBuffer(lambda: None)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                for target in targets:
                    nursery.start_soon(_read_all, answer_buffer, answer_buffer.attach(), target)
                for number, part in enumerate(parts):
                    if number in pauses:
                        await trio.sleep(0)
                    await answer_buffer.write(part)
                answer_buffer.finish(_ANSWER, b"last")

    trio.run(run)
    for target in targets:
        assert b"".join(target.taken) == b"".join(parts) + b"last"


@settings(derandomize=True, deadline=None)
@given(
    count=st.integers(0, 20), slow=st.sets(st.integers(0, 20)), pauses=st.sets(st.integers(0, 20))
)
def test_peer_stream_reaches_its_target_whole(count, slow, pauses) -> None:
    """The parts of a peer's stream reach a slow target once and in order."""
    target = _Target(slow=slow)
    stream_end = StreamEnd(size=count)

    async def read(stream: OutboundStream) -> None:
        stream.relay_parts_to(target)
        while isinstance(message := await stream.receive(), StreamPart):
            if not target.write(message.data):
                await target.drain()
        assert message == stream_end and not target.is_behind

    async def run() -> None:
        stream = OutboundStream("two", "call", lambda message: True)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read, stream)
                for number in range(count):
                    if number in pauses:
                        await trio.sleep(0)
                    stream.deliver(StreamPart(offset=number, data=bytes([number])))
                stream.deliver(stream_end)

    trio.run(run)
    assert b"".join(target.taken) == bytes(range(count))


def test_stream_with_a_missing_part_is_lost() -> None:
    """A stream is reported as lost at a missing part; nothing after the gap is delivered."""
    part = StreamPart(offset=0, data=b"first")
    for late in (StreamPart(offset=9, data=b"third"), StreamEnd(size=9)):

        async def run(late: StreamPart | StreamEnd) -> None:
            stream = OutboundStream("two", "call", lambda message: True)
            stream.deliver(part)
            stream.deliver(late)
            assert await stream.receive() == part
            try:
                await stream.receive()
            except PeerLostError:
                return
            raise AssertionError("the missing part was not detected")

        trio.run(run, late)


load_tests = load_functions(globals())
