"""Headers of requests to upstreams: made here, with an allow-list of what callers may add.

No header of a caller passes that is not on the list, so no key ever does.
"""

from dataclasses import dataclass

from lagoonfold_io import Headers

PASSED_HEADERS = frozenset({"accept", "accept-language", "content-type"})


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestIdentity:
    """What an upstream is told of a request.

    `fencing` is `shard:epoch`, or empty for a request that no shard stands behind.
    """

    request_id: str
    fencing: str = ""
    idempotency_key: str = ""


def upstream_headers(identity: RequestIdentity, passed: Headers = ()) -> Headers:
    """Return the headers of an upstream request; of `passed`, only those on the allow-list."""
    headers = [(name, value) for name, value in passed if name in PASSED_HEADERS]
    headers.append(("x-request-id", identity.request_id))
    if identity.fencing:
        headers.append(("lagoonfold-epoch", identity.fencing))
    if identity.idempotency_key:
        headers.append(("idempotency-key", identity.idempotency_key))
    return tuple(headers)
