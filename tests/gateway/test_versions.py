"""Streams go on at replicas of the software version that began them."""

from collections import Counter
from collections.abc import Awaitable
from dataclasses import replace

from lagoonfold.forwarding import ForwardConfig, WeightedService
from lagoonfold_gateway import Gateway
from lagoonfold_gateway._messages import Ack, Message, StreamOriginNote
from lagoonfold_io import HttpRequest, HttpResponse
from standins.replica import EVENTS, NAMES, Behaviour, Replica
from tests._suite import load_functions
from tests.gateway._fleet import HOST, KEY, Fleet, make_config, run_with_fleet, wait_until

STREAMS = 8
PATH = "/turns/x"
VERSION_BY_REPLICA = {"r1": "v1", "r2": "v1", "r3": "v2", "r4": "v2"}


async def _list_versions(fleet: Fleet, version_by_replica: dict[str, str]) -> None:
    """List the replicas with their versions, and wait until all instances know them."""
    for replica_id, version in version_by_replica.items():
        fleet.list_replica(fleet.replica_by_id[replica_id], version=version)

    def is_known() -> bool:
        return all(
            (known := gateway.board.replicas.read().get(replica_id)) is not None
            and known.version == version
            for gateway in fleet.gateways
            for replica_id, version in version_by_replica.items()
        )

    await wait_until(is_known)


def _versions(fleet: Fleet, *request_ids: str) -> set[str]:
    """Return the versions of the replicas that ran any of these requests."""
    return {
        VERSION_BY_REPLICA[replica_id]
        for replica_id, replica in fleet.replica_by_id.items()
        if any(request_id in replica.runs_by_request for request_id in request_ids)
    }


async def _begin(fleet: Fleet, gateway: Gateway) -> str:
    """Read the first two events of a stream, then leave; return the id of the request."""
    request_id, _ = await _begin_at(fleet, gateway)
    return request_id


async def _begin_at(fleet: Fleet, gateway: Gateway) -> tuple[str, str]:
    """Begin a stream as `_begin` does; return also the replica whose signature it has."""
    request_id = fleet.next_id()
    request = HttpRequest(
        method="POST",
        path=PATH,
        headers=(("host", HOST), (NAMES.request_id, request_id), (NAMES.api_key, KEY)),
    )
    address, received = gateway.settings.instance.listen, b""
    async with fleet.client.stream(address, request, new_connection=True) as opened:
        response = opened.unwrap()
        assert response.head.status == 200, response.head
        while received.count(b"\n\n") < 2:
            received += await response.read()
    return request_id, dict(response.head.headers)[NAMES.signature]


async def _take_up(
    fleet: Fleet, gateway: Gateway, first_id: str | None, *, after: int = 2
) -> tuple[str, HttpResponse]:
    """Send the request for the rest of a stream; return its id and the answer."""
    request_id = fleet.next_id()
    headers = [(NAMES.last_event, str(after))]
    if first_id is not None:
        headers.append((NAMES.resumed_request, first_id))
    answer = await fleet.send(gateway, PATH, request_id=request_id, headers=tuple(headers))
    return request_id, answer


def _is_rest(answer: HttpResponse) -> bool:
    return answer.status == 200 and answer.body.count(b"data: part") == EVENTS - 2


def _set_pause(fleet: Fleet, pause_s: float) -> None:
    for replica in fleet.replica_by_id.values():
        replica.behaviour.event_pause_s = pause_s


def test_stream_that_breaks_off_goes_on_at_its_version_within_the_answer() -> None:
    """The next attempt is at another replica of the version that began the stream."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        behaviour = Behaviour()
        for replica in fleet.replica_by_id.values():
            replica.behaviour = behaviour
        for _ in range(STREAMS):
            behaviour.break_after = 2
            request_id = fleet.next_id()
            answer = await fleet.send(fleet.gateways[0], PATH, request_id=request_id)
            assert answer.body.count(b"data: part") == EVENTS, answer
            versions = _versions(fleet, request_id)
            assert len(versions) == 1, (request_id, versions)

    run_with_fleet(check, replicas=4)


def test_stream_taken_up_at_another_instance_goes_on_at_its_version() -> None:
    """The caller has left and comes to an instance that has not seen the stream."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        _set_pause(fleet, 0.05)
        for number in range(STREAMS):
            first_id = await _begin(fleet, fleet.gateways[number % 3])
            next_id, answer = await _take_up(fleet, fleet.gateways[(number + 1) % 3], first_id)
            assert _is_rest(answer), answer
            assert len(_versions(fleet, first_id, next_id)) == 1, (first_id, next_id)

    run_with_fleet(check, gateways=3, replicas=4)


