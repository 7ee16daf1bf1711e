"""The `where` command against gateways, and instances that give no explanation."""

import json
import subprocess
import sys

import trio
from result import Err

from lagoonfold.placement import ReplicaPool
from lagoonfold.rates import RateLimit
from lagoonfold_gateway import Gateway
from lagoonfold_gateway._admin_endpoints import serve_metrics
from lagoonfold_gateway.explaining import ExplainEndpoint
from lagoonfold_io import HttpClient, HttpRequest, HttpResponse
from lagoonfold_io.observe import Metrics
from standins._ports import free_port
from tests._suite import load_functions
from tests.gateway._fleet import HOST, KEY, Fleet, make_config, run_with_fleet

CONFIG = make_config(limit=RateLimit(rate_per_s=0.1, burst=2))
REQUEST = ("--host", HOST, "--path", "/read/a", "--account", "acme")


async def _where(*words: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "lagoonfold_ctl", "where", *words]
    return await trio.run_process(command, capture_stdout=True, capture_stderr=True, check=False)


def _at(*gateways: Gateway) -> str:
    return ",".join(gateway.settings.instance.metrics for gateway in gateways)


def _owner(fleet: Fleet, subject: str) -> Gateway:
    return next(gateway for gateway in fleet.gateways if gateway.members.owns(subject))


async def _post(address: str, body: bytes, path: str = "/explain") -> HttpResponse:
    client = HttpClient()
    request = HttpRequest(method="POST", path=path, body=body)
    answer = await client.fetch(address, request, timeout_s=5.0)
    client.close()
    return answer.unwrap()


def test_where_tells_where_a_request_would_go_without_sending_it() -> None:
    """The owners' figures are shown, nothing reaches a replica, and no token is taken."""

    async def check(fleet: Fleet) -> None:
        for _ in range(2):
            shown = await _where("--at", _at(*fleet.gateways), *REQUEST, "--json")
            assert shown.returncode == 0, shown.stderr
            document = json.loads(shown.stdout)
            told = document["explanation"]
            assert told["account"]["tokens"] == 2 and told["account"]["is_owned"]
            assert told["account"]["owner"] == _owner(fleet, "acme").bus.own_id
            assert (
                told["pools"][0]["owner"] == _owner(fleet, ReplicaPool("models").subject).bus.own_id
            )
            assert told["verdict"]["outcome"] == "served" and not told["verdict"]["not_asked"]
            assert told["verdict"]["replica_id"] in fleet.replica_by_id
            assert len(told["pools"][0]["replicas"]) == 2
            assert [each["answer"] for each in document["instances"]] == ["explains"] * 3
            assert KEY not in shown.stdout.decode()
        text = (await _where("--at", _at(*fleet.gateways), *REQUEST)).stdout.decode()
        assert "by term ms" in text and "2.0 tokens left" in text and "outcome" in text
        assert not any(replica.requests for replica in fleet.replica_by_id.values())
        for gateway in fleet.gateways:
            assert all(gateway.replica_tracker.requests_at(r, now_s=1e9) == 0 for r in ("r1", "r2"))
        for _ in range(2):
            assert (await fleet.send(fleet.gateways[0], "/read/a")).status == 200
        refused = await _where("--at", _at(*fleet.gateways), *REQUEST)
        assert refused.returncode == 1 and b"429" in refused.stdout, refused.stdout

    run_with_fleet(check, gateways=3, config=CONFIG, serves_metrics=True)


def test_where_names_owners_that_were_not_asked() -> None:
    """What another instance knows of an account or a pool must not pass for its owner's word."""

    async def check(fleet: Fleet) -> None:
        pool_owner = _owner(fleet, ReplicaPool("models").subject)
        asked = next(gateway for gateway in fleet.gateways if gateway is not pool_owner)
        shown = await _where("--at", _at(asked), *REQUEST)
        expected = f"owner {pool_owner.bus.own_id} was not asked"
        assert shown.returncode == 0 and expected in shown.stdout.decode(), shown
        both = await _where("--at", _at(asked, pool_owner), *REQUEST)
        assert expected not in both.stdout.decode()

    run_with_fleet(check, gateways=2, config=CONFIG, serves_metrics=True)


def test_where_shows_instances_that_give_no_explanation() -> None:
    """One that is silent, closed, of the build before or without configuration hides no other."""

    async def be_silent(stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async def check(fleet: Fleet) -> None:
        old, bare, closed = (f"127.0.0.1:{free_port()}" for _ in range(3))
        new = Gateway(
            fleet.gateways[0].settings,
            fleet.gateways[0].forwarder._context.dialect,
            fleet.view_by_gateway["g1"],
            fleet.nursery,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_metrics, old, Metrics())
            explain = ExplainEndpoint(new.explainer).handle
            await nursery.start(serve_metrics, bare, Metrics(), explain)
            listeners = await nursery.start(trio.serve_tcp, be_silent, 0)
            silent = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            others = [old, bare, closed, silent]
            at = ",".join([*others, _at(fleet.gateways[0])])
            with trio.fail_after(30):
                shown = await _where("--at", at, *REQUEST, "--json")
            document = json.loads(shown.stdout)
            assert [each["answer"] for each in document["instances"]] == [
                "does not explain",
                "has no configuration yet",
                "no answer",
                "no answer",
                "explains",
            ]
            assert document["explanation"]["instance"] == "g1" and shown.returncode == 0
            alone = await _where("--at", bare, *REQUEST)
            assert alone.returncode == 1 and b"no configuration" in alone.stdout
            none = await _where("--at", f"{old},{closed}", *REQUEST)
            assert none.returncode == 3 and b"no instance explains" in none.stderr
            nursery.cancel_scope.cancel()

    run_with_fleet(check, config=CONFIG, serves_metrics=True)


def test_metrics_port_answers_everything_else_as_before() -> None:
    """A faulty or large body is refused; other paths and methods still give the metrics."""

    async def check(fleet: Fleet) -> None:
        address = _at(fleet.gateways[0])
        faulty = await _post(address, b'{"host": 1}')
        assert faulty.status == 400 and b"path: is missing" in faulty.body
        assert (await _post(address, b" " * 16_385)).status == 413
        assert (await _post(address, b"", path="/other")).body.startswith(b"#")
        client = HttpClient()
        page = await client.fetch(
            address, HttpRequest(method="GET", path="/explain"), timeout_s=5.0
        )
        client.close()
        assert not isinstance(page, Err) and page.ok_value.body.startswith(b"#")

    run_with_fleet(check, serves_metrics=True)


def test_where_says_what_is_wrong_with_its_options() -> None:
    """All faults are named at once, with the status of a usage error."""

    async def check() -> None:
        wrong = await _where("--at", "x", "--host", "a", "--path", "b", "--parts", "c")
        assert wrong.returncode == 2
        assert all(name in wrong.stderr for name in (b"--at", b"--path", b"--parts"))
        nobody = await _where("--at", f"127.0.0.1:{free_port()}", *REQUEST)
        assert nobody.returncode == 3 and b"no instance responds" in nobody.stderr

    trio.run(check)


load_tests = load_functions(globals())
