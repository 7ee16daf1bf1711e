"""How instances find out which of them are live, at several sizes of the fleet."""

import trio

from lagoonfold_gateway._heartbeats import CUT_OFF_S, PROBE_TIMEOUT_S, SUSPECT_S
from lagoonfold_gateway._messages import StatusNews
from tests._suite import load_functions
from tests.gateway._simulated_fleet import LATENCY_S, SimulatedFleet, run_simulated

SIZES = (7, 56)
SILENCE_S = SUSPECT_S + PROBE_TIMEOUT_S  # after which an instance without power counts as lost
MARGIN_S = 0.5  # a heartbeat's interval, a check's, and the news to all


def _run_at(size: int, check) -> None:
    async def run(fleet: SimulatedFleet) -> None:
        await fleet.start_all(size)
        await trio.sleep(2.0)
        await check(fleet)

    run_simulated(run)


def test_killed_instance_is_lost_to_all_at_once() -> None:
    """The end of its connections makes its watchers ask, and they tell the others."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.kill("i3")
        assert await fleet.wait_until(fleet.is_settled) < 50 * LATENCY_S

    for size in SIZES:
        _run_at(size, check)


def test_instance_without_power_is_lost_within_the_silence_limit() -> None:
    """Its watchers miss its heartbeats, ask it, and tell the others."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.power_off("i3")
        assert await fleet.wait_until(fleet.is_settled) < SILENCE_S + MARGIN_S

    for size in SIZES:
        _run_at(size, check)


def test_half_of_the_fleet_without_power_is_lost() -> None:
    """Instances whose watchers are lost with them are watched by the next ones on the ring."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.power_off(*(f"i{number}" for number in range(0, len(fleet.member_by_id), 2)))
        assert await fleet.wait_until(fleet.is_settled) < 4 * (SILENCE_S + MARGIN_S)

    for size in SIZES:
        _run_at(size, check)


def test_all_instances_that_start_again_at_once_find_each_other() -> None:
    """Entries in the store are still those of the former processes."""

    async def check(fleet: SimulatedFleet) -> None:
        ids = tuple(fleet.member_by_id)
        fleet.kill(*ids)
        await trio.sleep(1.0)
        for instance_id in ids:
            await fleet.start(instance_id)
        assert await fleet.wait_until(fleet.is_settled) < 1.0

    for size in SIZES:
        _run_at(size, check)


def test_instance_that_starts_again_before_it_is_missed_counts_as_lost_between() -> None:
    """What others hold for its former process must be settled."""

    async def check(fleet: SimulatedFleet) -> None:
        views: list[tuple[str, ...]] = []
        observer = fleet.member_by_id["i5"]
        observer.board.live.subscribe(lambda view: views.append(view.ids))
        fleet.network.bus_by_id.pop("i3")
        fleet.member_by_id.pop("i3").scope.cancel()
        await fleet.start("i3")
        await fleet.wait_until(fleet.is_settled)
        await fleet.wait_until(lambda: any("i3" not in view for view in views))
        assert "i3" in observer.live

    _run_at(7, check)


def test_instance_cut_off_from_all_counts_on_itself_and_comes_back() -> None:
    """The others lose it; after the cut all see each other again."""

    async def check(fleet: SimulatedFleet) -> None:
        fleet.network.cut_off.add("i3")
        cut = fleet.member_by_id["i3"]
        others = [member for key, member in fleet.member_by_id.items() if key != "i3"]
        await fleet.wait_until(
            lambda: cut.live == ("i3",) and all("i3" not in member.live for member in others),
            within_s=CUT_OFF_S + SILENCE_S + MARGIN_S,
        )
        await trio.sleep(3.0)
        assert all(len(member.live) == len(others) for member in others)
        fleet.network.cut_off.clear()
        assert await fleet.wait_until(fleet.is_settled) < 2.0

    for size in (7, 56, 150):
        _run_at(size, check)


def test_cut_between_two_instances_loses_neither() -> None:
    """A watcher that alone does not hear an instance is contradicted by that instance."""

    async def check(fleet: SimulatedFleet) -> None:
        watcher = fleet.member_by_id["i3"].members.watchers()[0]
        fleet.network.cut_pairs.add(frozenset(("i3", watcher)))
        others = [member for key, member in fleet.member_by_id.items() if key != watcher]
        changes: list[int] = []
        others[0].board.live.subscribe(lambda view: changes.append(len(view.ids)))
        await trio.sleep(5.0)
        assert all("i3" in member.live for member in others)
        assert len(changes) <= 4, changes
        fleet.network.cut_pairs.clear()
        assert await fleet.wait_until(fleet.is_settled) < 2.0

    for size in (7, 56):
        _run_at(size, check)


async def _cut_in_halves(fleet: SimulatedFleet) -> tuple[list[str], list[str]]:
    """Cut two halves from each other and wait until each goes on alone; return their ids."""
    ids = sorted(fleet.member_by_id)
    left, right = ids[: len(ids) // 2], ids[len(ids) // 2 :]
    fleet.network.cut_pairs.update(frozenset((a, b)) for a in left for b in right)
    await fleet.wait_until(
        lambda: all(
            fleet.member_by_id[key].live == tuple(half) for half in (left, right) for key in half
        )
    )
    return left, right


def test_two_halves_that_are_cut_from_each_other_find_together_again() -> None:
    """Each half goes on alone, and both are one fleet after the cut."""

    async def check(fleet: SimulatedFleet) -> None:
        left, right = await _cut_in_halves(fleet)
        hears_most = [fleet.member_by_id[key].members.hears_most() for key in (left[0], right[0])]
        assert hears_most == ([True, False] if len(left) == len(right) else [False, True])
        fleet.network.cut_pairs.clear()
        assert await fleet.wait_until(fleet.is_settled) < 3.0

    for size in (7, 56):
        _run_at(size, check)


def test_instance_that_hears_of_its_loss_tells_all_that_hold_it_lost() -> None:
    """One message across a cut that has healed makes its sender live in the other half."""

    async def check(fleet: SimulatedFleet) -> None:
        left, right = await _cut_in_halves(fleet)
        fleet.network.cut_pairs.clear()
        news = StatusNews(statuses=(fleet.member_by_id[right[0]].members.status(left[-1]),))
        fleet.network.bus_by_id[right[0]].post(left[-1], news)
        await trio.sleep(10 * LATENCY_S)
        assert all(fleet.member_by_id[key].members.is_told_live(left[-1]) for key in right)

    for size in SIZES:
        _run_at(size, check)


load_tests = load_functions(globals())
