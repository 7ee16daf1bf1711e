"""Rendezvous hashing: instances that know the same names make the same choice."""

import xxhash


def rendezvous_weight(subject: object, name: str) -> int:
    """Return the weight of a name for a subject; the name with the highest weight is chosen.

    Adding or removing a name changes the choice only for subjects that this name wins.
    """
    return xxhash.xxh64_intdigest(f"{subject}|{name}".encode())
