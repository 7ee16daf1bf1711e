"""Rendezvous hashing: instances that know the same names make the same choice."""

import math

import xxhash

_HASH_RANGE = 2.0**64


def rendezvous_weight(subject: object, name: str) -> int:
    """Return the weight of a name for a subject; the name with the highest weight is chosen.

    Adding or removing a name changes the choice only for subjects that this name wins.
    """
    return xxhash.xxh64_intdigest(f"{subject}|{name}".encode())


def weighted_score(subject: object, name: str, weight: float) -> float:
    """Return the score of a name that is to win a share of the subjects in proportion to a weight.

    The name with the highest score is chosen.
    """
    uniform = (rendezvous_weight(subject, name) + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(uniform)
