"""Streams whose replicas answer with something that is no part of them.

A caller gets the whole events of its stream, numbered without a gap, and an end only after the last
one; a stream that cannot go on is broken off.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import trio

from lagoonfold.forwarding import ForwardConfig
from lagoonfold_gateway import Gateway
from lagoonfold_io import HttpRequest, StreamError
from standins.scripted_replica import (
    EVENT_STREAM,
    EVENTS,
    NAMES,
    Answer,
    Script,
    ScriptedReplica,
    events,
)
from tests._suite import load_functions
from tests.gateway._cut import CUTS
from tests.gateway._fleet import (
    HOST,
    KEY,
    Fleet,
    make_config,
    run_and_collect_lines,
    run_with_fleet,
    wait_until,
)

WHOLE = events()
BROKEN_AFTER = 2
REPLICAS = ("r1", "r2", "r3", "r4")
READ_SIZE_BYTES = 65_536
LARGE_BYTES = 600_000  # more than is held of a plain answer
STATUS_LINE = b"HTTP/1.1 500 Internal Server Error\r\n"
ERROR_HEAD = STATUS_LINE + b"content-type: text/plain\r\ncontent-length: 5\r\n\r\n"

# What a replica sends to a request for the events after `BROKEN_AFTER`, by the name of the trouble.
HEADS = {
    "text with an empty line at its end": Answer(body=b"no room\n\n", media_type="text/plain"),
    "text in the form of an event": Answer(body=b"data: no room\n\n", media_type="text/plain"),
    "JSON": Answer(body=b'{"error": "no room"}\n\n', media_type="application/json"),
    "status 204": Answer(status=204, media_type=None),
    "status 206 without a body": Answer(status=206),
    "status 206 with an event": Answer(status=206, body=events(3, 3)),
    "status 202 without a type": Answer(status=202, media_type=None),
    "two media types": Answer(
        body=b"id: 3\ndata: no room\n\n",
        media_type="text/plain",
        headers=(("content-type", EVENT_STREAM),),
    ),
    "status 500 of a stream": Answer(status=500, body=b"id: 3\ndata: no room\n\n"),
    "status 000": Answer(status=0, media_type=None),
    "status 000 of a stream": Answer(status=0, body=events(3)),
    "status 999 of a stream": Answer(status=999, body=events(3)),
}
NO_STATUSES = (0, 99, 600, 999)  # those of HTTP are from 100 to 599
BODIES = {
    "text": b"no room\n\n",
    "text after an event": events(3, 3) + b"no room\n\n",
    "text before an event": b"no room\n" + events(3),
    "text within an event": b"id: 3\nno room\ndata: part 3\n\n",
    "a head": ERROR_HEAD,
    "a head after an event": events(3, 3) + ERROR_HEAD,
    "a head within an event": b"id: 3\ndata: pa" + ERROR_HEAD,
    "a status line within an event": b"id: 3\ndata: pa" + STATUS_LINE + b"\r\n",
    "a head of LF ends within an event": b"id: 3\ndata: pa" + ERROR_HEAD.replace(b"\r", b""),
    "a lone CR within an event": b"id: 3\ndata: pa\rno room\n\n",
    "an event without a number": b"event: error\ndata: no room\n\n",
    "an event without a number before others": b"data: no room\n\n" + events(3),
    "an event without a number after one": events(3, 3) + b"data: no room\n\n",
    "an event with a signed number": b"id: +3\ndata: part 3\n\n",
    "an event with a number and no number": b"id: 3\nid\ndata: part 3\n\n",
    "a garbled number without data": events(3, 3) + b"id: 4x\n\n",
    "an event with a garbled number": events(3, 3) + b"id: 4x\ndata: part 4\n\n",
}
GAPS = {
    "events left out at first": events(5),
    "events left out later": events(3, 3) + events(6),
}
OTHER_RUN = events(1).replace(b"part", b"other")
OTHER_RUNS = {
    "another run from its start": OTHER_RUN,
    "the last event of another run": events(2).replace(b"part", b"other"),
    "another run after the rest of this one": events(3, 3) + OTHER_RUN,
    "another run from within this one": events(3, 4) + events(2).replace(b"part", b"other"),
    "an event twice with other data": events(3, 3) + events(3).replace(b"part", b"other"),
}
MISCOUNTED = {
    "a number of too many digits after an event": events(3, 3) + b"id: " + b"9" * 99 + b"\n\n",
}


@dataclass(slots=True)
class Received:
    """What a caller has got of an answer; `status` is 0 without one."""

    status: int = 0
    body: bytes = b""
    is_complete: bool = False

    def is_right(self, expected: bytes = WHOLE) -> bool:
        """Return whether the answer is whole, or a refusal, or a part that is broken off."""
        if not self.is_complete:
            return expected.startswith(self.body)
        return self.body == expected if self.status == 200 else self.status >= 500


def _in_stream(body: bytes) -> tuple[Answer, Answer]:
    """Return the answer of chunks and the one without that have a body."""
    return Answer(body=body), Answer(body=body, is_chunked=False)


async def _receive(
    fleet: Fleet, gateway: Gateway, headers: tuple[tuple[str, str], ...] = ()
) -> Received:
    """Send a request for a stream; return what comes until its end or until it breaks."""
    own = (("host", HOST), (NAMES.request_id, fleet.next_id()), (NAMES.api_key, KEY))
    request = HttpRequest(method="POST", path="/turns/x", headers=(*own, *headers))
    received = Received()
    address = gateway.settings.instance.listen
    async with fleet.client.stream(address, request, new_connection=True) as opened:
        if opened.is_err():
            return received
        response = opened.ok_value
        received.status = response.head.status
        try:
            while data := await response.read():
                received.body += data
            received.is_complete = True
        except StreamError:
            pass
    return received


async def _receive_as_http_1_0(fleet: Fleet, gateway: Gateway, path: str) -> tuple[bytes, bool]:
    """Return what an HTTP/1.0 caller gets, and whether its connection ends without a reset."""
    host, _, port = gateway.settings.instance.listen.partition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    fields = (("host", HOST), (NAMES.request_id, fleet.next_id()), (NAMES.api_key, KEY))
    lines = [f"POST {path} HTTP/1.0", *(f"{name}: {value}" for name, value in fields), "", ""]
    await stream.send_all("\r\n".join(lines).encode())
    received = b""
    try:
        while data := await stream.receive_some(READ_SIZE_BYTES):
            received += data
    except trio.BrokenResourceError:
        return received, False
    return received, True


async def _add_replicas(
    fleet: Fleet, script: Script, ids: tuple[str, ...] = REPLICAS, *, sends_copies: bool = False
) -> None:
    for replica_id in ids:
        replica = ScriptedReplica(replica_id, script, sends_copies)
        await fleet.nursery.start(replica.serve)
        fleet.list_replica(replica)
    await wait_until(
        lambda: all(
            len(gateway.board.replicas.read().all()) == len(ids) for gateway in fleet.gateways
        )
    )


def _kept_config() -> ForwardConfig:
    """Return a configuration whose route for turns keeps histories, and may be resumed."""
    config = make_config(max_upstreams=3)
    routes = tuple(
        replace(route, keeps_history=True) if route.name == "turns" else route
        for route in config.routes
    )
    return replace(config, routes=routes)


Check = Callable[[Fleet, Gateway, Script], Awaitable[None]]


def _with_replicas(check: Check) -> Callable[[Fleet], Awaitable[None]]:
    async def run(fleet: Fleet) -> None:
        script = Script()
        await _add_replicas(fleet, script)
        await check(fleet, fleet.gateways[0], script)

    return run


def _run(check: Check, **options: object) -> None:
    """Run a check with replicas that share a script, and with the first gateway."""
    run_with_fleet(
        _with_replicas(check), replicas=0, **{"config": make_config(max_upstreams=3), **options}
    )


async def _check_answers(
    fleet: Fleet, gateway: Gateway, script: Script, answers: dict[str, Answer]
) -> None:
    """Check what callers get if a stream breaks off and one of the answers goes on with it."""
    broken = Answer(body=events(1, BROKEN_AFTER) + b"id: 3\nda", is_whole=False)
    for name, answer in answers.items():
        script.answers.clear()
        script.answers += [broken, answer]
        received = await _receive(fleet, gateway)
        assert received.is_right(), (name, received)
        assert received.status == 200, (name, received)
        for _ in REPLICAS:  # which would be put aside after some wrong answers in a row
            assert (await _receive(fleet, gateway)).is_right(), name


def _answers_by_name(bodies: dict[str, bytes]) -> dict[str, Answer]:
    return {
        f"{name}, {'chunked' if answer.is_chunked else 'to the end'}": answer
        for name, body in bodies.items()
        for answer in _in_stream(body)
    }


def test_stream_does_not_go_on_with_an_answer_that_is_no_stream() -> None:
    """Its status or its media type says so."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        await _check_answers(fleet, gateway, script, HEADS)

    _run(check)


