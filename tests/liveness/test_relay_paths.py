"""Which targets are out of reach, and which peers are tried for them."""

import random

from lagoonfold.liveness import RelayPaths
from lagoonfold.liveness._relay_paths import CUT_OFF_MEMORY_S, MEMORY_S
from tests._suite import load_functions

PEERS = [f"i{number}" for number in range(20)]


def _paths() -> RelayPaths:
    return RelayPaths(random.Random(1))


def test_failure_is_counted_for_a_while_or_until_the_target_is_reached() -> None:
    """Then the direct path is tried again."""
    paths = _paths()
    paths.record_failed("a", now_s=0.0)
    assert paths.is_faulty("a", now_s=MEMORY_S / 2) and not paths.is_faulty("a", now_s=MEMORY_S)
    paths.record_failed("a", now_s=5.0)
    paths.record_reached("a")
    assert not paths.is_faulty("a", now_s=5.0)


def test_instance_is_suspect_once_several_targets_failed_and_none_was_reached_since() -> None:
    """One target that fails again and again may be down, and so may one that nobody reaches."""
    paths = _paths()
    for _ in range(3):
        paths.record_failed("a", now_s=0.0)
    assert not paths.is_suspect(now_s=0.0)
    paths.record_failed("b", now_s=0.1)
    assert paths.is_suspect(now_s=0.1) and not paths.is_suspect(now_s=0.1 + CUT_OFF_MEMORY_S)
    paths.forget("b")
    assert not paths.is_suspect(now_s=0.1)
    paths.record_failed("b", now_s=0.2)
    paths.record_reached("c")
    paths.record_failed("b", now_s=0.3)
    assert not paths.is_suspect(now_s=0.3)


def test_targets_that_have_failed_do_not_show_whether_an_instance_is_cut_off() -> None:
    """They may be down; of the others a few are drawn."""
    paths = _paths()
    for target in "ab":
        paths.record_failed(target, now_s=0.0)
    assert set(paths.untried("abcd", limit=3)) == {"c", "d"}
    assert len(paths.untried("abcd", limit=1)) == 1
    paths.record_reached("c")
    assert set(paths.untried("abcd", limit=4)) == set("abcd")


def test_path_is_at_fault_once_a_peer_has_reached_the_target_until_one_is_reached_directly() -> (
    None
):
    """A target that nobody reaches is no fault of the path."""
    paths = _paths()
    paths.record_failed("a", now_s=0.0)
    assert not paths.has_path_fault(now_s=0.0)
    paths.record_relayed("a", "i1", now_s=0.1)
    assert paths.has_path_fault(now_s=0.1)
    assert not paths.has_path_fault(now_s=0.1 + CUT_OFF_MEMORY_S)
    paths.record_reached("b")
    assert not paths.has_path_fault(now_s=0.1)


def test_instance_is_cut_off_once_peers_have_reached_what_it_could_not() -> None:
    """Targets that nobody reaches may all be down; one that is reached directly ends it."""
    paths = _paths()
    for target in "abc":
        paths.record_failed(target, now_s=0.0)
    paths.record_relayed("other", "i1", now_s=0.1)
    paths.record_relayed("a", "i1", now_s=0.1)
    assert not paths.is_cut_off(now_s=0.1)
    paths.record_relayed("b", "i2", now_s=0.1)
    assert paths.is_cut_off(now_s=0.1)
    paths.record_reached("c")
    assert not paths.is_cut_off(now_s=0.1)


def test_peers_that_helped_are_tried_first_and_those_that_could_not_last() -> None:
    """The peer that reached the target comes before those that reached others."""
    paths = _paths()
    paths.record_relayed("a", "i3", now_s=0.0)
    paths.record_relayed("b", "i7", now_s=0.0)
    assert paths.relays("a", PEERS, now_s=1.0, limit=2) == ["i3", "i7"]
    assert set(paths.relays("c", PEERS, now_s=1.0, limit=2)) == {"i3", "i7"}
    paths.record_relay_failed("i3", now_s=1.0)
    assert "i3" not in paths.relays("a", PEERS, now_s=1.1, limit=19)
    assert paths.relays("a", ["i3"], now_s=1.1, limit=2) == ["i3"]


def test_peers_of_which_nothing_is_known_are_tried_at_random() -> None:
    """Instances that are cut off together spread over the peers."""
    paths = _paths()
    firsts = {paths.relays("a", PEERS, now_s=0.0, limit=1)[0] for _ in range(200)}
    assert firsts == set(PEERS)


def test_target_is_out_of_reach_while_neither_way_leads_there() -> None:
    """A peer that reaches it, or the end of the memory, ends that."""
    paths = _paths()
    paths.record_failed("a", now_s=0.0)
    paths.record_unrelayed("a", now_s=0.0)
    assert paths.is_out_of_reach("a", now_s=0.5) and not paths.is_out_of_reach("a", now_s=1.5)
    paths.record_failed("a", now_s=2.0)
    paths.record_unrelayed("a", now_s=2.0)
    paths.record_relayed("a", "i1", now_s=2.1)
    assert not paths.is_out_of_reach("a", now_s=2.2)


load_tests = load_functions(globals())