def test_streams_of_an_instance_that_was_killed_go_on_at_their_versions() -> None:
    """Their callers come to the other instances at once."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        _set_pause(fleet, 0.05)
        killed = fleet.gateways[0]
        first_ids = [await _begin(fleet, killed) for _ in range(STREAMS)]
        fleet.kill(killed)
        for number, first_id in enumerate(first_ids):
            next_id, answer = await _take_up(fleet, fleet.gateways[number % 3], first_id)
            assert _is_rest(answer), answer
            assert len(_versions(fleet, first_id, next_id)) == 1, (first_id, next_id)

    run_with_fleet(check, gateways=4, replicas=4)


def test_stream_of_an_unknown_version_is_refused_and_not_run() -> None:
    """All instances that knew it are gone, and replicas of two versions serve."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        first_id = await _begin(fleet, fleet.gateways[0])
        fleet.kill(fleet.gateways[0])
        await fleet.add_gateway("g2")
        await _list_versions(fleet, VERSION_BY_REPLICA)
        next_id, answer = await _take_up(fleet, fleet.gateways[0], first_id)
        assert answer.status == 503 and answer.header("retry-after") is not None, answer
        assert not _versions(fleet, next_id)

    run_with_fleet(check, replicas=4)


async def _start_again(fleet: Fleet) -> Gateway:
    """Kill all instances at once, and start one again."""
    for gateway in tuple(fleet.gateways):
        fleet.kill(gateway)
    return await fleet.add_gateway("again", is_first_start=False)


def test_stream_from_before_all_instances_were_killed_is_not_joined_from_two_versions() -> None:
    """Nobody remembers it, and replicas of its version and of another one serve."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        first_id = await _begin(fleet, fleet.gateways[0])
        gateway = await _start_again(fleet)
        await _list_versions(fleet, VERSION_BY_REPLICA)
        next_id, answer = await _take_up(fleet, gateway, first_id)
        assert answer.status == 503 and answer.header("retry-after") is not None, answer
        assert not _versions(fleet, next_id)

    run_with_fleet(check, gateways=2, replicas=4)


def test_stream_whose_version_left_while_all_instances_were_down_is_not_joined_with_another() -> (
    None
):
    """The instances that start again see one version only, which is not the stream's."""

    async def check(fleet: Fleet) -> None:
        old, new = {"r1": "v1", "r2": "v1"}, {"r3": "v2", "r4": "v2"}
        for replica_id in new:
            fleet.unlist_replica(replica_id)
        await _list_versions(fleet, old)
        first_id = await _begin(fleet, fleet.gateways[0])
        for replica_id in old:
            fleet.unlist_replica(replica_id)
        gateway = await _start_again(fleet)
        await _list_versions(fleet, new)
        next_id, answer = await _take_up(fleet, gateway, first_id)
        assert answer.status == 503 and answer.header("retry-after") is not None, answer
        assert not _versions(fleet, next_id)

    run_with_fleet(check, gateways=2, replicas=4)


def test_stream_goes_on_at_an_instance_that_has_started_again_beside_others() -> None:
    """They have seen no other version all the while."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, dict.fromkeys(VERSION_BY_REPLICA, "v1"))
        _set_pause(fleet, 0.05)
        first_id = await _begin(fleet, fleet.gateways[0])
        fleet.kill(fleet.gateways[0])
        gateway = await fleet.add_gateway("again", is_first_start=False)
        await _list_versions(fleet, dict.fromkeys(VERSION_BY_REPLICA, "v1"))
        await wait_until(lambda: len(gateway.board.live.read().ids) == len(fleet.gateways))
        _, answer = await _take_up(fleet, gateway, first_id)
        assert _is_rest(answer), answer

    run_with_fleet(check, gateways=3, replicas=4)


def test_stream_whose_version_has_gone_is_refused_and_not_run() -> None:
    """No replica of the version that began it is left."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        first_id = await _begin(fleet, fleet.gateways[0])
        (version,) = _versions(fleet, first_id)
        for replica_id in [key for key, each in VERSION_BY_REPLICA.items() if each == version]:
            fleet.unlist_replica(replica_id)
        directory = fleet.gateways[1].board.replicas.read()
        await wait_until(lambda: len(directory.all()) == 2)
        next_id, answer = await _take_up(fleet, fleet.gateways[1], first_id)
        assert answer.status == 503, answer
        assert not _versions(fleet, next_id)

    run_with_fleet(check, gateways=2, replicas=4)