def test_stream_does_not_go_on_with_bytes_that_are_no_events() -> None:
    """The text or the whole head of an error came in the midst of the events."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        await _check_answers(fleet, gateway, script, _answers_by_name(BODIES))

    _run(check)


def test_stream_does_not_go_on_after_a_piece_that_is_missing() -> None:
    """A replica that leaves events out is taken for one that broke the stream off."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        await _check_answers(fleet, gateway, script, _answers_by_name(GAPS))

    _run(check)


def test_stream_does_not_go_on_with_the_events_of_another_run() -> None:
    """The events that the caller had were left out, and those of the other run followed."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        await _check_answers(fleet, gateway, script, _answers_by_name(OTHER_RUNS))

    _run(check)


def test_events_before_an_invalid_one_are_not_lost() -> None:
    """The next attempt asks for those that the caller has not got."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        await _check_answers(fleet, gateway, script, _answers_by_name(MISCOUNTED))

    _run(check)


def test_stream_without_numbers_is_not_begun_again() -> None:
    """Its events would come twice."""
    unnumbered = b"data: a\n\ndata: b\n\n"

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        script.answers += [Answer(body=unnumbered, is_whole=False), Answer(body=unnumbered)]
        received = await _receive(fleet, gateway)
        assert received.status == 200 and received.is_right(unnumbered), received

    _run(check)


