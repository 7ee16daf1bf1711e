"""Tests of the peer bus: requests, streams with flow control, lost messages and peers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pynng
import trio
import trio.testing
from result import Err, Ok

from lagoonfold import ErrorKind
from lagoonfold_node._peers import (
    InboundCall,
    OutboundStream,
    PeerBus,
    PeerLostError,
    PeerMessage,
    StreamEnd,
    StreamPart,
    handles,
    peer_message,
)
from lagoonfold_node._peers._probing import LostAnswerDetector
from tests._suite import load_functions

PART = b"x" * 16_384


@peer_message
class _EchoRequest(PeerMessage, tag="test-ask"):
    text: str


@peer_message
class _EchoReply(PeerMessage, tag="test-said"):
    text: str


@peer_message
class _StreamRequest(PeerMessage, tag="test-pour"):
    parts: int


@peer_message
class _GapRequest(PeerMessage, tag="test-tear"):
    """Asks for a stream whose second part is missing."""


@dataclass
class _Peer:
    parts_sent: int = 0
    cancelled: trio.Event = field(default_factory=trio.Event)


@handles(_EchoRequest)
async def _echo(peer: _Peer, call: InboundCall, message: _EchoRequest) -> None:
    if message.text == "hang":
        try:
            await trio.sleep_forever()
        finally:
            peer.cancelled.set()
    call.reply(_EchoReply(text=message.text.upper()))


@handles(_StreamRequest)
async def _stream_parts(peer: _Peer, call: InboundCall, message: _StreamRequest) -> None:
    for _ in range(message.parts):
        await call.send_part(PART)
        peer.parts_sent += 1
    call.reply(StreamEnd(size=call.offset))


@handles(_GapRequest)
async def _stream_with_gap(peer: _Peer, call: InboundCall, message: _GapRequest) -> None:
    call.reply(StreamPart(offset=0, data=PART))
    call.reply(StreamPart(offset=2 * len(PART), data=PART))
    call.reply(StreamEnd(size=3 * len(PART)))


def _with_buses(check: Callable[[PeerBus, PeerBus, _Peer], Awaitable[None]]) -> None:
    """Run a check on two connected buses; its third argument is the context of `two`."""

    async def run() -> None:
        addresses: dict[str, str] = {}
        peer = _Peer()
        one = PeerBus("one", "127.0.0.1:0", addresses.get, _Peer())
        two = PeerBus("two", "127.0.0.1:0", addresses.get, peer)
        async with trio.open_nursery() as nursery:
            for bus in (one, two):
                port = await nursery.start(bus.serve)
                addresses[bus.instance_id] = f"127.0.0.1:{port}"
            with trio.fail_after(10):
                await check(one, two, peer)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_requests_get_their_own_answers() -> None:
    """Each concurrent request gets its own answer."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        answers: dict[int, Any] = {}

        async def send_request(number: int) -> None:
            answers[number] = await one.request("two", _EchoRequest(text=f"q{number}"), 5)

        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(send_request, number)
        assert answers == {number: Ok(_EchoReply(text=f"Q{number}")) for number in range(50)}

    _with_buses(check)


def test_stream_stops_without_credit() -> None:
    """A receiver that does not read blocks the sender; when it reads, the whole stream arrives."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        async with one.stream("two", _StreamRequest(parts=100)) as stream:
            while peer.parts_sent < 8:
                await trio.sleep(0.01)
            await trio.testing.wait_all_tasks_blocked(0.05)
            assert peer.parts_sent == 8
            size = 0
            while isinstance(part := await stream.receive(), StreamPart):
                assert part.offset == size
                size += len(part.data)
            assert part == StreamEnd(size=100 * len(PART)) and size == part.size

    _with_buses(check)


def test_leaving_a_stream_cancels_the_handler() -> None:
    """A call that its caller abandons is cancelled at the peer."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        with trio.move_on_after(0.1):
            await one.request("two", _EchoRequest(text="hang"), 5)
        await peer.cancelled.wait()

    _with_buses(check)


def test_peer_without_address_is_unavailable() -> None:
    """A request to an unknown instance is refused at once."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        answer = await one.request("three", _EchoRequest(text="x"), 5)
        assert isinstance(answer, Err)
        assert answer.err_value.kind is ErrorKind.OWNER_UNAVAILABLE

    _with_buses(check)


async def _assert_lost(stream: OutboundStream, reason: str) -> None:
    """Check that the stream's next answer is reported as lost, for the given reason."""
    try:
        answer = await stream.receive()
    except PeerLostError as error:
        assert reason in str(error)
        return
    raise AssertionError(f"the call was answered by {answer}")


