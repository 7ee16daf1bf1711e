"""Forwarded requests as callers and replicas see them, with replicas that fail."""

import trio

from lagoonfold_gateway import DEFAULT_DIALECT
from standins.replica import EVENTS
from tests._suite import load_functions
from tests.gateway._fleet import HOST, KEY, Fleet, make_config, run_with_fleet, wait_until

NAMES = DEFAULT_DIALECT.headers
WHOLE_STREAM = b"".join(b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, EVENTS + 1))


def test_forwarded_request_has_the_headers_set_by_the_system() -> None:
    """A replica gets the body, the account and the time left, but no API key or forged headers."""

    async def check(fleet: Fleet) -> None:
        forged = ((NAMES.account, "other"), (NAMES.expected_replica, "r9"), ("x-own", "kept"))
        answer = await fleet.send(
            fleet.gateways[0], "/read/a?b=c", body=b"body", headers=forged, deadline_ms=900
        )
        assert (answer.status, answer.body) == (200, b"echo:body")
        (replica,) = [replica for replica in fleet.replica_by_id.values() if replica.requests]
        (seen,) = replica.requests
        assert seen.target == "/read/a?b=c"
        assert seen.header("host") == HOST
        assert seen.header(NAMES.account) == "acme"
        assert seen.header(NAMES.expected_replica) == replica.replica_id
        assert seen.header(NAMES.api_key) is None
        assert seen.header("x-own") == "kept"
        assert 0 < int(seen.header(NAMES.deadline_ms) or 0) <= 900

    run_with_fleet(check)


