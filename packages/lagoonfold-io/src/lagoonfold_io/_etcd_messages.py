"""The messages of etcd v3's JSON gateway that the key-value adapter uses.

Every field defaults to its zero value, since the JSON gateway omits zero values.
"""

import base64

import msgspec

from lagoonfold import Entry


class KeyValue(msgspec.Struct, kw_only=True):
    """A key's value and the revision of its last change; `key` and `value` are in base64."""

    key: str = ""
    value: str = ""
    mod_revision: str = "0"

    def to_entry(self) -> Entry:
        """Return the entry with the key and the value decoded."""
        key = base64.b64decode(self.key).decode()
        return Entry(key=key, value=base64.b64decode(self.value), revision=int(self.mod_revision))


class Header(msgspec.Struct, kw_only=True):
    """The header of each response, with the store's revision."""

    revision: str = "0"


class RangeResponse(msgspec.Struct, kw_only=True):
    """The response to a range read."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: tuple[KeyValue, ...] = ()
    count: str = "0"


class NestedTxnResponse(msgspec.Struct, kw_only=True):
    """The response to a transaction nested in another."""

    succeeded: bool = False


class StepResponse(msgspec.Struct, kw_only=True):
    """The response to one operation of a transaction: a range read or a nested transaction."""

    response_range: RangeResponse = msgspec.field(default_factory=RangeResponse)
    response_txn: NestedTxnResponse = msgspec.field(default_factory=NestedTxnResponse)


class TxnResponse(msgspec.Struct, kw_only=True):
    """The response to a transaction."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: tuple[StepResponse, ...] = ()


class LeaseResponse(msgspec.Struct, kw_only=True):
    """The response to the grant of a lease; also nested in the response to a renewal."""

    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct, kw_only=True):
    """The response to the renewal of a lease; the TTL of an expired lease is zero."""

    result: LeaseResponse = msgspec.field(default_factory=LeaseResponse)


class ErrorResponse(msgspec.Struct, kw_only=True):
    """The body of an error response."""

    code: int = 0
    message: str = ""


class Event(msgspec.Struct, kw_only=True):
    """One change of a watched key."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, kw_only=True):
    """A batch of changes."""

    events: tuple[Event, ...] = ()
    canceled: bool = False


class WatchResponse(msgspec.Struct, kw_only=True):
    """One line of a watch."""

    result: WatchResult


def to_base64(text: str | bytes) -> str:
    """Return a key or a value in base64, the form that the JSON gateway expects."""
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that begin with an ASCII prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
