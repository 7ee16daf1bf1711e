"""Tests of the instance list adapter against the stand-in of the list."""

import gzip
import json
from collections.abc import Awaitable, Callable

import trio
from result import Err

from lagoonfold_io import (
    Exchange,
    HttpClient,
    HttpInstanceList,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from lagoonfold_io._instance_list import MAX_LIST_BYTES
from standins.instances import InstancesStandIn
from tests._suite import load_functions

_ENTRY = {
    "instance_id": "engine-1",
    "role": "engine",
    "address": "127.0.0.1:9000",
    "failure_domain": "domain-a",
}


class _List:
    """A stand-in's list and the adapter that reads it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.client = HttpClient()
        self.port = HttpInstanceList(self.client, address)

    async def publish(self, *entries: dict) -> None:
        body = json.dumps({"instances": entries}).encode()
        request = HttpRequest(method="PUT", path="/v1/instances", body=body)
        (await self.client.fetch(self.address, request)).unwrap()


def _with_list(check: Callable[[_List, list[int]], Awaitable[None]]) -> None:
    statuses: list[int] = []

    class CountingExchange:
        def __init__(self, exchange: Exchange) -> None:
            self._exchange = exchange

        async def respond(self, response) -> None:
            statuses.append(response.status)
            await self._exchange.respond(response)

    async def run() -> None:
        stand_in = InstancesStandIn(0.0)

        async def handle(request: HttpRequest, exchange: Exchange) -> None:
            await stand_in.handle(request, CountingExchange(exchange))

        async with trio.open_nursery() as nursery:
            port = await nursery.start(HttpServer(handle).serve, "127.0.0.1", 0)
            await check(_List(f"127.0.0.1:{port}"), statuses)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_an_unchanged_list_is_not_sent_again() -> None:
    """The second read is answered with 304 and returns the same entries."""

    async def check(served: _List, statuses: list[int]) -> None:
        await served.publish(_ENTRY)
        first = (await served.port.read()).unwrap()
        statuses.clear()
        assert (await served.port.read()).unwrap() == first
        assert statuses == [304]

    _with_list(check)


def test_a_changed_list_is_read_whole() -> None:
    """The next read returns a change, and so it does when the change is undone."""

    async def check(served: _List, statuses: list[int]) -> None:
        await served.publish(_ENTRY)
        assert len((await served.port.read()).unwrap()) == 1
        await served.publish()
        assert (await served.port.read()).unwrap() == ()
        await served.publish(_ENTRY)
        assert [entry.instance_id for entry in (await served.port.read()).unwrap()] == ["engine-1"]

    _with_list(check)


def test_a_damaged_body_is_an_error() -> None:
    """A compressed list that is truncated or expands beyond the limit is an error."""
    whole = gzip.compress(b'{"instances": []}')
    bodies = [whole, whole[:-1], gzip.compress(b" " * (MAX_LIST_BYTES + 1))]

    async def handle(_: HttpRequest, exchange: Exchange) -> None:
        coding = (("content-encoding", "gzip"),)
        await exchange.respond(HttpResponse(status=200, headers=coding, body=bodies.pop(0)))

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            port = await nursery.start(HttpServer(handle).serve, "127.0.0.1", 0)
            listed = HttpInstanceList(HttpClient(), f"127.0.0.1:{port}")
            assert (await listed.read()).unwrap() == ()
            assert isinstance(await listed.read(), Err)
            assert isinstance(await listed.read(), Err)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_an_unreadable_list_is_an_error() -> None:
    """A list that cannot be decoded is an error each time; the former list is not returned."""

    async def check(served: _List, statuses: list[int]) -> None:
        await served.publish(_ENTRY)
        (await served.port.read()).unwrap()
        await served.publish({"instance_id": 7})
        assert isinstance(await served.port.read(), Err)
        assert isinstance(await served.port.read(), Err)

    _with_list(check)


load_tests = load_functions(globals())