def test_stream_from_before_a_release_goes_on_at_the_old_version() -> None:
    """Nothing had to be remembered of it while all replicas had one version."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, dict.fromkeys(("r1", "r2"), "v1"))
        _set_pause(fleet, 0.05)
        first_ids = [await _begin(fleet, fleet.gateways[0]) for _ in range(STREAMS)]
        for replica_id in ("r3", "r4"):
            await fleet.add_replica(replica_id)
        await _list_versions(fleet, VERSION_BY_REPLICA)
        _set_pause(fleet, 0.05)
        for first_id in first_ids:
            next_id, answer = await _take_up(fleet, fleet.gateways[1], first_id)
            assert _is_rest(answer), answer
            assert _versions(fleet, first_id, next_id) == {"v1"}

    run_with_fleet(check, gateways=2, replicas=2)


def test_stream_of_a_caller_that_names_no_first_request_is_not_joined_in_a_release() -> None:
    """Shortly after a version came, it was taken for a stream of the one before."""

    async def check(fleet: Fleet) -> None:
        for replica_id in ("r3", "r4"):
            replica = fleet.replica_by_id[replica_id] = Replica(replica_id)
            await fleet.nursery.start(replica.serve)
        await _list_versions(fleet, {"r3": "v2", "r4": "v2"})
        for gateway in fleet.gateways:
            next_id, answer = await _take_up(fleet, gateway, None)
            assert answer.status == 503 and answer.header("retry-after") is not None, answer
            assert not _versions(fleet, next_id)

    run_with_fleet(check, gateways=2, replicas=2)


def test_homes_that_miss_a_note_do_not_join_a_stream_that_broke_off_before_its_first_event() -> (
    None
):
    """They were told of the version of each attempt, and remembered that of the first."""
    told: Counter[str] = Counter()

    def miss_later_notes(gateway: Gateway) -> None:
        handle = gateway.bus._handlers_by_type[StreamOriginNote]

        def handle_first(note: StreamOriginNote) -> Message | Awaitable[Message]:
            told[note.stream] += 1
            return handle(note) if told[note.stream] == 1 else Ack()

        gateway.bus._handlers_by_type[StreamOriginNote] = handle_first

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        miss_later_notes(fleet.gateways[1])
        behaviour = Behaviour(event_pause_s=0.05)
        for replica in fleet.replica_by_id.values():
            replica.behaviour = behaviour
        for _ in range(3 * STREAMS):
            behaviour.break_after = 0
            first_id, began = await _begin_at(fleet, fleet.gateways[0])
            next_id, answer = await _take_up(fleet, fleet.gateways[1], first_id)
            assert _is_rest(answer), answer
            assert _versions(fleet, next_id) == {VERSION_BY_REPLICA[began]}, (first_id, next_id)

    run_with_fleet(check, gateways=2, replicas=4)


def test_stream_taken_up_twice_at_different_instances_goes_on_at_its_version() -> None:
    """Both times the caller names the first request, and the first instance has been killed."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        killed = fleet.gateways[0]
        first_ids = [await _begin(fleet, killed) for _ in range(STREAMS)]
        fleet.kill(killed)
        for first_id in first_ids:
            ids = [first_id]
            for gateway in fleet.gateways:
                next_id, answer = await _take_up(fleet, gateway, first_id, after=len(ids) + 1)
                assert answer.status == 200, answer
                ids.append(next_id)
            assert len(_versions(fleet, *ids)) == 1, ids

    run_with_fleet(check, gateways=4, replicas=4)


