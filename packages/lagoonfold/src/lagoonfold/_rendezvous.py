"""Rendezvous hashing: whoever knows the same names makes the same choice."""

import xxhash


def rendezvous_weight(subject: object, name: str) -> int:
    """Return the weight of a name for a subject; the name of the highest weight is chosen.

    A name that comes or goes changes the choice only of the subjects that it wins or has won.
    """
    return xxhash.xxh64_intdigest(f"{subject}|{name}".encode())
