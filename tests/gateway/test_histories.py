"""Turns that are kept: whole prompts at replicas, durable answers, lost and emptied disks."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial

import trio

from lagoonfold.forwarding import ClientAccount, ForwardConfig
from lagoonfold.histories import MAX_COPY_LAG_S, KeptTurn
from lagoonfold_gateway import DEFAULT_RETIREMENT, Gateway
from lagoonfold_gateway._messages import CopyOffer, Message, TurnQuery
from lagoonfold_gateway.storage._turn_server import TurnServer
from lagoonfold_io import SMALL_BYTES, HttpRequest, HttpResponse
from lagoonfold_io._memory_budget import SMALL_SHARE
from standins._ports import free_port
from standins.replica import EVENTS, NAMES
from tests._suite import load_functions
from tests.gateway._fleet import (
    HOST,
    KEY,
    Fleet,
    Storage,
    knows_disks,
    make_config,
    run_with_fleet,
    wait_until,
)

OTHER_KEY = "key-2"
ANSWER_TEXT = b"".join(b"part %d\n" % number for number in range(1, EVENTS + 1))
LONG_BYTES = 500_000
FILLED_BYTES = 15_000_000  # of the 20 MB of a disk, before a turn is refused
ASK_S = 5.0
UNANSWERED_S = 0.5  # longer than a disk that works takes by far


def _config(**options: object) -> ForwardConfig:
    """Return a configuration whose route for turns keeps histories, for two accounts."""
    config = make_config(**options)
    routes = tuple(
        replace(route, keeps_history=True, can_resume=False) if route.name == "turns" else route
        for route in config.routes
    )
    accounts = {KEY: ClientAccount(name="acme"), OTHER_KEY: ClientAccount(name="other")}
    return replace(config, routes=routes, accounts_by_key=accounts)


async def _send(
    fleet: Fleet,
    gateway: Gateway,
    body: bytes,
    *,
    turn_id: str,
    previous: str | None = None,
    key: str = KEY,
) -> HttpResponse:
    """Send a turn, and return the answer."""
    headers = [(NAMES.program, "program-1"), (NAMES.session_id, "line-1")]
    if previous is not None:
        headers.append((NAMES.previous_turn, previous))
    return await fleet.send(
        gateway,
        "/turns/x",
        body=body,
        key=key,
        headers=tuple(headers),
        request_id=turn_id,
    )


async def _is_answered_whole(fleet: Fleet, gateway: Gateway) -> bool:
    """Send a turn whose caller waits for 0.9 s; return whether it got a whole answer."""
    headers = (
        ("host", HOST),
        (NAMES.api_key, KEY),
        (NAMES.request_id, fleet.next_id()),
        (NAMES.deadline_ms, "900"),
    )
    request = HttpRequest(method="POST", path="/turns/x", headers=headers, body=b"<1>")
    answer = await fleet.client.fetch(
        gateway.settings.instance.listen, request, new_connection=True
    )
    return answer.is_ok() and answer.ok_value.status == 200


def _bodies(fleet: Fleet) -> list[bytes]:
    """Return the bodies that replicas have got, of turns only."""
    return [
        request.body
        for replica in fleet.replica_by_id.values()
        for request in replica.requests
        if request.path.startswith("/turns/")
    ]


def _holders(fleet: Fleet, turn_id: str, account: str = "acme") -> set[str]:
    """Return the running storage instances on whose disks a turn is."""
    key = f"{account}\n{turn_id}"
    return {
        name for name, storage in fleet.storage_by_name.items() if key in storage.node.turn_store
    }


async def _until_listed(storage: Storage) -> None:
    await wait_until(lambda: storage.node.registration.is_listed)


def _check(check: Callable, **options: object) -> None:
    run_with_fleet(check, **({"storage": "abc", "config": _config()} | options))


def test_replica_gets_the_whole_chain_whichever_instance_serves_a_turn() -> None:
    """Inputs and answers, oldest first, byte for byte the same; lines may fork."""

    async def check(fleet: Fleet) -> None:
        first, second = fleet.gateways
        await _send(fleet, first, b"<1>", turn_id="t1")
        await _send(fleet, second, b"<2>", turn_id="t2", previous="t1")
        await _send(fleet, first, b"<3>", turn_id="t3", previous="t2")
        await _send(fleet, second, b"<3'>", turn_id="t3b", previous="t2")
        one = b"<1>" + ANSWER_TEXT
        two = one + b"<2>" + ANSWER_TEXT
        expected = [b"<1>", one + b"<2>", two + b"<3>", two + b"<3'>"]
        assert sorted(_bodies(fleet)) == sorted(expected)

    _check(check, gateways=2)


def test_answer_ends_only_once_its_turn_is_on_two_disks() -> None:
    """With all disks but one stalled, the end is held back, and given once another one writes."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        stalled = list(fleet.storage_by_name.values())[1:]
        for storage in stalled:
            storage.file.may_write.clear()
        answers: list[HttpResponse] = []

        async def send() -> None:
            answers.append(await _send(fleet, gateway, b"<1>", turn_id="t1"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(UNANSWERED_S)
            assert not answers and len(_bodies(fleet)) == 1
            stalled[0].file.may_write.set()
        assert answers[0].status == 200 and len(_holders(fleet, "t1")) == 2
        stalled[1].file.may_write.set()

    _check(check)


def test_answer_whose_turn_cannot_be_kept_is_broken_off_visibly() -> None:
    """The caller must not take it for complete; the disks say why in the log and the metrics."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        for storage in list(fleet.storage_by_name.values())[1:]:
            storage.file.is_refusing = True
        assert not await _is_answered_whole(fleet, gateway)
        faults = [
            storage.node.metrics.counter_value("disk_faults")
            for storage in fleet.storage_by_name.values()
        ]
        assert sum(count > 0 for count in faults) == 2, faults

    _check(check)


def test_turn_that_could_not_be_kept_is_refused_before_it_runs() -> None:
    """While too few disks answer, a caller is told when to come back, and nothing runs."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        for name in ("s-b", "s-c"):
            await fleet.stop_storage(name)
        assert not await _is_answered_whole(fleet, gateway)
        ran = len(_bodies(fleet))
        refused = await _send(fleet, gateway, b"<2>", turn_id="t2")
        assert refused.status == 503 and float(refused.header("retry-after") or 0) > 0
        assert len(_bodies(fleet)) == ran

    _check(check, config=_config(timeout_s=1.0))


def test_unknown_turn_and_one_of_another_account_are_not_found() -> None:
    """404, and the other account's turn is in no prompt."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        await _send(fleet, gateway, b"<1>", turn_id="t1")
        for previous, key in (("unknown", KEY), ("t1", OTHER_KEY)):
            answer = await _send(fleet, gateway, b"<2>", turn_id="t2", previous=previous, key=key)
            assert answer.status == 404, (previous, answer)
        assert _bodies(fleet) == [b"<1>"]
        await _send(fleet, gateway, b"<o>", turn_id="t1", key=OTHER_KEY)
        await _send(fleet, gateway, b"<p>", turn_id="t3", previous="t1", key=OTHER_KEY)
        assert b"<o>" + ANSWER_TEXT + b"<p>" in _bodies(fleet)

    _check(check)


def test_turn_is_not_called_unknown_while_a_disk_or_the_list_cannot_be_read() -> None:
    """503 in place of 404: with a disk down, then with the store down."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        settings = await fleet.stop_storage("s-a")
        answer = await _send(fleet, gateway, b"<2>", turn_id="t2", previous="unknown")
        assert answer.status == 503 and answer.header("retry-after") is not None
        await fleet.restart_storage(settings)
        await wait_until(lambda: knows_disks(gateway, fleet))
        fleet.store.is_down = True
        answer = await _send(fleet, gateway, b"<2>", turn_id="t2", previous="unknown")
        assert answer.status == 503
        fleet.store.is_down = False
        await trio.sleep(1.0)
        answer = await _send(fleet, gateway, b"<2>", turn_id="t2", previous="unknown")
        assert answer.status == 404 and not _bodies(fleet)

    _check(check)


def test_turn_is_found_at_a_disk_that_the_gateway_does_not_know_yet() -> None:
    """A gateway whose watch hangs reads the list anew before it says that a turn is unknown."""

    async def check(fleet: Fleet) -> None:
        first, second = fleet.gateways
        fleet.store.are_watches_silent = True
        for name in ("s-a", "s-b"):
            await fleet.stop_storage(name)
        for name in ("s-d", "s-e"):
            storage = await fleet.add_storage(name, name[-1])
            await _until_listed(storage)
        (await first.disk_controller.read_now()).unwrap()
        assert (await _send(fleet, first, b"<1>", turn_id="t1")).status == 200
        assert len(second.board.disks.read() or ()) == 3
        answer = await _send(fleet, second, b"<2>", turn_id="t2", previous="t1")
        assert answer.status == 200 and b"<1>" + ANSWER_TEXT + b"<2>" in _bodies(fleet)

    _check(check, gateways=2, config=_config(timeout_s=4.0))


def test_gateway_that_reaches_no_disk_uses_them_through_another_one() -> None:
    """A cut between a gateway and all storage instances costs its callers nothing."""

    async def check(fleet: Fleet) -> None:
        cut, other = fleet.gateways
        await _send(fleet, other, b"<1>", turn_id="t1")
        for name in fleet.storage_by_name:
            # Nobody listens there: calls fail, as they do over a cut.
            cut.disk_bus.set_peer(name, f"127.0.0.1:{free_port()}")
        cut.disk_bus.set_peer = lambda name, address: None
        answer = await _send(fleet, cut, b"<2>", turn_id="t2", previous="t1")
        assert answer.status == 200 and b"<1>" + ANSWER_TEXT + b"<2>" in _bodies(fleet)
        assert len(_holders(fleet, "t2")) == 2
        answer = await _send(fleet, cut, b"<3>", turn_id="t3", previous="unknown")
        assert answer.status == 404
        fleet.kill(other)
        await wait_until(lambda: len(cut.board.live.read().ids) == 1)
        answer = await _send(fleet, cut, b"<4>", turn_id="t4", previous="unknown")
        assert answer.status == 503

    _check(check, gateways=2)


async def _check_line_goes_on_at_a_new_gateway(fleet: Fleet) -> None:
    """Send a turn that continues from `t1` to a gateway that has nothing in memory."""
    gateway = await fleet.add_gateway("g2", is_first_start=False)
    await wait_until(lambda: knows_disks(gateway, fleet))
    answer = await _send(fleet, gateway, b"<2>", turn_id="t2", previous="t1")
    assert answer.status == 200 and b"<1>" + ANSWER_TEXT + b"<2>" in _bodies(fleet)


def test_turns_survive_the_kill_of_all_instances() -> None:
    """Gateways and storage instances start again; the line goes on where it was."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        await _send(fleet, gateway, b"<1>", turn_id="t1")
        fleet.kill(gateway)
        stopped = [await fleet.stop_storage(name) for name in tuple(fleet.storage_by_name)]
        for settings in stopped:
            await fleet.restart_storage(settings)
        await _check_line_goes_on_at_a_new_gateway(fleet)

    _check(check)


def test_disk_that_is_lost_right_after_an_acknowledgement_is_filled_again() -> None:
    """One holder comes back empty; then the other holders are lost, and nothing is missing."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        await _send(fleet, gateway, b"<1>", turn_id="t1")
        for name in sorted(_holders(fleet, "t1")):
            await fleet.restart_storage(await fleet.stop_storage(name), wiped=True)
            await wait_until(lambda: len(_holders(fleet, "t1")) >= 2)
        fleet.kill(gateway)
        await _check_line_goes_on_at_a_new_gateway(fleet)

    _check(check)


def test_turns_of_a_disk_that_stays_away_are_copied_to_another_one() -> None:
    """A machine is replaced by an empty one at another address, and the other one is lost."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        await _send(fleet, gateway, b"<1>", turn_id="t1")
        gone, other = sorted(_holders(fleet, "t1"))
        await fleet.stop_storage(gone)
        await fleet.add_storage("s-new", gone[-1])
        await wait_until(lambda: len(_holders(fleet, "t1") - {other}) >= 1)
        await fleet.stop_storage(other)
        fleet.kill(gateway)
        await _check_line_goes_on_at_a_new_gateway(fleet)

    _check(check)


def test_disk_is_called_empty_only_with_all_its_turns_elsewhere() -> None:
    """While another disk is away "in progress" stands; a leaving disk takes no more turns."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        for number in range(4):
            await _send(fleet, gateway, b"<1>", turn_id=f"t{number}")
        leaving = sorted(_holders(fleet, "t1"))[0]
        away = next(name for name in fleet.storage_by_name if name != leaving)
        settings = await fleet.stop_storage(away)
        fleet.store.put(DEFAULT_RETIREMENT.request_prefix + leaving, b"{}")
        answer_key = DEFAULT_RETIREMENT.answer_prefix + leaving
        await wait_until(lambda: fleet.store.value(answer_key) is not None)
        await trio.sleep(2.0)
        assert fleet.store.value(answer_key) == DEFAULT_RETIREMENT.encode_state(False)
        await fleet.restart_storage(settings)
        done = DEFAULT_RETIREMENT.encode_state(True)
        await wait_until(lambda: fleet.store.value(answer_key) == done)
        await fleet.stop_storage(leaving)
        for number in range(4):
            assert len(_holders(fleet, f"t{number}")) == 2
        fleet.kill(gateway)
        gateway = await fleet.add_gateway("g2", is_first_start=False)
        await wait_until(lambda: knows_disks(gateway, fleet))
        answer = await _send(fleet, gateway, b"<2>", turn_id="t9", previous="t1")
        assert answer.status == 200
        assert len(_holders(fleet, "t9")) == 2

    _check(check)


def test_cached_turns_are_read_while_a_disk_stalls() -> None:
    """Neither the gateway's nor the storage instance's memory waits for the disk."""

    async def check(fleet: Fleet) -> None:
        first, second = fleet.gateways
        await _send(fleet, first, b"<1>", turn_id="t1")
        stalled = fleet.storage_by_name[sorted(_holders(fleet, "t1"))[0]]
        stalled.file.may_write.clear()
        for gateway in (first, second):
            answer = await _send(
                fleet, gateway, b"<2>", turn_id=f"by-{gateway.bus.own_id}", previous="t1"
            )
            assert answer.status == 200
        reads = [storage.file.reads for storage in fleet.storage_by_name.values()]
        assert sum(reads) == 0, reads
        stalled.file.may_write.set()

    _check(check, gateways=2)


def test_turns_that_do_not_fit_into_memory_are_read_from_the_disk() -> None:
    """A cache that holds nothing of a turn of over a megabyte; the line goes on all the same."""

    async def check(fleet: Fleet) -> None:
        first, second = fleet.gateways
        for name in "ab":
            await fleet.add_storage(f"s-{name}", name, cache_mb=1)
        await wait_until(lambda: all(knows_disks(gateway, fleet) for gateway in fleet.gateways))
        large = b"x" * 1_500_000
        await _send(fleet, first, large, turn_id="t1")
        answer = await _send(fleet, second, b"<2>", turn_id="t2", previous="t1")
        assert answer.status == 200 and large + ANSWER_TEXT + b"<2>" in _bodies(fleet)
        assert sum(storage.file.reads for storage in fleet.storage_by_name.values()) > 0

    _check(check, gateways=2, storage="")


def test_chain_is_kept_for_as_long_as_its_newest_turn() -> None:
    """Older turns of a line that goes on are renewed, others expire and leave the disk."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        await _send(fleet, gateway, b"<1>", turn_id="t1")
        await _send(fleet, gateway, b"<x>", turn_id="x")
        await _send(fleet, gateway, b"<2>", turn_id="t2", previous="t1")
        await trio.sleep(1.6)
        await _send(fleet, gateway, b"<3>", turn_id="t3", previous="t2")
        await trio.sleep(1.2)
        assert not any(
            storage.node.turn_store.kept_for_s("acme\nx")
            for storage in fleet.storage_by_name.values()
        )
        fleet.kill(gateway)
        gateway = await fleet.add_gateway("g2", is_first_start=False)
        await wait_until(lambda: knows_disks(gateway, fleet))
        answer = await _send(fleet, gateway, b"<4>", turn_id="t4", previous="t3")
        assert answer.status == 200, answer
        chain = b"".join(b"<%d>" % number + ANSWER_TEXT for number in (1, 2, 3))
        assert chain + b"<4>" in _bodies(fleet)

    _check(check, config=_config(retention_s=1.3))


def test_copy_on_a_disk_that_was_away_is_kept_for_as_long_as_the_others() -> None:
    """It missed a renewal and expired early, and two more losses lost the turn (LOST, review/8)."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways

        def left_s(name: str) -> float:
            return fleet.storage_by_name[name].node.turn_store.kept_for_s("acme\nt1")

        await _send(fleet, gateway, b"<1>", turn_id="t1")
        away, other = sorted(_holders(fleet, "t1"))
        await trio.sleep(4.0)
        before_s = left_s(away)
        settings = await fleet.stop_storage(away)
        await _send(fleet, gateway, b"<2>", turn_id="t2", previous="t1")
        await fleet.restart_storage(settings)
        assert left_s(other) > before_s + MAX_COPY_LAG_S
        await wait_until(lambda: left_s(away) >= left_s(other) - MAX_COPY_LAG_S)
        assert left_s(away) > 0

    _check(check, config=_config(retention_s=5.0))


def test_age_of_a_turn_counts_only_while_its_instance_runs() -> None:
    """Neither a restart nor the time before it shortens what is left."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        await _send(fleet, gateway, b"<1>", turn_id="t1")
        name = sorted(_holders(fleet, "t1"))[0]
        before_s = fleet.storage_by_name[name].node.turn_store.kept_for_s("acme\nt1")
        settings = await fleet.stop_storage(name)
        await trio.sleep(1.0)
        storage = await fleet.restart_storage(settings)
        assert storage.node.turn_store.kept_for_s("acme\nt1") > before_s - 0.5

    _check(check)


def test_turns_that_do_not_fit_on_the_disks_are_refused_until_others_expire() -> None:
    """They were run and cut off, and so was each later one: disks stayed full (LOST, review/7)."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        statuses = []
        while 503 not in statuses:
            answer = await _send(fleet, gateway, b"x" * LONG_BYTES, turn_id=f"t{len(statuses)}")
            assert answer.status == 200 or answer.header("retry-after"), answer
            statuses.append(answer.status)
        assert statuses.count(200) * LONG_BYTES > FILLED_BYTES
        assert len(_bodies(fleet)) == statuses.count(200)
        stores = [storage.node.turn_store for storage in fleet.storage_by_name.values()]
        assert not any(store.last_fault for store in stores)
        with trio.fail_after(30.0):
            while (await _send(fleet, gateway, b"<1>", turn_id=fleet.next_id())).status != 200:
                await trio.sleep(0.1)

    _check(check, config=_config(retention_s=4.0))


def test_disk_that_is_full_to_the_last_page_takes_turns_again_once_others_expire() -> None:
    """Turns that had expired were deleted only together with new ones, which did not fit."""

    async def check(fleet: Fleet) -> None:
        store = next(iter(fleet.storage_by_name.values())).node.turn_store

        def turns(count: int, label: str) -> tuple[KeptTurn, ...]:
            return tuple(
                KeptTurn(f"{label}{number}", "acme", None, "p", b"x" * LONG_BYTES, b"")
                for number in range(count)
            )

        count = 0
        while (await store.keep(turns(1, f"first{count}-"), (3.0,))).is_ok():
            count += 1
        most = turns(count - 2, "second")
        assert (await store.keep(most, (60.0,) * len(most))).is_err()
        await trio.sleep(3.5)
        with trio.fail_after(30.0):
            while (await store.keep(most, (60.0,) * len(most))).is_err():
                await trio.sleep(0.1)

    _check(check)


def test_messages_of_the_build_before_are_answered_as_before() -> None:
    """Its questions state no memory, and its offers no times."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        body = b"x" * LONG_BYTES
        await _send(fleet, gateway, body, turn_id="t1")
        name = sorted(_holders(fleet, "t1"))[0]
        call = partial(gateway.disk_bus.call, name, timeout_s=ASK_S)
        found = await call(TurnQuery(turn_id="t1", account="acme"))
        assert found.ok_value.turns[0].request == body
        too_large = await call(TurnQuery(turn_id="t1", account="acme", max_bytes=1_000))
        assert too_large.ok_value.size_bytes == LONG_BYTES + len(ANSWER_TEXT)
        keys = ("acme\nt1", "acme\nt9")
        assert (await call(CopyOffer(keys=keys))).ok_value.keys == ("acme\nt9",)
        offer = CopyOffer(keys=keys, kept_for_s=(10_000.0, 10_000.0))
        assert (await call(offer)).ok_value.keys == keys

    _check(check)


def test_storage_instance_of_the_build_before_answers_with_turns_of_any_size() -> None:
    """It does not know how much memory the gateway has reserved for its answer."""

    async def check(fleet: Fleet) -> None:
        (gateway,) = fleet.gateways
        body = b"x" * LONG_BYTES
        await _send(fleet, gateway, body, turn_id="t1")
        for storage in fleet.storage_by_name.values():
            server = storage.node.turn_server

            def answer(query: TurnQuery, server: TurnServer = server) -> Awaitable[Message]:
                return server._handle_query(TurnQuery(query.turn_id, query.account))

            storage.node.bus.register_handler(TurnQuery)(answer)
        fleet.kill(gateway)
        gateway = await fleet.add_gateway("g2", is_first_start=False)
        await wait_until(lambda: knows_disks(gateway, fleet))
        memory = gateway.caller_limits.memory
        claim = memory.open(now_s=0.0)
        memory.hold(claim, int(memory.max_bytes * (1 - SMALL_SHARE)) - SMALL_BYTES)
        answer = await _send(fleet, gateway, b"<2>", turn_id="t2", previous="t1")
        assert answer.status == 200 and body + ANSWER_TEXT + b"<2>" in _bodies(fleet)
        memory.close(claim)
        await wait_until(lambda: not memory.used_bytes)

    _check(check)


load_tests = load_functions(globals())
