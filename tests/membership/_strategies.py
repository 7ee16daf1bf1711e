"""Strategies for members and tables."""

from hypothesis import strategies as st

from lagoonfold.membership import Member

DOMAINS = ("domain-a", "domain-b", "domain-c")


def make_member(index: int, incarnation: str = "1", *, leaving: bool = False) -> Member:
    """Return the member `entry-<index>`, whose failure domain follows from its index."""
    return Member(
        instance_id=f"entry-{index}",
        incarnation=incarnation,
        address=f"127.0.0.1:{7000 + index}",
        failure_domain=DOMAINS[index % len(DOMAINS)],
        leaving=leaving,
    )


def member_sets() -> st.SearchStrategy[tuple[Member, ...]]:
    """Return sets of one to seven members, some leaving, some restarted."""
    member = st.builds(make_member, st.integers(0, 6), st.sampled_from("12"), leaving=st.booleans())
    return st.lists(member, min_size=1, max_size=7, unique_by=lambda each: each.instance_id).map(
        tuple
    )
