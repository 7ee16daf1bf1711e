"""Evacuated failure domains get no new requests, whatever an instance has missed of the store."""

from lagoonfold import ABSENT_REVISION, Entry, Listing, WatchEvent
from lagoonfold.forwarding import Replica as ListedReplica
from lagoonfold.forwarding import ReplicaDirectory
from lagoonfold.placement import rank_pools
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway.evacuation import EvacuationController
from lagoonfold_io.observe import Metrics
from tests._suite import load_functions
from tests.gateway._fleet import Fleet, run_and_collect_lines, run_with_fleet, wait_until

PREFIX = "gateway/config/evacuate/"


def _make_controller(*domains: str) -> tuple[EvacuationController, GatewayBoard]:
    """Return a controller whose directory has one replica in each failure domain."""
    board = GatewayBoard()
    for number, domain in enumerate(domains):
        board.replicas.read().put(_make_replica(f"r{number}", domain))
    return EvacuationController(PREFIX, board, Metrics()), board


def _make_replica(replica_id: str, domain: str) -> ListedReplica:
    return ListedReplica(
        replica_id=replica_id,
        service="models",
        address="127.0.0.1:9",
        failure_domain=domain,
        slots=4,
    )


def _event(key: str, revision: int, *, is_removed: bool = False) -> WatchEvent:
    entry = Entry(key=key, value=b"{}", revision=ABSENT_REVISION if is_removed else revision)
    return WatchEvent(entry=entry, revision=revision)


def _listing(*keys: str) -> Listing:
    entries = tuple(Entry(key=key, value=b"{}", revision=3) for key in keys)
    return Listing(entries=entries, revision=3)


def _usable(directory: ReplicaDirectory) -> set[str]:
    return {replica.replica_id for replica in directory.available_for("models")}


def test_listing_makes_up_for_missed_requests_and_removals() -> None:
    """A removal that was lost with the store's history must not leave a domain empty for good."""
    controller, board = _make_controller("a", "b", "c")
    controller.apply_event(_event(PREFIX + "a", 1))
    assert _usable(board.replicas.read()) == {"r1", "r2"}
    controller.apply_listing(_listing("gateway/config", PREFIX + "b"))
    assert _usable(board.replicas.read()) == {"r0", "r2"}
    assert set(board.evacuations.read().restored_s_by_domain) == {"a"}
    controller.apply_listing(_listing("gateway/config"))
    assert _usable(board.replicas.read()) == {"r0", "r1", "r2"}


def test_odd_requests_change_nothing_else() -> None:
    """Repeated requests, unknown domains and unreadable names must not disturb the others."""
    controller, board = _make_controller("a", "b")
    for key in (PREFIX + "a", PREFIX + "a", PREFIX + "nowhere", PREFIX, PREFIX + "\x00", "other"):
        controller.apply_event(_event(key, 1))
    assert _usable(board.replicas.read()) == {"r1"}
    assert board.evacuations.read().domains == {"a", "nowhere"}
    controller.apply_event(_event(PREFIX + "nowhere", 2, is_removed=True))
    controller.apply_event(_event(PREFIX + "never", 2, is_removed=True))
    assert board.evacuations.read().domains == {"a"}


def test_replicas_that_come_during_an_evacuation_get_nothing() -> None:
    """A replica that starts in an evacuated domain must not be taken for a usable one."""
    controller, board = _make_controller("a", "b")
    controller.apply_event(_event(PREFIX + "a", 1))
    board.replicas.read().put(_make_replica("r9", "a"))
    assert _usable(board.replicas.read()) == {"r1"}
    assert not board.replicas.read().may_use("r9")


def test_pools_keep_their_division_during_an_evacuation() -> None:
    """Pools that are divided anew lose their loads and their prompts, just when room is short."""
    replicas = [_make_replica(f"r{number}", "ab"[number % 2]) for number in range(48)]
    left = [replica for replica in replicas if replica.failure_domain == "a"]
    before = rank_pools("models", replicas, "key")
    assert set(rank_pools("models", left, "key", listed=len(replicas))) == set(before)
    assert len(rank_pools("models", left, "key")) < len(before)


async def _split_domains(fleet: Fleet) -> None:
    fleet.list_replica(fleet.replica_by_id["r2"], failure_domain="zone-b")
    await wait_until(
        lambda: all(
            gateway.board.replicas.read().get("r2").failure_domain == "zone-b"
            for gateway in fleet.gateways
        )
    )


async def _evacuate(fleet: Fleet, *domains: str) -> None:
    for domain in domains:
        fleet.store.put(PREFIX + domain, b"{}")
    await wait_until(
        lambda: all(
            gateway.board.evacuations.read().domains >= set(domains) for gateway in fleet.gateways
        )
    )


def test_evacuated_domain_gets_nothing_until_it_is_restored() -> None:
    """Requests that go on reaching an evacuated domain hit replicas that are taken away."""

    async def check(fleet: Fleet) -> None:
        await _split_domains(fleet)
        await _evacuate(fleet, "zone-b")
        before = len(fleet.replica_by_id["r2"].requests)
        for gateway in fleet.gateways * 5:
            assert (await fleet.send(gateway, "/read/x")).status == 200
        assert len(fleet.replica_by_id["r2"].requests) == before
        newcomer = await fleet.add_gateway("g3", is_first_start=False)
        await wait_until(lambda: newcomer.board.config.read() is not None)
        assert newcomer.board.evacuations.read().domains == {"zone-b"}
        fleet.store.remove(PREFIX + "zone-b")
        await wait_until(lambda: not fleet.gateways[0].board.evacuations.read().domains)
        assert fleet.gateways[0].board.replicas.read().may_use("r2")

    lines = run_and_collect_lines(check, gateways=2, replicas=2)
    assert {"domain.evacuated", "domain.restored"} <= set(lines)


def test_requests_are_refused_at_once_while_all_replicas_are_evacuated() -> None:
    """A caller that waits for an evacuated service has lost the time to go elsewhere."""

    async def check(fleet: Fleet) -> None:
        await _split_domains(fleet)
        await _evacuate(fleet, "zone-a", "zone-b")
        answer = await fleet.send(fleet.gateways[0], "/read/x")
        assert answer.status == 503
        assert float(answer.header("retry-after") or 0) > 0
        assert not any(replica.requests for replica in fleet.replica_by_id.values())

    run_with_fleet(check, gateways=1, replicas=2)


def test_owner_that_missed_an_evacuation_does_not_send_others_there() -> None:
    """An owner whose copy of the store is behind grants evacuated replicas to others."""

    async def check(fleet: Fleet) -> None:
        await _split_domains(fleet)
        owner_id = fleet.gateways[0].members.owner("models/0")
        knowing = next(each for each in fleet.gateways if each.bus.own_id != owner_id)
        knowing.board.replicas.read().evacuated_domains = frozenset({"zone-a"})
        for _ in range(12):
            assert (await fleet.send(knowing, "/read/x")).status == 200
        assert not fleet.replica_by_id["r1"].requests  # the owner prefers it as the nearer one

    run_with_fleet(check, gateways=2, replicas=2)


load_tests = load_functions(globals())
