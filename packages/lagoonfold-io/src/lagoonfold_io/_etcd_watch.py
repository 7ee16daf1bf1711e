"""Decodes the response to a watch request into events."""

from collections.abc import AsyncIterator

import msgspec

from lagoonfold import ABSENT_REVISION, Entry, WatchEvent
from lagoonfold_io._etcd_messages import Event, WatchResponse
from lagoonfold_io._http_client import ResponseStream, StreamError

MAX_LINE_BYTES = 16_777_216


async def read_events(response: ResponseStream) -> AsyncIterator[WatchEvent]:
    """Yield the events of a watch.

    The iteration ends when the connection breaks, the service cancels the watch, or a line is
    longer than `MAX_LINE_BYTES` or cannot be decoded.
    """
    rest = b""
    try:
        async for chunk in response.chunks():
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                result = msgspec.json.decode(line, type=WatchResponse).result
                for event in result.events:
                    yield _to_event(event)
                if result.canceled:
                    return
            if len(rest) > MAX_LINE_BYTES:
                return
    except (StreamError, msgspec.DecodeError, ValueError):
        return


def _to_event(event: Event) -> WatchEvent:
    entry = event.kv.to_entry()
    revision = entry.revision
    if event.type == "DELETE":
        entry = Entry(key=entry.key, value=b"", revision=ABSENT_REVISION)
    return WatchEvent(entry=entry, revision=revision)
