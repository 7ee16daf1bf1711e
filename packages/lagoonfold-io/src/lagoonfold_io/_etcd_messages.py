"""The part of etcd v3's JSON gateway that the key-value adapter speaks.

Absent fields have their zero value, as the gateway leaves zero values out.
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
    """The head of each response."""

    revision: str = "0"


class RangeResponse(msgspec.Struct, kw_only=True):
    """The answer to a read."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: tuple[KeyValue, ...] = ()
    count: str = "0"


class NestedTxnResponse(msgspec.Struct, kw_only=True):
    """The answer to a transaction within a transaction."""

    succeeded: bool = False


class StepResponse(msgspec.Struct, kw_only=True):
    """The answer to one step of a transaction, of which only these parts matter here."""

    response_range: RangeResponse = msgspec.field(default_factory=RangeResponse)
    response_txn: NestedTxnResponse = msgspec.field(default_factory=NestedTxnResponse)


class TxnResponse(msgspec.Struct, kw_only=True):
    """The answer to a transaction."""

    header: Header = msgspec.field(default_factory=Header)
    succeeded: bool = False
    responses: tuple[StepResponse, ...] = ()


class LeaseResponse(msgspec.Struct, kw_only=True):
    """The answer to the grant of a lease, and the inner part of that to its renewal."""

    ID: str = "0"
    TTL: str = "0"


class KeepAliveResponse(msgspec.Struct, kw_only=True):
    """The answer to the renewal of a lease; a lease that is gone has no time to live."""

    result: LeaseResponse = msgspec.field(default_factory=LeaseResponse)


class ErrorResponse(msgspec.Struct, kw_only=True):
    """The body of a failed call."""

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
    """Return a key or a value as the gateway takes it."""
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that begin with the prefix, which is ASCII."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
