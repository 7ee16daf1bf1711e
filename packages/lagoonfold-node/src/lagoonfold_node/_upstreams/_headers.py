"""Headers of requests to upstreams.

A caller's headers are passed on only if they are on an allow-list, so that no key reaches an
upstream.
"""

from dataclasses import dataclass

from lagoonfold_io import Headers

ALLOWED_HEADERS = frozenset({"accept", "accept-language", "content-type"})


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestIdentity:
    """The values that identify a request to an upstream.

    `fencing` is `shard:epoch`, or empty for a request that belongs to no shard.
    """

    request_id: str
    fencing: str = ""
    idempotency_key: str = ""


def upstream_headers(identity: RequestIdentity, candidates: Headers = ()) -> Headers:
    """Return the headers of an upstream request, with the allowed ones of `candidates`."""
    headers = [(name, value) for name, value in candidates if name in ALLOWED_HEADERS]
    headers.append(("x-request-id", identity.request_id))
    if identity.fencing:
        headers.append(("lagoonfold-epoch", identity.fencing))
    if identity.idempotency_key:
        headers.append(("idempotency-key", identity.idempotency_key))
    return tuple(headers)