def test_unnumbered_events_that_nobody_got_do_not_keep_a_stream_from_going_on() -> None:
    """They came with an invalid one, and the next attempt began a stream with numbers."""
    wrong = Answer(body=b"data: a\n\nno room\n\n")

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        script.answers += [wrong, Answer(body=events(1, 2), is_whole=False)]
        assert await _receive(fleet, gateway) == Received(200, WHOLE, is_complete=True)

    _run(check)


def test_stream_does_not_end_with_an_answer_that_brings_no_event() -> None:
    """It ended as complete too early; one that has all its events may end so."""
    begun, unended = (Answer(body=events(1, last), is_whole=False) for last in (2, EVENTS))
    more = Answer(body=events(3, 4), is_whole=False)
    text = Answer(body=b"no room", media_type="text/plain")

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        for empty in (Answer(), Answer(is_chunked=False)):
            for answers in ((begun, empty), (empty,), (unended, empty, empty)):
                script.answers += answers
                received = await _receive(fleet, gateway)
                assert received == Received(200, WHOLE, is_complete=True), (answers, received)
            for answers in ((begun, text, empty), (begun, more, empty), (empty, begun, empty)):
                script.answers += answers
                received = await _receive(fleet, gateway)
                assert received.is_right() and not received.is_complete, (answers, received)

    _run(check)


def test_stream_without_any_event_does_not_end_as_complete() -> None:
    """Two attempts had ended so, but no stream has no event."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        script.answers += [Answer(), Answer(is_chunked=False)]
        received = await _receive(fleet, gateway)
        assert received == Received(200, WHOLE, is_complete=True), received
        script.answers += [Answer()] * len(REPLICAS)
        received = await _receive(fleet, gateway)
        assert received.status >= 500, received

    _run(check)


def test_replica_that_says_that_no_event_is_left_is_not_put_aside() -> None:
    """It is sound, and was taken for one that loses answers."""
    headers = ((NAMES.last_event, str(EVENTS)), (NAMES.resumed_request, "first"))

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        for _ in range(3 * len(REPLICAS)):
            assert await _receive(fleet, gateway, headers) == Received(200, is_complete=True)

    lines = run_and_collect_lines(_with_replicas(check), replicas=0)
    assert "replica.ejected" not in lines, lines["replica.ejected"]


def test_streams_do_not_go_on_with_wrong_answers_through_another_instance() -> None:
    """The instance that cannot reach the replicas checks what comes through the other one."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        CUTS[1].begin(gateway)
        await _check_answers(fleet, gateway, script, HEADS | _answers_by_name(BODIES | GAPS))
        assert gateway.metrics.counts()["replica_calls_relayed"]

    _run(check, gateways=2)


def test_late_copy_of_an_answer_is_not_that_of_the_next_attempt_through_another_instance() -> None:
    """The copy of an empty answer, which has the id of the request, confirmed its end."""
    begun = Answer(body=events(1, BROKEN_AFTER), is_whole=False)

    async def check(fleet: Fleet) -> None:
        script = Script()
        await _add_replicas(fleet, script, ("r1",), sends_copies=True)
        CUTS[1].begin(fleet.gateways[0])
        script.answers += [begun, Answer()]
        received = await _receive(fleet, fleet.gateways[0])
        assert received == Received(200, WHOLE, is_complete=True), received

    run_with_fleet(check, gateways=2, replicas=0, config=make_config(max_upstreams=3))


