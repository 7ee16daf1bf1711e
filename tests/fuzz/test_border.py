"""Malformed input to the callers', operators' and peers' ports of a running instance."""

import errno
import http.client
import json
import socket
from contextlib import closing

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from standins.fleet import call, is_ready, wait_until
from tests._suite import load_functions
from tests.failure._world import world
from tests.fuzz._strategies import orders, requests

ANSWER_TIMEOUT_S = 5.0
_SETTINGS = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)
_ORDER_STATUSES = {200, 400, 404}
_KNOWN_STATUSES = {*range(200, 206), *range(400, 500), 503, 504}


def _exchange(address: str, data: bytes) -> bytes:
    """Send bytes, shut down the sending side, and return all bytes received until the end."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=ANSWER_TIMEOUT_S) as connection:
        received = b""
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65_536):
                received += chunk
        except ConnectionError:
            pass
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                raise
        return received


def _check(address: str, data: bytes) -> None:
    answer = _exchange(address, data)
    if answer:
        status = int(answer.split(b" ", 2)[1])
        assert status in _KNOWN_STATUSES, (data, answer)


def _check_healthy(operator: str, log: str) -> None:
    """Check that the instance is ready, and has counted no fault and logged no traceback."""
    wait_until(lambda: is_ready(operator, "/readyz"), "the instance ready")
    metrics = call("GET", operator, "/metrics")[1].decode()
    assert "lagoonfold_faults_total{" not in metrics, metrics
    assert "Traceback" not in log


def test_callers_port() -> None:
    """Every malformed request gets a 4xx or a closed connection; none hangs or counts a fault."""
    shared_world = world()
    handle = shared_world.fleet.instances_by_id["i1"]

    @_SETTINGS
    @given(requests(shared_world.key))
    def run(data: bytes) -> None:
        _check(handle.listen, data)

    run()
    _check_healthy(handle.operator, handle.process.output())
    assert "lagoonfold_refusals_total" in call("GET", handle.operator, "/metrics")[1].decode()


def test_operators_port() -> None:
    """Malformed requests to the operators' port are answered likewise."""
    shared_world = world()
    handle = shared_world.fleet.instances_by_id["i2"]

    @_SETTINGS
    @given(requests(shared_world.key))
    def run(data: bytes) -> None:
        _check(handle.operator, data)

    run()
    _check_healthy(handle.operator, handle.process.output())


def test_orders() -> None:
    """Every order is either carried out, or refused with the statement that it did not run."""
    shared_world = world()
    handle = shared_world.fleet.instances_by_id["i2"]

    @_SETTINGS
    @given(orders())
    def run(body: bytes) -> None:
        connection = http.client.HTTPConnection(handle.operator, timeout=ANSWER_TIMEOUT_S)
        with closing(connection):
            connection.request("POST", "/v1/orders", body)
            response = connection.getresponse()
            status, answer = response.status, response.read()
        reply = json.loads(answer)
        assert status in _ORDER_STATUSES, (body, answer)
        assert status == 200 or reply["ran"] == "no", (body, answer)

    run()
    _check_healthy(handle.operator, handle.process.output())


def test_peer_port() -> None:
    """Bytes that are not a peer message are dropped, and the instance stays ready."""
    shared_world = world()
    handle = shared_world.fleet.instances_by_id["i3"]

    @_SETTINGS
    @given(st.binary(min_size=1, max_size=200))
    def run(data: bytes) -> None:
        _exchange(handle.peer, data)

    run()
    _check_healthy(handle.operator, handle.process.output())


load_tests = load_functions(globals())
