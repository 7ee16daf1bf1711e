"""Which member carries the journal entries of its failure domain to the key-value service."""

from collections.abc import Collection, Iterable

from lagoonfold._ids import InstanceId
from lagoonfold._rendezvous import rendezvous_weight
from lagoonfold.membership._table import Member


def committer_of(
    members: Iterable[Member], failure_domain: str, *, excluded: Collection[InstanceId] = ()
) -> InstanceId | None:
    """Return the domain's committer, None if no member stays that is not avoided.

    Members that differ in what they know choose different ones for a while, which does no harm:
    a committer decides nothing.
    """
    names = (
        InstanceId(member.instance_id)
        for member in members
        if member.failure_domain == failure_domain and not member.leaving
    )
    usable = (name for name in names if name not in excluded)
    return max(usable, key=lambda name: rendezvous_weight(failure_domain, name), default=None)