def test_stream_that_its_caller_takes_up_does_not_go_on_with_wrong_answers() -> None:
    """The caller has the first events from an earlier request."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        headers = ((NAMES.last_event, str(BROKEN_AFTER)), (NAMES.resumed_request, "first"))
        for name, answer in (HEADS | _answers_by_name(BODIES | GAPS | MISCOUNTED)).items():
            script.answers.clear()
            script.answers.append(answer)
            received = await _receive(fleet, gateway, headers)
            assert received.is_right(events(BROKEN_AFTER + 1)), (name, received)

    _run(check)


def test_first_answer_that_is_no_stream_is_not_passed_on_as_one() -> None:
    """Another replica streams all events; nothing of the first answer has reached the caller."""
    wrong = {
        name: replace(answer, body=answer.body.replace(b"id: 3", b"id: 1"))
        for name, answer in (HEADS | _answers_by_name(BODIES | GAPS | MISCOUNTED)).items()
        if name != "status 500 of a stream"  # an error, which is passed on
    }

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        assert (await _receive(fleet, gateway)).body == WHOLE  # shows that events have numbers
        for name, answer in wrong.items():
            script.answers.clear()
            script.answers.append(answer)
            received = await _receive(fleet, gateway)
            assert received.status == 200 and received.is_right(), (name, received)

    _run(check)


def test_kept_turn_has_each_event_once_after_it_broke_at_its_end() -> None:
    """The events that come with the end are held, and were lost when that end was none."""
    part = events(1, 3) + b"id: 4\nda"

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        for answers in ([Answer(body=part)], [Answer(body=events(1, 2), is_whole=False)]):
            script.answers += answers
            received = await _receive(fleet, gateway, ((NAMES.program, "p"),))
            assert received == Received(200, WHOLE, is_complete=True), received

    _run(check, config=_kept_config(), storage="ab")


def test_kept_turn_whose_replica_sends_too_much_is_not_kept() -> None:
    """Text that its caller had not got was durable, as a part of the next turn's prompt."""
    most = 10 * (EVENTS - 2)
    turn = (
        (NAMES.program, "p"),
        (NAMES.session_id, "s"),
        (NAMES.budget_tokens, str(10 * most)),
        (NAMES.token_counts, f"10,{most}"),
    )

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        received = await _receive(fleet, gateway, turn)
        assert received.status == 502 or not received.is_complete, received
        previous = ((NAMES.previous_turn, "request-1"), *turn[:2])
        assert (await _receive(fleet, gateway, previous)).status == 404

    _run(check, config=_kept_config(), storage="ab")


def test_kept_turn_does_not_go_on_with_wrong_answers() -> None:
    """What is kept is what its caller got."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        await _check_answers(
            fleet, gateway, script, HEADS | _answers_by_name(BODIES | GAPS | MISCOUNTED)
        )

    _run(check, config=_kept_config(), storage="ab")


def test_head_that_stops_in_its_middle_is_no_answer() -> None:
    """A plain request and a stream are answered by another replica, or not with a success."""
    head = Answer(body=WHOLE).encode("r1", "request").partition(b"\r\n\r\n")[0] + b"\r\n\r\n"

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        for path in ("/read/x", "/write/x", "/turns/x"):
            for length in range(0, len(head), 11):
                script.answers.clear()
                script.answers.append(Answer(head_bytes=head[:length]))
                with trio.fail_after(5):
                    answer = await fleet.send(gateway, path)
                is_whole = answer.status == 200 and answer.body == WHOLE
                assert is_whole or answer.status >= 500, (path, head[:length], answer)
                assert (await fleet.send(gateway, path)).body == WHOLE

    _run(check)


def test_answer_whose_status_is_none_of_http_is_no_answer() -> None:
    """A replica in trouble sent the status 000, and its caller got it as an answer (MIXED)."""

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        for status in NO_STATUSES:
            for path in ("/read/x", "/write/x", "/turns/x"):
                script.answers.clear()
                script.answers.append(Answer(status=status, body=b"no room"))
                answer = await fleet.send(gateway, path)
                is_whole = answer.status == 200 and answer.body == WHOLE
                assert is_whole or answer.status == 502, (path, status, answer)
                assert is_whole or path == "/write/x", (path, status, answer)
                assert (await fleet.send(gateway, path)).body == WHOLE

    _run(check)


def test_broken_answer_does_not_look_complete_to_an_http_1_0_caller() -> None:
    """Its answer has no chunks, and the end of its connection was the end of the answer."""
    broken = Answer(body=events(1, BROKEN_AFTER), is_whole=False)
    large = Answer(body=b"x" * LARGE_BYTES, is_whole=False)

    async def check(fleet: Fleet, gateway: Gateway, script: Script) -> None:
        for path, answer in (("/turns/x", broken), ("/read/x", large)):
            script.answers += [answer] * len(REPLICAS)
            received, is_complete = await _receive_as_http_1_0(fleet, gateway, path)
            assert not is_complete, (path, received[-80:])
            script.answers.clear()
            received, is_complete = await _receive_as_http_1_0(fleet, gateway, path)
            assert is_complete and received.endswith(WHOLE), (path, received[-80:])

    _run(check)


load_tests = load_functions(globals())
