"""The order in which a program's turns use the disks."""

from collections import Counter

from lagoonfold.histories import CopyRule, Disk, rank_disks
from tests._suite import load_functions


def make_disks(domains: str, per_domain: int = 1, region: str = "") -> list[Disk]:
    """Return disks s-a-1, s-a-2, ... in the failure domains a, b, ... of a region."""
    return [
        Disk(
            name=f"s-{domain}-{number}",
            disk_id=f"disk-{domain}-{number}",
            address="10.0.0.1:1",
            failure_domain=domain,
            region=region,
        )
        for domain in domains
        for number in range(1, per_domain + 1)
    ]


def test_first_disks_of_a_program_are_in_different_failure_domains() -> None:
    """Of 9 disks in 3 domains, the first 3 are in all of them, and so are the next 3."""
    disks = make_disks("abc", 3)
    for number in range(200):
        ranked = rank_disks(f"program-{number}", disks)
        assert sorted(ranked, key=lambda disk: disk.name) == disks
        for start in (0, 3, 6):
            assert {disk.failure_domain for disk in ranked[start : start + 3]} == set("abc")


def test_programs_are_spread_over_all_disks() -> None:
    """Each of 9 disks is the first one for a ninth of 3,000 programs, give or take a fifth."""
    disks = make_disks("abc", 3)
    firsts = Counter(rank_disks(f"program-{number}", disks)[0].name for number in range(3_000))
    assert all(267 <= count <= 400 for count in firsts.values()), firsts


def test_disk_that_is_added_takes_only_its_own_share() -> None:
    """Programs either keep their first two disks or get the new one among them."""
    before, after = make_disks("abc"), make_disks("abcd")
    for number in range(300):
        first = {disk.name for disk in rank_disks(f"program-{number}", before)[:2]}
        second = {disk.name for disk in rank_disks(f"program-{number}", after)[:2]}
        assert second == first or "s-d-1" in second


def test_rule_counts_machines_and_failure_domains() -> None:
    """A rule for lost domains needs copies in more of them; a disk counts once."""
    one_domain = make_disks("a", 3)
    rule = CopyRule.for_losses(machines=1, domains=0)
    assert rule.is_met_by(one_domain[:2]) and not rule.is_met_by(one_domain[:1] * 2)
    rule = CopyRule.for_losses(machines=2, domains=1)
    assert not rule.is_met_by(one_domain)
    assert rule.is_met_by([*one_domain[:2], *make_disks("b")])


def test_copies_bear_the_loss_of_a_region_however_many_disks_it_has() -> None:
    """The first disks meet the rule wherever that can be, and a region's loss leaves a copy."""
    disks = make_disks("abcd", 4, "east") + make_disks("efg", 1, "west") + make_disks("h", 2, "far")
    for machines, domains, regions in ((1, 0, 1), (0, 2, 1), (3, 1, 1), (1, 1, 2)):
        rule = CopyRule.for_losses(machines=machines, domains=domains, regions=regions)
        for number in range(200):
            first = rank_disks(f"program-{number}", disks)[: rule.copies]
            assert rule.is_met_by(first), (rule, first)
            assert not rule.is_met_by([disk for disk in first if disk.region == "east"])


load_tests = load_functions(globals())
