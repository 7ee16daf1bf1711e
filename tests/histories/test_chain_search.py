"""Searches for chains of turns, and when a turn certainly does not exist."""

from lagoonfold.histories import ChainSearch, KeptTurn
from tests._suite import load_functions
from tests.histories.test_disks import make_disks


def _turn(turn_id: str, previous: str | None, account: str = "acme") -> KeptTurn:
    return KeptTurn(
        turn_id=turn_id,
        account=account,
        previous=previous,
        program="p1",
        request=b"",
        answer=b"",
    )


A, B, C = _turn("a", None), _turn("b", "a"), _turn("c", "b")


def test_chain_is_put_together_from_parts() -> None:
    """A cache holds the newest turn, one disk the next, another one the first."""
    search = ChainSearch("c", "acme")
    search.add_cached({C.key: C}.get)
    assert search.missing == "b"
    assert search.add([B]) and search.missing == "a"
    assert not search.add([B]) and not search.add([_turn("a", None, "other")])
    assert search.add([A]) and search.is_complete
    assert search.chain == (A, B, C)


def test_turn_does_not_exist_only_after_each_listed_disk_has_said_so() -> None:
    """Answers before the listing was read prove nothing, as copies may have moved since."""
    disks = make_disks("abc")
    search = ChainSearch("c", "acme")
    for disk in disks:
        search.record_absent("c", disk.name, disk.disk_id)
    assert not search.does_not_exist
    search.begin_proof(disks)
    for disk in disks[:2]:
        search.record_absent("c", disk.name, disk.disk_id)
    assert not search.does_not_exist
    search.record_absent("c", disks[2].name, disks[2].disk_id)
    assert search.does_not_exist


def test_disk_that_has_lost_its_contents_since_the_listing_proves_nothing() -> None:
    """It answers with another id; what it held may have been copied to a disk asked before."""
    (disk,) = make_disks("a")
    search = ChainSearch("c", "acme")
    search.begin_proof([disk])
    search.record_absent("c", disk.name, "disk-new")
    assert not search.does_not_exist


def test_lost_turn_further_back_is_not_told_as_a_turn_that_does_not_exist() -> None:
    """The caller's turn exists, since it was found; that a part of its chain is gone is a loss."""
    disks = make_disks("ab")
    search = ChainSearch("c", "acme")
    search.begin_proof(disks)
    search.add([C])
    for disk in disks:
        search.record_absent("b", disk.name, disk.disk_id)
    assert not search.does_not_exist and not search.is_complete
    search.begin_proof(disks)
    for disk in disks:
        search.record_absent("b", disk.name, disk.disk_id)
    assert not search.does_not_exist


def test_turn_that_is_found_during_a_proof_ends_it() -> None:
    """One disk says no, another one has it."""
    disks = make_disks("ab")
    search = ChainSearch("b", "acme")
    search.begin_proof(disks)
    search.record_absent("b", disks[0].name, disks[0].disk_id)
    search.add([B, A])
    search.record_absent("b", disks[1].name, disks[1].disk_id)
    assert search.is_complete and not search.does_not_exist


load_tests = load_functions(globals())
