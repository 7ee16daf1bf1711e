"""Answers on their way to a caller: streamed as they come, or from the record."""

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold_node._execution._feed import Answer, AnswerFeed, FeedReader
from lagoonfold_node._execution._operations import RunCall
from lagoonfold_node._execution._sink import EVENT_STREAM, JSON, Sink, refuse, send_whole
from lagoonfold_node._upstreams import StreamError, completion_events

COMPLETION = "application/vnd.lagoonfold.completion+json"
OK = 200


async def stream_answer(feed: AnswerFeed, reader: FeedReader, sink: Sink) -> Refusal | None:
    """Give a running call's events to a sink as they come."""
    is_started = False
    while data := await reader.read():
        if not is_started:
            await sink.start(OK, EVENT_STREAM)
            is_started = True
            reader.relay_parts_to(sink)
        await sink.send(data)
    if feed.refusal is not None:
        return feed.refusal
    await sink.finish()
    return None


async def send_answer(answer: Answer, operation: RunCall, sink: Sink) -> Refusal | None:
    """Give a whole answer to a sink, as events where the caller asked for a stream."""
    if answer.content_type != COMPLETION:
        await send_whole(sink, answer.status, answer.content_type, answer.body)
        return None
    if not operation.is_streamed:
        await send_whole(sink, answer.status, JSON, answer.body)
        return None
    try:
        events = completion_events(answer.body, operation.delivered_text)
    except StreamError as error:
        return refuse(ErrorKind.UPSTREAM_FAILED, str(error), ran=Ran.YES)
    await send_whole(sink, answer.status, EVENT_STREAM, events)
    return None
