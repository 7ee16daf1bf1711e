"""Which instances own the pools of a service, and which are their deputies."""

import random
from collections import Counter

from lagoonfold import rendezvous_weight
from lagoonfold.placement import PoolDuties
from tests._suite import load_functions

SMALL_CORES, LARGE_CORES = 0.5, 2.0  # a small instance and one with four times its cores
SERVICES = 4_000  # the standard deviation of a share of one fifth is then 0.6%


def _assign(cores_by_id: dict[str, float], service: str, count: int) -> list[tuple[str, str]]:
    duties = PoolDuties()
    duties.set_instances(cores_by_id)
    return [(duty.owner, duty.deputy) for duty in duties.assign(service, count)]


def test_pools_are_owned_in_proportion_to_cores() -> None:
    """A small instance would be given as many pools as a large one and run out of time first."""
    cores_by_id = {"small": SMALL_CORES, "large": LARGE_CORES}
    single = Counter(_assign(cores_by_id, f"s{number}", 1)[0][0] for number in range(SERVICES))
    assert abs(single["small"] / SERVICES - 0.2) < 0.03, single
    many = Counter(owner for owner, _ in _assign(cores_by_id, "models", 128))
    assert many["large"] <= 103 and many["small"] >= 25, many


def test_no_instance_owns_two_pools_while_another_owns_none() -> None:
    """The one with two pools of a service would be its bottleneck."""
    for seed in range(50):
        rng = random.Random(seed)
        cores_by_id = {f"i{number}": rng.uniform(0.4, 2.2) for number in range(12)}
        for count in (2, 4, 8, 16, 32):
            owned = Counter(owner for owner, _ in _assign(cores_by_id, f"s{seed}", count))
            assert len(owned) == min(count, len(cores_by_id)), (seed, count, owned)


def test_deputy_is_another_instance_and_owns_no_pool_if_one_is_left() -> None:
    """A deputy with a pool of its own would have to place the requests of two."""
    for count in (1, 2, 4):
        for size in (1, 2, 6, 40):
            cores_by_id = {f"i{number}": 1.0 for number in range(size)}
            duties = _assign(cores_by_id, "models", count)
            owners = {owner for owner, _ in duties}
            for owner, deputy in duties:
                assert (deputy is None) == (size == 1) and deputy != owner
                assert deputy is None or deputy not in owners or len(owners) == size


def test_deputy_of_a_single_pool_becomes_its_owner() -> None:
    """Another new owner would know nothing of the requests that the deputy has placed."""
    cores_by_id = {f"i{number}": 0.4 + 0.1 * (number % 5) for number in range(20)}
    for number in range(100):
        ((owner, deputy),) = _assign(cores_by_id, f"s{number}", 1)
        left = {key: cores for key, cores in cores_by_id.items() if key != owner}
        assert _assign(left, f"s{number}", 1)[0][0] == deputy


def test_one_pool_and_equal_cores_have_the_owner_of_the_previous_build() -> None:
    """Instances of two builds side by side would place for the same pool without need."""
    ids = [f"i{number}" for number in range(30)]
    for number in range(50):
        before = max(ids, key=lambda key: rendezvous_weight(f"s{number}/0", key))
        assert _assign(dict.fromkeys(ids, 1.0), f"s{number}", 1)[0][0] == before


def test_rankings_that_were_updated_give_the_same_result_as_new_ones() -> None:
    """Instances that saw others come and go in another order would not agree."""
    rng, updated = random.Random(7), PoolDuties()
    for _ in range(60):
        ids = rng.sample([f"i{number}" for number in range(25)], rng.randint(1, 25))
        cores_by_id = {key: rng.choice((0.387, 0.516, 1.0, 2.151)) for key in ids}
        updated.set_instances(cores_by_id)
        fresh = PoolDuties()
        fresh.set_instances(dict(reversed(cores_by_id.items())))
        assert updated.assign("models", 8) == fresh.assign("models", 8)


load_tests = load_functions(globals())
