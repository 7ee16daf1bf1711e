"""Tests of the HTTP client and server against each other."""

import socket
from collections.abc import Awaitable, Callable

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from lagoonfold_io import (
    ClientGoneError,
    Exchange,
    HttpClient,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    SendStatus,
)
from tests._suite import load_functions

_LARGE_PART = b"x" * 16_777_216
_TRUNCATED_HEAD_REQUEST = b"HEAD / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345"


async def _echo(request: HttpRequest, exchange: Exchange) -> None:
    if request.path == "/stream":
        await exchange.start(200, ())
        for part in (b"one ", b"two"):
            await exchange.send(part)
        await exchange.finish()
    elif request.path == "/large":
        await exchange.start(200, ())
        assert not exchange.write(_LARGE_PART)
        await exchange.drain()
        await exchange.finish()
    else:
        await exchange.respond(HttpResponse(status=200, body=request.body))


def _with_server(check: Callable[[str], Awaitable[None]], limits: HttpLimits | None = None) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(_echo, limits=limits)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            await check(f"127.0.0.1:{port}")
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_echo_on_a_reused_connection() -> None:
    """Two requests on one connection get their own responses."""

    async def check(address: str) -> None:
        client = HttpClient()
        for body in (b"first", b"second"):
            request = HttpRequest(method="POST", path="/", body=body)
            response = (await client.fetch(address, request)).unwrap()
            assert response.body == body

    _with_server(check)


def test_response_whose_status_is_none_of_http_is_no_response() -> None:
    """Replicas, the store, engines and peers are all read by this client."""

    async def check() -> None:
        for status in (b"000", b"099", b"600", b"999", b"0200", b"20", b"2000", b"-20", b"2 0"):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")

            async def answer(stream: trio.SocketStream, status: bytes = status) -> None:
                await stream.receive_some()
                await stream.send_all(b"HTTP/1.1 %s X\r\ncontent-length: 0\r\n\r\n" % status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
                fetched = await HttpClient().fetch(address, HttpRequest(method="GET", path="/"))
                assert isinstance(fetched, Err), (status, fetched)
                assert fetched.err_value.sent is SendStatus.MAYBE_SENT, (status, fetched)
                nursery.cancel_scope.cancel()

    trio.run(check)


def test_streamed_response() -> None:
    """A streamed response arrives complete."""

    async def check(address: str) -> None:
        response = await HttpClient().fetch(address, HttpRequest(method="GET", path="/stream"))
        assert response.unwrap().body == b"one two"

    _with_server(check)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    parts=st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    cuts=st.sets(st.integers(1, 300)),
    is_chunked=st.booleans(),
)
def test_body_is_complete_however_it_is_split(parts, cuts, is_chunked) -> None:
    """A body arrives complete, and its end is recognized, wherever the network splits it."""
    body = b"".join(parts)
    if is_chunked:
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        wire = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
    else:
        wire = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
    ends = sorted({cut for cut in cuts if cut < len(wire)} | {len(wire)})

    async def answer(stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        for _ in range(2):
            await stream.receive_some()
            start = 0
            for end in ends:
                await stream.send_all(wire[start:end])
                await trio.sleep(0)
                await trio.sleep(0)
                start = end

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer, 0)
            port = listeners[0].socket.getsockname()[1]
            client = HttpClient()
            with trio.fail_after(10):
                for _ in range(2):
                    request = HttpRequest(method="GET", path="/")
                    fetched = await client.fetch(f"127.0.0.1:{port}", request)
                    assert fetched.unwrap().body == body
            client.close()
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_part_larger_than_the_socket_buffer_arrives_complete() -> None:
    """A part that the socket does not accept at once is drained without loss."""

    async def check(address: str) -> None:
        response = await HttpClient().fetch(address, HttpRequest(method="GET", path="/large"))
        assert response.unwrap().body == _LARGE_PART

    _with_server(check)


def test_response_that_switches_protocols_is_a_failure() -> None:
    """A 2xx to CONNECT has no body for h11; reading it took the loop for good."""

    async def answer(stream: trio.SocketStream) -> None:
        await stream.receive_some(4_096)
        await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody")
        await trio.sleep_forever()

    async def check() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer, 0)
            port = listeners[0].socket.getsockname()[1]
            request = HttpRequest(method="CONNECT", path="/read/a")
            with trio.fail_after(5.0):
                fetched = await HttpClient().fetch(f"127.0.0.1:{port}", request)
            assert isinstance(fetched, Err), fetched
            assert fetched.err_value.sent is SendStatus.MAYBE_SENT
            nursery.cancel_scope.cancel()

    trio.run(check)


def test_drain_reports_a_client_that_closed() -> None:
    """A write does not raise after the client has closed; the following drain does."""
    outcomes: list[str] = []

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        with trio.CancelScope(shield=True):
            await exchange.start(200, ())
            while exchange.write(b"part"):
                await trio.sleep(0)
            try:
                await exchange.drain()
            except ClientGoneError:
                outcomes.append("gone")

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(HttpServer(handle).serve, "127.0.0.1", 0)
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await stream.receive_some(1)
            await stream.aclose()
            with trio.fail_after(10):
                while not outcomes:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert outcomes == ["gone"]


