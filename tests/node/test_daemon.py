"""Tests of the whole daemon: start, readiness without a platform, malformed orders."""

import json
import socket
from collections.abc import Callable

import trio
from result import Ok

from lagoonfold.settings import Settings, parse_settings
from lagoonfold_io import HttpClient, HttpRequest, HttpResponse
from lagoonfold_node._app import wait_idle
from lagoonfold_node._node import Node
from tests._suite import load_functions


def _free_addresses(count: int) -> list[str]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def _settings() -> Settings:
    listen, peer, operator, absent = _free_addresses(4)
    text = f"""[instance]
id = i1
failure_domain = domain-a
listen = {listen}
peer = {peer}
operator = {operator}

[platform]
kv = {absent}
instance_list = {absent}
"""
    return parse_settings(text).unwrap()


def _with_node(check: Callable) -> None:
    async def run() -> None:
        node = Node(_settings())
        async with trio.open_nursery() as nursery:
            await nursery.start(node.serve)
            with trio.fail_after(20):
                await check(node)
            nursery.cancel_scope.cancel()

    trio.run(run)


async def _get(address: str, path: str) -> HttpResponse:
    fetched = await HttpClient().fetch(address, HttpRequest(method="GET", path=path))
    assert isinstance(fetched, Ok), fetched
    return fetched.ok_value


def test_without_a_platform_the_instance_is_live_but_not_ready() -> None:
    """The operators' API answers; callers are refused, since no key can be verified."""

    async def check(node: Node) -> None:
        operator, listen = node.settings.instance.operator, node.settings.instance.listen
        assert (await _get(operator, "/livez")).status == 200
        ready = await _get(operator, "/readyz")
        assert ready.status == 503 and json.loads(ready.body)["reason"]
        status = json.loads((await _get(operator, "/v1/status")).body)
        assert status["instance_id"] == "i1" and not status["ready"]
        assert b"lagoonfold_" in (await _get(operator, "/metrics")).body
        assert (await _get(operator, "/v1/owner/prg-1")).status == 503
        assert json.loads((await _get(operator, "/v1/explain/x")).body) == {"decisions": []}
        assert (await _get(operator, "/nothing")).status == 404
        request = HttpRequest(
            method="GET", path="/v1/programs/p", headers=(("authorization", "Bearer x"),)
        )
        refused = (await HttpClient().fetch(listen, request)).unwrap()
        assert json.loads(refused.body)["kind"] == "config-stale"
        await wait_idle(node)

    _with_node(check)


def test_a_malformed_order_is_refused() -> None:
    """A malformed order is refused before it is forwarded."""

    async def check(node: Node) -> None:
        for body in (b"", b"[]", b'{"upstream":"e","kind":"dance","name":"x"}'):
            request = HttpRequest(method="POST", path="/v1/orders", body=body)
            fetched = await HttpClient().fetch(node.settings.instance.operator, request)
            assert fetched.unwrap().status == 400

    _with_node(check)


load_tests = load_functions(globals())