def test_stream_of_replicas_without_a_version_is_not_joined_with_one_of_a_version() -> None:
    """No version is one of its own."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, {"r1": "", "r2": "", "r3": "v2", "r4": "v2"})
        for number in range(STREAMS):
            first_id = await _begin(fleet, fleet.gateways[number % 3])
            next_id, answer = await _take_up(fleet, fleet.gateways[(number + 1) % 3], first_id)
            assert _is_rest(answer), answer
            assert len(_versions(fleet, first_id, next_id)) == 1, (first_id, next_id)

    run_with_fleet(check, gateways=3, replicas=4)


def test_stream_is_not_joined_with_one_of_a_replica_whose_version_has_changed() -> None:
    """The replica that began it is listed under the same id and address with another version."""

    async def check(fleet: Fleet) -> None:
        await _list_versions(fleet, VERSION_BY_REPLICA)
        first_id = await _begin(fleet, fleet.gateways[0])
        (began,) = _ran_at(fleet, first_id)
        version = VERSION_BY_REPLICA[began]
        other = next(each for each in VERSION_BY_REPLICA.values() if each != version)
        await _list_versions(fleet, {**VERSION_BY_REPLICA, began: other})
        for gateway in fleet.gateways:
            next_id, answer = await _take_up(fleet, gateway, first_id)
            assert _is_rest(answer), answer
            (replica_id,) = _ran_at(fleet, next_id)
            assert replica_id != began and VERSION_BY_REPLICA[replica_id] == version

    run_with_fleet(check, gateways=2, replicas=4)


def test_stream_goes_on_anywhere_while_there_is_one_version() -> None:
    """An instance that does not know the stream needs not know it."""

    async def check(fleet: Fleet) -> None:
        first_id = await _begin(fleet, fleet.gateways[0])
        fleet.kill(fleet.gateways[0])
        await fleet.add_gateway("g2")
        await wait_until(lambda: len(fleet.gateways[0].board.replicas.read().all()) == 2)
        await wait_until(lambda: fleet.gateways[0].board.config.read() is not None)
        assert _is_rest((await _take_up(fleet, fleet.gateways[0], first_id))[1])

    run_with_fleet(check, replicas=2)


def _config_of_services(version: int, **weight_by_service: int) -> ForwardConfig:
    """Return a configuration of two services whose routes are split as given."""
    targets = tuple(
        WeightedService(service=name, weight=weight) for name, weight in weight_by_service.items()
    )
    config = make_config(version=version, targets=targets)
    return replace(
        config,
        services_by_name={
            name: replace(config.services_by_name["models"], name=name)
            for name in ("models", "others")
        },
    )


async def _list_others(fleet: Fleet, replica_id: str) -> None:
    """List a replica as one of the service `others`, and wait until all instances know it."""
    fleet.list_replica(fleet.replica_by_id[replica_id], service="others")
    await wait_until(
        lambda: all(
            gateway.board.replicas.read().available_for("others") for gateway in fleet.gateways
        )
    )


async def _put_config(fleet: Fleet, config: ForwardConfig) -> None:
    """Write a configuration, and wait until all instances know it."""
    fleet.put_config(config)
    await wait_until(
        lambda: all(
            (known := gateway.board.config.read()) is not None
            and known.config.version == config.version
            for gateway in fleet.gateways
        )
    )


def _ran_at(fleet: Fleet, *request_ids: str) -> set[str]:
    """Return the replicas that ran any of these requests."""
    return {
        replica_id
        for replica_id, replica in fleet.replica_by_id.items()
        if set(request_ids) & set(replica.runs_by_request)
    }


def test_stream_of_a_split_route_goes_on_at_the_service_that_began_it() -> None:
    """An instance that has not seen the stream picks the same one of the route's services."""

    async def check(fleet: Fleet) -> None:
        await _list_others(fleet, "r2")
        for _ in range(STREAMS):
            first_id = await _begin(fleet, fleet.gateways[0])
            next_id, answer = await _take_up(fleet, fleet.gateways[1], first_id)
            assert _is_rest(answer), answer
            assert len(_ran_at(fleet, first_id, next_id)) == 1, (first_id, next_id)

    run_with_fleet(check, gateways=2, config=_config_of_services(1, models=1, others=1))


def test_stream_goes_on_at_its_service_after_the_weights_of_its_route_have_changed() -> None:
    """It was joined from pieces of two services."""

    async def check(fleet: Fleet) -> None:
        await _list_others(fleet, "r2")
        first_ids = [await _begin(fleet, fleet.gateways[0]) for _ in range(STREAMS)]
        await _put_config(fleet, _config_of_services(2, models=1, others=99))
        for first_id in first_ids:
            next_id, answer = await _take_up(fleet, fleet.gateways[1], first_id)
            assert _is_rest(answer), answer
            assert len(_ran_at(fleet, first_id, next_id)) == 1, (first_id, next_id)

    run_with_fleet(check, gateways=2, config=_config_of_services(1, models=99, others=1))


def test_stream_is_not_run_at_a_service_that_its_route_has_left() -> None:
    """Its origin was remembered, and the configuration no longer allows that service."""

    async def check(fleet: Fleet) -> None:
        await _list_others(fleet, "r4")
        await _list_versions(fleet, {"r1": "v1", "r2": "v1", "r3": "v2"})
        first_id = await _begin(fleet, fleet.gateways[0])
        await _put_config(fleet, _config_of_services(2, others=1))
        for gateway in fleet.gateways:
            next_id, answer = await _take_up(fleet, gateway, first_id)
            assert answer.status == 503 and answer.header("retry-after") is not None, answer
            assert not _ran_at(fleet, next_id)

    run_with_fleet(check, gateways=2, replicas=4, config=_config_of_services(1, models=1))


load_tests = load_functions(globals())