def test_oversized_body_is_refused() -> None:
    """A request with a body over the limit gets the status 413."""

    async def check(address: str) -> None:
        request = HttpRequest(method="POST", path="/", body=b"x" * 100)
        assert (await HttpClient().fetch(address, request)).unwrap().status == 413

    _with_server(check, HttpLimits(max_body_bytes=10))


def test_malformed_request_is_refused() -> None:
    """Bytes that are not HTTP get the status 400."""

    async def check(address: str) -> None:
        host, port = address.split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"\x00\x01nonsense\r\n\r\n")
        assert (await stream.receive_some(100)).startswith(b"HTTP/1.1 400")

    _with_server(check)


def test_responses_to_head_requests_have_no_body() -> None:
    """Responses to complete and truncated HEAD requests have no body; the server goes on."""

    async def check(address: str) -> None:
        host, port = address.split(":")
        for request in (b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n", _TRUNCATED_HEAD_REQUEST):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(request)
            await stream.send_eof()
            answer = b"".join([data async for data in stream])
            assert answer.endswith(b"\r\n\r\n") or not answer, answer
        good = HttpRequest(method="POST", path="/", body=b"after")
        assert (await HttpClient().fetch(address, good)).unwrap().body == b"after"

    _with_server(check)


def test_refused_connection_reports_that_nothing_was_sent() -> None:
    """A refused connection gives an error that says that nothing was sent."""

    async def run() -> None:
        response = await HttpClient().fetch("127.0.0.1:1", HttpRequest(method="GET", path="/"))
        assert isinstance(response, Err)
        assert response.err_value.sent.value == "nothing"

    trio.run(run)


def test_connections_as_old_as_one_that_gave_no_answer_in_time_are_not_used_again() -> None:
    """All open connections have gone silent; the server answers on new ones."""

    async def run() -> None:
        silent: set[trio.SocketStream] = set()
        opened: list[trio.SocketStream] = []

        async def answer(stream: trio.SocketStream) -> None:
            opened.append(stream)
            while await stream.receive_some():
                if stream in silent:
                    await trio.sleep_forever()
                await trio.sleep(0.05)
                await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, answer, listeners)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            client, request = HttpClient(), HttpRequest(method="GET", path="/")
            async with trio.open_nursery() as fetches:
                for _ in range(3):
                    fetches.start_soon(client.fetch, address, request)
            silent.update(opened)
            assert (await client.fetch(address, request, timeout_s=0.2)).err_value.is_timeout
            assert (await client.fetch(address, request, timeout_s=5.0)).is_ok()
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_connection_waits_longer_for_a_silent_server_if_its_request_cannot_be_repeated() -> None:
    """A connection is set for each request anew, also when it is used again."""

    async def check(address: str) -> None:
        client = HttpClient(tcp_timeout_s=1.0, unrepeatable_tcp_timeout_s=3.0)
        request = HttpRequest(method="GET", path="/stream")
        for is_repeatable, limit_ms in ((False, 3_000), (True, 1_000), (False, 3_000)):
            async with client.stream(address, request, is_repeatable=is_repeatable) as opened:
                (connection,) = client._address_by_busy
                option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                assert connection.stream.socket.getsockopt(*option) == limit_ms
                await opened.unwrap().read_all(100)

    _with_server(check)


def test_connections_to_an_address_are_limited() -> None:
    """A request beyond the limit fails without being sent; a later one succeeds."""

    async def check(address: str) -> None:
        client = HttpClient(max_connections_per_address=1)
        request = HttpRequest(method="GET", path="/stream")
        async with client.stream(address, request) as first:
            assert first.is_ok()
            refused = await client.fetch(address, request)
            assert (
                refused.err_value.is_pool_exhausted
                and refused.err_value.sent is SendStatus.NOT_SENT
            )
        assert (await client.fetch(address, request)).is_ok()

    _with_server(check)


def test_shutdown_answers_requests_that_have_arrived() -> None:
    """On connections that are not accepted yet, and on those that were idle until then."""
    request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi"

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(_echo)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(4)]
            idle = connections[:2]
            for connection in idle:
                connection.sendall(request)
            for connection in idle:
                assert b"200" in await _read_some(connection)
            await trio.testing.wait_all_tasks_blocked()
            connections += [socket.create_connection(("127.0.0.1", port)) for _ in range(4)]
            for connection in connections:
                connection.sendall(request)
            server.begin_shutdown()
            for connection in connections:
                assert b"200" in await _read_some(connection)
                connection.close()

    trio.run(run)


def test_shutdown_ends_with_idle_connections_open() -> None:
    """Connections without a request are closed, whether they were accepted or not."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            server = HttpServer(_echo)
            port = await nursery.start(server.serve, "127.0.0.1", 0)
            connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(2)]
            await trio.testing.wait_all_tasks_blocked()
            connections += [socket.create_connection(("127.0.0.1", port)) for _ in range(2)]
            server.begin_shutdown()
            for connection in connections:
                assert await _read_some(connection) == b""
                connection.close()

    trio.run(run)


async def _read_some(connection: socket.socket) -> bytes:
    await trio.lowlevel.wait_readable(connection)
    return connection.recv(65_536)


load_tests = load_functions(globals())