def test_requests_that_are_not_admitted() -> None:
    """An unknown route, an unknown API key and an invalid header get their own statuses."""

    async def check(fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        assert (await fleet.send(gateway, "/nowhere/")).status == 404
        assert (await fleet.send(gateway, "/read/a", key="unknown")).status == 401
        assert (await fleet.send(gateway, "/read/a", key=None)).status == 401
        assert (await fleet.send(gateway, "/open/a", key=None)).status == 200
        bad = ((NAMES.prompt_parts, "no-tokens"),)
        assert (await fleet.send(gateway, "/read/a", headers=bad)).status == 400

    run_with_fleet(check)


def test_instance_without_configuration_refuses_and_is_not_ready() -> None:
    """Before the first configuration the answer is 503 with a time to retry."""

    async def check(fleet: Fleet) -> None:
        fleet.store.is_down = True
        fleet.store.cut_watches()
        gateway = await fleet.add_gateway("late")
        answer = await fleet.send(gateway, "/read/a")
        assert answer.status == 503 and float(answer.header("retry-after") or 0) > 0
        assert not gateway.is_ready()

    run_with_fleet(check)


def test_stream_passes_event_by_event() -> None:
    """The caller gets all events of a stream, or those after the last one that it has."""

    async def check(fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        assert (await fleet.send(gateway, "/turns/a")).body == WHOLE_STREAM
        rest = await fleet.send(gateway, "/turns/a", headers=((NAMES.last_event, "3"),))
        assert rest.body == WHOLE_STREAM[WHOLE_STREAM.index(b"id: 4") :]

    run_with_fleet(check)


def test_broken_stream_is_resumed_within_one_answer() -> None:
    """A stream that breaks off within an event reaches the caller whole."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.break_after = 2
        answer = await fleet.send(fleet.gateways[0], "/turns/a")
        assert answer.body == WHOLE_STREAM

    run_with_fleet(check)


def test_at_most_once_request_is_not_repeated_after_a_lost_answer() -> None:
    """An at-most-once request runs once; the status after its loss does not say "not run"."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.losses = 1
        answer = await fleet.send(fleet.gateways[0], "/write/a", request_id="once")
        assert answer.status == 502
        runs = [replica.runs_by_request["once"] for replica in fleet.replica_by_id.values()]
        assert sum(runs) == 1

    run_with_fleet(check)


def test_request_that_was_not_run_is_sent_to_another_replica() -> None:
    """A replica's refusal as not run allows an attempt of an at-most-once request at another."""

    async def check(fleet: Fleet) -> None:
        fleet.replica_by_id["r1"].behaviour.refusals = 1
        fleet.replica_by_id["r2"].behaviour.refusals = 1
        answer = await fleet.send(fleet.gateways[0], "/write/a", request_id="once")
        assert answer.status == 200
        runs = [replica.runs_by_request["once"] for replica in fleet.replica_by_id.values()]
        assert sum(runs) == 1

    run_with_fleet(check)


def test_repeatable_request_is_repeated_after_a_lost_answer() -> None:
    """A repeatable request is answered although an answer was lost."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.losses = 1
        assert (await fleet.send(fleet.gateways[0], "/read/a")).status == 200

    run_with_fleet(check, config=make_config(max_upstreams=3))


def test_answer_to_another_request_is_not_relayed() -> None:
    """An answer with another request's id reaches no caller."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.wrong_id = True
        assert (await fleet.send(fleet.gateways[0], "/write/a")).status == 502

    run_with_fleet(check)


def test_timeout_after_the_request_was_sent() -> None:
    """The status at the route's timeout does not say "not run", and the attempt is cancelled."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 60.0
        answer = await fleet.send(fleet.gateways[0], "/write/a")
        assert answer.status == 504
        await wait_until(lambda: sum(r.abandoned for r in fleet.replica_by_id.values()) == 1)

    run_with_fleet(check, config=make_config(timeout_s=0.3))


def test_refusal_without_a_replica_has_a_time_to_retry() -> None:
    """Without any replica the answer is 503 with a time to retry."""

    async def check(fleet: Fleet) -> None:
        answer = await fleet.send(fleet.gateways[0], "/write/a")
        assert answer.status == 503 and answer.header("retry-after")

    run_with_fleet(check, replicas=0, config=make_config(timeout_s=5.0))


def test_caller_that_leaves_cancels_its_request() -> None:
    """When the caller closes its connection, the replica's is closed as well."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 60.0
        with trio.move_on_after(0.3):
            await fleet.send(fleet.gateways[0], "/read/a")
        await wait_until(lambda: sum(r.abandoned for r in fleet.replica_by_id.values()) == 1)

    run_with_fleet(check, config=make_config(timeout_s=30.0))


def test_request_that_crashes_replicas_is_refused_everywhere() -> None:
    """After two crashes no instance forwards the request, while others are answered."""

    async def check(fleet: Fleet) -> None:
        for replica in fleet.replica_by_id.values():
            replica.behaviour.crashes_on = b"bad"
        first, second = fleet.gateways
        for gateway in (first, second):
            answer = await fleet.send(gateway, "/write/a", body=b"bad")
            assert answer.status == 502
        crashed = sum(len(replica.requests) for replica in fleet.replica_by_id.values())
        with trio.fail_after(10):
            while (await fleet.send(first, "/write/a", body=b"bad")).status != 422:
                await trio.sleep(0.05)
            while (await fleet.send(second, "/write/a", body=b"bad")).status != 422:
                await trio.sleep(0.05)
        assert (await fleet.send(first, "/write/a", body=b"good")).status == 200
        assert crashed == 2

    run_with_fleet(check, gateways=2, replicas=5)


def test_requests_that_are_not_answered_by_the_end_of_a_stop_get_a_final_answer() -> None:
    """They were passed on and then cut without one, also those that may run once only (LOST)."""

    async def check(fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        for replica in fleet.replica_by_id.values():
            replica.behaviour.answer_after_s = 20.0
        outcomes: list[tuple[str, int]] = []

        async def send(path: str, delay_s: float) -> None:
            await trio.sleep(delay_s)
            answer = await fleet.send(gateway, path, deadline_ms=15_000)
            outcomes.append((path, answer.status))

        async with trio.open_nursery() as nursery:
            for path, delay_s in (("/write/a", 0.0), ("/read/a", 0.0), ("/write/b", 0.6)):
                nursery.start_soon(send, path, delay_s)
            await trio.sleep(0.5)
            nursery.start_soon(gateway.stop)
        expected = [("/read/a", 504), ("/write/a", 504), ("/write/b", 504)]
        assert sorted(outcomes) == expected, outcomes

    run_with_fleet(check, config=make_config(timeout_s=15.0))


def test_withdrawn_key_and_new_route_take_effect() -> None:
    """A newer configuration takes effect; an older one that arrives later is ignored."""

    async def check(fleet: Fleet) -> None:
        gateway = fleet.gateways[0]
        newer = make_config(version=3)
        newer.accounts_by_key.clear()
        fleet.put_config(newer)
        await wait_until(lambda: gateway.board.config.read().config.version == 3)
        assert (await fleet.send(gateway, "/read/a", key=KEY)).status == 401
        fleet.put_config(make_config(version=2))
        await wait_until(lambda: gateway.config_controller.watch.revision == fleet.store.revision)
        assert (await fleet.send(gateway, "/read/a", key=KEY)).status == 401

    run_with_fleet(check)


async def _end_silences_after_first(fleet: Fleet) -> None:
    """Wait until one replica has been silent, then let all others answer."""
    replicas = fleet.replica_by_id.values()
    await wait_until(lambda: any(replica.behaviour.silences == 0 for replica in replicas))
    for replica in replicas:
        replica.behaviour.silences = 0


def test_idempotent_request_whose_answer_was_lost_is_answered_before_its_deadline() -> None:
    """The replica runs it and says nothing; it is sent once more, one that may not be is not."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        for _ in range(30):
            assert (await fleet.send(gateway, "/read/a")).status == 200
        replicas = fleet.replica_by_id.values()
        for _ in range(3):
            for replica in replicas:
                replica.behaviour.silences = 1
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_end_silences_after_first, fleet)
                began_s = trio.current_time()
                assert (await fleet.send(gateway, "/read/a", deadline_ms=5_000)).status == 200
            assert trio.current_time() - began_s < 2.5
        for replica in replicas:
            replica.behaviour.silences = 1
        before = sum(len(replica.requests) for replica in replicas)
        assert (await fleet.send(gateway, "/write/a", deadline_ms=1_000)).status == 504
        after = sum(len(replica.requests) for replica in replicas)
        assert after == before + 1

    run_with_fleet(check, config=make_config(max_upstreams=3))


def test_late_copy_of_an_answer_does_not_go_to_the_next_request() -> None:
    """The copy comes on the reused connection before the next request's own answer."""

    async def check(fleet: Fleet) -> None:
        (gateway,), (replica,) = fleet.gateways, fleet.replica_by_id.values()
        replica.behaviour.late_copies = 10
        for number in range(10):
            body = b"number %d" % number
            answer = await fleet.send(gateway, "/write/a", body=body, deadline_ms=2_000)
            assert answer.status == 200 and answer.body == b"echo:" + body, answer
        assert set(replica.runs_by_request.values()) == {1}
        assert replica.behaviour.late_copies == 0

    run_with_fleet(check, replicas=1)


def test_refusal_that_a_replica_writes_once_more_is_not_that_of_the_next_request() -> None:
    """It comes on a kept connection, with the id of the refused request or without one."""

    async def check(fleet: Fleet) -> None:
        gateway, replica = fleet.gateways[0], fleet.replica_by_id["r1"]
        for status in (503, 429, 408, 421, 400):
            for id_line in (f"{NAMES.request_id}: refused\r\n", ""):
                assert (await fleet.send(gateway, "/write/a")).status == 200
                head = f"HTTP/1.1 {status} Refused\r\n{NAMES.not_run}: 1\r\n{id_line}"
                replica.behaviour.stale = f"{head}content-length: 0\r\n\r\n".encode()
                request_id = fleet.next_id()
                answer = await fleet.send(gateway, "/write/a", request_id=request_id)
                assert not replica.behaviour.stale
                assert replica.runs_by_request[request_id] == 1, (status, id_line)
                assert answer.status in (200, 502), (status, id_line, answer)

    run_with_fleet(check, replicas=1)


def test_answer_without_an_id_on_a_kept_connection_is_not_that_of_the_next_request() -> None:
    """A replica had written it after a whole answer, and the next caller got it as a success."""

    async def check(fleet: Fleet) -> None:
        gateway, replica = fleet.gateways[0], fleet.replica_by_id["r1"]
        for path in ("/write/a", "/read/a"):
            for status in (200, 500):
                assert (await fleet.send(gateway, path)).status == 200
                head = f"HTTP/1.1 {status} Late\r\n{NAMES.signature}: r1\r\n"
                replica.behaviour.stale = f"{head}content-length: 5\r\n\r\nwrong".encode()
                answer = await fleet.send(gateway, path)
                assert not replica.behaviour.stale
                assert answer.body != b"wrong", (path, status, answer)
                assert answer.status in (200, 502), (path, status, answer)

    run_with_fleet(check, replicas=1)


def test_slow_sound_stream_is_not_cut_and_a_trickling_one_ends_in_time() -> None:
    """Bytes that are no events do not keep a stream open beyond the caller's deadline."""

    async def check(fleet: Fleet) -> None:
        (gateway,), (replica,) = fleet.gateways, fleet.replica_by_id.values()
        for _ in range(30):
            assert (await fleet.send(gateway, "/turns/x", deadline_ms=10_000)).status == 200
        replica.behaviour.event_pause_s = 0.4
        answer = await fleet.send(gateway, "/turns/x", deadline_ms=10_000)
        assert answer.status == 200 and answer.body.count(b"data: part") == EVENTS
        replica.behaviour.trickle_pause_s = 0.02
        with trio.fail_after(5.0):
            answer = await fleet.send(gateway, "/turns/x", deadline_ms=500)
            assert answer.status == 504
            await wait_until(lambda: replica.abandoned == 1)

    run_with_fleet(check, replicas=1, config=make_config(timeout_s=10.0))


load_tests = load_functions(globals())
