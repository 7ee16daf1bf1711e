"""Tests of the configuration controllers of one failure domain, over real peer buses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from result import Err

from lagoonfold import Cell
from lagoonfold.config import Account, ChangeProposal, ConfigView, PutAccount
from lagoonfold_io import ConfigLog
from lagoonfold_io.observe import Metrics
from lagoonfold_node._board import MemberInfo
from lagoonfold_node._config_controller import ConfigController
from lagoonfold_node._peers import PeerBus
from standins._ports import free_port
from tests._suite import load_functions
from tests.config._memory_store import MemoryStore

_BOUND_S = 0.8
_DEADLINE_S = 10.0


@dataclass(slots=True, kw_only=True)
class _Node:
    """The parts of an instance that the message handlers and the checks use."""

    configuration: ConfigController
    cell: Cell[ConfigView]
    scope: trio.CancelScope

    def version(self) -> int:
        return self.cell.read().configuration.version

    def is_stale(self) -> bool:
        return self.cell.read().is_stale(trio.current_time(), _BOUND_S)


class _FailureDomain:
    """Instances of one failure domain that share a store, unless started with one of their own."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.store = MemoryStore()
        self.members = Cell("members", {})
        self.nodes_by_id: dict[str, _Node] = {}

    def start(self, name: str, store: MemoryStore | None = None) -> _Node:
        member = MemberInfo(
            instance_id=name, peer_address=f"127.0.0.1:{free_port()}", failure_domain="domain-a"
        )
        self.members.write({**self.members.read(), name: member})
        node = _Node(configuration=None, cell=Cell("config", ConfigView()), scope=None)
        bus = PeerBus(name, member.peer_address, self._find_address, node)
        node.configuration = ConfigController(
            instance_id=name,
            failure_domain="domain-a",
            store=store or self.store,
            bus=bus,
            cell=node.cell,
            members=self.members,
            metrics=Metrics(),
            withdrawal_bound_s=_BOUND_S,
        )
        node.scope = trio.CancelScope()
        self.nodes_by_id[name] = node
        self.nursery.start_soon(self._run, node, bus)
        return node

    async def _run(self, node: _Node, bus: PeerBus) -> None:
        with node.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(bus.serve)
                await node.configuration.run()

    def _find_address(self, name: str) -> str | None:
        member = self.members.read().get(name)
        return member.peer_address if member else None

    async def apply_change(self, name: str) -> int:
        """Commit a configuration change and return its version."""
        change = PutAccount(
            account=Account(account_id=name, rate_per_s=1.0, burst=1), replaces=False
        )
        proposal = ChangeProposal(
            change=change, change_id=name, changed_by="ada", changed_at_s=0.0, from_version=0
        )
        return (await ConfigLog(self.store).propose(proposal)).unwrap().version

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        with trio.fail_after(_DEADLINE_S):
            while not condition():
                await trio.sleep(0.01)

    def all_have_version(self, version: int) -> bool:
        return all(node.version() == version for node in self.nodes_by_id.values())


def _run_in_domain(check: Callable[[_FailureDomain], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            await check(_FailureDomain(nursery))
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_a_change_reaches_all_through_one_watcher() -> None:
    """A change reaches three instances, and only the watcher reads the store."""

    async def check(domain: _FailureDomain) -> None:
        separate_store = MemoryStore()
        watcher = domain.start("i1")
        await domain.wait_until(lambda: not watcher.is_stale())
        others = [domain.start(name, separate_store) for name in ("i2", "i3")]
        await domain.wait_until(lambda: not any(node.is_stale() for node in others))
        reads = separate_store.reads
        version = await domain.apply_change("north")
        await domain.wait_until(lambda: domain.all_have_version(version))
        verified_at_s = others[0].cell.read().verified_at_s
        await domain.wait_until(lambda: others[0].cell.read().verified_at_s > verified_at_s)
        assert separate_store.reads == reads

    _run_in_domain(check)


def test_polling_covers_a_silent_watch() -> None:
    """A change takes effect on all instances although its watch event is lost."""

    async def check(domain: _FailureDomain) -> None:
        domain.store.is_watch_silent = True
        nodes = [domain.start(name) for name in ("i1", "i2")]
        await domain.wait_until(lambda: not any(node.is_stale() for node in nodes))
        version = await domain.apply_change("north")
        await domain.wait_until(lambda: domain.all_have_version(version))

    _run_in_domain(check)


def test_an_outage_makes_views_stale_and_its_end_verifies_them() -> None:
    """During a store outage every view becomes stale at the bound, also one got from a peer."""

    async def check(domain: _FailureDomain) -> None:
        nodes = [domain.start(name) for name in ("i1", "i2", "i3")]
        version = await domain.apply_change("north")
        await domain.wait_until(lambda: domain.all_have_version(version))
        domain.store.is_down = True
        await domain.wait_until(lambda: all(node.is_stale() for node in nodes))
        late = domain.start("i4")
        await domain.wait_until(lambda: late.version() == version)
        assert late.is_stale()
        domain.store.is_down = False
        await domain.wait_until(lambda: not any(node.is_stale() for node in (*nodes, late)))

    _run_in_domain(check)


def test_a_restart_learns_the_newest_version_from_a_verified_peer() -> None:
    """An instance that can't reach the store gets the watcher's version, verified."""

    async def check(domain: _FailureDomain) -> None:
        unreachable = MemoryStore()
        unreachable.is_down = True
        watcher = domain.start("i1")
        version = await domain.apply_change("north")
        await domain.wait_until(lambda: watcher.version() == version)
        restarted = domain.start("i2", unreachable)
        await domain.wait_until(lambda: not restarted.is_stale())
        assert restarted.version() == version

    _run_in_domain(check)


def test_a_dead_watcher_is_bypassed() -> None:
    """When the watcher dies, the others read the store, although it is still listed as a member."""

    async def check(domain: _FailureDomain) -> None:
        watcher, other = domain.start("i1"), domain.start("i2")
        await domain.wait_until(lambda: not other.is_stale())
        watcher.scope.cancel()
        del domain.nodes_by_id["i1"]
        version = await domain.apply_change("north")
        await domain.wait_until(lambda: domain.all_have_version(version) and not other.is_stale())

    _run_in_domain(check)


def test_a_log_that_cannot_be_read_is_refused() -> None:
    """Reading the log during a store outage returns an error, not a configuration."""

    async def check(domain: _FailureDomain) -> None:
        domain.store.is_down = True
        read = await ConfigLog(domain.store).read_head()
        assert isinstance(read, Err)

    _run_in_domain(check)


load_tests = load_functions(globals())
