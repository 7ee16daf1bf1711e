"""Selects the member that sends a failure domain's journal entries to the key-value service."""

from collections.abc import Collection, Iterable

from lagoonfold._ids import InstanceId
from lagoonfold._rendezvous import rendezvous_weight
from lagoonfold.membership._table import Member


def committer_of(
    members: Iterable[Member], failure_domain: str, *, excluded: Collection[InstanceId] = ()
) -> InstanceId | None:
    """Return the domain's committer, None if each of its members is leaving or excluded.

    Members with different views may select different committers for a while. This is safe, since a
    committer decides nothing.
    """
    member_ids = (
        InstanceId(member.instance_id)
        for member in members
        if member.failure_domain == failure_domain and not member.leaving
    )
    candidates = (member_id for member_id in member_ids if member_id not in excluded)
    return max(
        candidates, key=lambda member_id: rendezvous_weight(failure_domain, member_id), default=None
    )
