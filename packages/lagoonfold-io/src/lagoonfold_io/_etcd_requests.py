"""Requests to the JSON gateway of the key-value service."""

import msgspec

from lagoonfold import ABSENT_REVISION, NewEntry
from lagoonfold_io._etcd_messages import prefix_end, to_base64
from lagoonfold_io._http_messages import HttpRequest

_JSON_HEADERS = (("content-type", "application/json"),)


def at_revision(key: str, revision: int) -> dict:
    """Return the condition that the key's last change was at a revision."""
    return {
        "key": to_base64(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(revision),
    }


def range_of(prefix: str) -> dict:
    """Return the fields that select all keys below a prefix."""
    return {"key": to_base64(prefix), "range_end": to_base64(prefix_end(prefix))}


def create_step(entry: NewEntry) -> dict:
    """Return a nested transaction that creates a key if it is absent."""
    put = {"key": to_base64(entry.key), "value": to_base64(entry.value)}
    compare = [at_revision(entry.key, ABSENT_REVISION)]
    return {"request_txn": {"compare": compare, "success": [{"request_put": put}]}}


def post(path: str, fields: dict) -> HttpRequest:
    """Return the HTTP request of a call."""
    body = msgspec.json.encode(fields)
    return HttpRequest(method="POST", path=path, headers=_JSON_HEADERS, body=body)
