"""What one instance exchanges with the store; `test_feeds` has fleets of several sizes."""

from types import SimpleNamespace

import trio
from result import Ok

from lagoonfold.forwarding import Replica
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._replica_controller import ReplicaController
from lagoonfold_gateway._store_watch import StoreGate, StoreWatch
from standins.transactional_store import MemoryStore, StoreView
from tests._suite import load_functions
from tests.gateway._simulated_fleet import SimulatedFleet, run_simulated

ENTRIES = 33
WRITE_INTERVAL_S = 0.125
OUTAGE_S = 10.0


def test_entries_written_one_by_one_do_not_cost_a_poll_each() -> None:
    """A watch fetches several changes of one second in one poll."""
    seen: list[str] = []
    views: list[StoreView] = []

    async def check(fleet: SimulatedFleet) -> None:
        store = MemoryStore()
        view = StoreView(store)
        views.append(view)
        watch = StoreWatch(
            view,
            "replicas/",
            on_listing=lambda listing: seen.extend(entry.key for entry in listing.entries),
            on_event=lambda event: seen.append(event.entry.key),
        )
        fleet.nursery.start_soon(watch.run)
        for number in range(ENTRIES):
            store.put(f"replicas/{number}", b"x")
            await trio.sleep(WRITE_INTERVAL_S)
        await trio.sleep(1.0)

    run_simulated(check)
    assert len(seen) == ENTRIES
    polls_per_s = views[0].calls / (ENTRIES * WRITE_INTERVAL_S)
    assert polls_per_s <= 5.0, polls_per_s


def test_one_watch_of_an_instance_tries_a_store_that_fails() -> None:
    """The others wait, and all follow their entries again when the store is back."""
    calls: list[int] = []

    async def check(fleet: SimulatedFleet) -> None:
        store = MemoryStore()
        view, gate = StoreView(store), StoreGate()
        watches = [
            StoreWatch(view, prefix, on_listing=lambda _: None, on_event=lambda _: None, gate=gate)
            for prefix in ("a/", "b/", "c/")
        ]
        for watch in watches:
            fleet.nursery.start_soon(watch.run)
        await trio.sleep(1.0)
        view.is_cut = True
        store.cut_watches()
        before = view.calls
        await trio.sleep(OUTAGE_S)
        calls.append(view.calls - before)
        view.is_cut = False
        await fleet.wait_until(lambda: not any(watch.is_failing for watch in watches))

    run_simulated(check)
    assert calls[0] <= 5 * OUTAGE_S, calls


def test_entries_that_change_together_are_published_once() -> None:
    """Readers of the directory look at all replicas: once for each of 300 would be 90,000 looks."""
    published: list[int] = []

    async def check(fleet: SimulatedFleet) -> None:
        store, board = MemoryStore(), GatewayBoard()
        dialect = SimpleNamespace(replica_prefix="replicas/", decode_replica=_decode_replica)
        tracker = SimpleNamespace(forget=lambda replica_id: None)
        client = SimpleNamespace(close_idle_to=lambda address: None)
        controller = ReplicaController(dialect, board, StoreView(store), tracker, client)
        store.put("replicas/first", b"x")
        fleet.nursery.start_soon(controller.watch.run)
        await fleet.wait_until(lambda: board.replicas.read().get("first") is not None)
        board.replicas.subscribe(lambda directory: published.append(len(directory.all())))
        for number in range(300):
            store.put(f"replicas/{number}", b"x")
        await fleet.wait_until(lambda: len(board.replicas.read().all()) == 301)
        store.remove("replicas/first")
        await fleet.wait_until(lambda: board.replicas.read().get("first") is None)

    run_simulated(check)
    assert published == [301, 300], published[:5]


def _decode_replica(replica_id: str, value: bytes) -> Ok[Replica]:
    return Ok(
        Replica(
            replica_id=replica_id,
            service="models",
            address="127.0.0.1:1",
            failure_domain="zone-a",
            slots=4,
        )
    )


load_tests = load_functions(globals())
