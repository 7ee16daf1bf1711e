"""API keys: generated from 256 random bits, shown once, stored as SHA-256 digests.

secret = generate_secret()
digest_of_key(secret)   # stored in the configuration
"""

import hashlib
import secrets

from lagoonfold._ids import KeyDigest
from lagoonfold._redaction import SECRET_PREFIX

_SECRET_BYTES = 32


def generate_secret() -> str:
    """Return a new key of 256 random bits, with a prefix that secret scanners can recognize."""
    return SECRET_PREFIX + secrets.token_urlsafe(_SECRET_BYTES)


def digest_of_key(secret: str) -> KeyDigest:
    """Return the digest under which a key is stored.

    An unsalted hash suffices because the key is random: no dictionary contains it.
    """
    return KeyDigest(hashlib.sha256(secret.encode("utf-8", "surrogateescape")).hexdigest())