def test_undelivered_call_is_detected() -> None:
    """A peer that never received the call reports so when probed."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        two._take_call = lambda frame, message: None  # type: ignore[method-assign]
        async with one.stream("two", _EchoRequest(text="x")) as stream:
            await _assert_lost(stream, "does not know")

    _with_buses(check)


def test_silent_peer_is_declared_lost() -> None:
    """A peer that accepts connections but answers nothing is given up within seconds."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        two._take = lambda data: None  # type: ignore[method-assign]
        async with one.stream("two", _EchoRequest(text="hang")) as stream:
            await _assert_lost(stream, "no sign of two")

    _with_buses(check)


def test_lost_answers_are_detected() -> None:
    """An instance whose answers do not arrive reconnects and reports that it dropped the call."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        assert (await one.request("two", _EchoRequest(text="x"), 5)).is_ok()
        outbox = two._outboxes_by_peer["one"]
        outbox.put = lambda data: True  # type: ignore[method-assign]
        outbox.reconnect = lambda: delattr(outbox, "put")  # type: ignore[method-assign]
        async with one.stream("two", _EchoRequest(text="hang")) as stream:
            await _assert_lost(stream, "does not know")
        await peer.cancelled.wait()
        assert (await one.request("two", _EchoRequest(text="y"), 5)).is_ok()

    _with_buses(check)


def test_silent_connection_is_detected_by_short_requests() -> None:
    """Requests too short to be probed still detect a silent connection, which is reconnected."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        assert (await one.request("two", _EchoRequest(text="x"), 5)).is_ok()
        outbox = one._outboxes_by_peer["two"]
        outbox.put = lambda data: True  # type: ignore[method-assign]
        outbox.reconnect = lambda: delattr(outbox, "put")  # type: ignore[method-assign]
        while isinstance(await one.request("two", _EchoRequest(text="y"), 0.2), Err):
            pass

    _with_buses(check)


def test_stream_with_a_lost_part_is_declared_lost() -> None:
    """Parts that follow a lost part are not delivered as if they were next."""

    async def check(one: PeerBus, two: PeerBus, peer: _Peer) -> None:
        async with one.stream("two", _GapRequest()) as stream:
            assert (await stream.receive()).data == PART
            await _assert_lost(stream, "is missing")

    _with_buses(check)


def test_burst_of_probes_is_not_taken_for_lost_answers() -> None:
    """An instance that receives delayed probes together does not take its answers for lost."""
    detector = LostAnswerDetector()
    assert not any(detector.is_silent("one", unanswered, 5.0) for unanswered in range(4))
    assert not detector.is_silent("one", 4, 5.3)
    assert detector.is_silent("one", 5, 5.5)


def test_invalid_frames_are_dropped() -> None:
    """Invalid frames are reported as faults, and the bus continues."""

    async def run() -> None:
        faults: list[str] = []
        bus = PeerBus(
            "one",
            "127.0.0.1:0",
            lambda peer: None,
            _Peer(),
            on_fault=lambda event, error: faults.append(event),
        )
        async with trio.open_nursery() as nursery:
            port = await nursery.start(bus.serve)
            with pynng.Push0(dial=f"tcp://127.0.0.1:{port}") as socket, trio.fail_after(5):
                for data in (b"", b"\xc1", b"\x96\x01\x02", b"nonsense"):
                    await socket.asend(data)
                while len(faults) < 4:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        assert set(faults) == {"peer-message-invalid"}

    trio.run(run)


def test_call_that_outlives_its_bus() -> None:
    """A call that is left after its bus has stopped raises nothing."""

    async def run() -> None:
        scope = trio.CancelScope()
        bus = PeerBus("one", "127.0.0.1:0", lambda _: "127.0.0.1:1", _Peer())

        async def serve(task_status: trio.TaskStatus[int]) -> None:
            with scope:
                await bus.serve(task_status=task_status)

        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            async with bus.stream("two", _EchoRequest(text="hang")):
                scope.cancel()
                await trio.testing.wait_all_tasks_blocked()
            assert not bus.send("two", _EchoRequest(text="late"))

    trio.run(run)


load_tests = load_functions(globals())
