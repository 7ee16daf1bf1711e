"""Send answers to a caller: streamed while they are generated, or whole."""

from lagoonfold import ErrorKind, Ran, Refusal
from lagoonfold_node._execution._answer_buffer import AnswerBuffer, AnswerReader, CallAnswer
from lagoonfold_node._execution._operations import RunCall
from lagoonfold_node._execution._sink import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    Sink,
    make_refusal,
    send_complete,
)
from lagoonfold_node._upstreams import StreamError, encode_completion_events

COMPLETION_TYPE = "application/vnd.lagoonfold.completion+json"
OK = 200


async def stream_answer(
    answer_buffer: AnswerBuffer, reader: AnswerReader, sink: Sink
) -> Refusal | None:
    """Send a running call's events to a sink as they arrive."""
    is_started = False
    while data := await reader.read():
        if not is_started:
            await sink.start(OK, EVENT_STREAM_TYPE)
            is_started = True
            reader.relay_parts_to(sink)
        await sink.send(data)
    if answer_buffer.refusal is not None:
        return answer_buffer.refusal
    await sink.finish()
    return None


async def send_answer(answer: CallAnswer, operation: RunCall, sink: Sink) -> Refusal | None:
    """Send a whole answer to a sink, as events if the caller requested a stream."""
    if answer.content_type != COMPLETION_TYPE:
        await send_complete(sink, answer.status, answer.content_type, answer.body)
        return None
    if not operation.is_streamed:
        await send_complete(sink, answer.status, JSON_TYPE, answer.body)
        return None
    try:
        events = encode_completion_events(answer.body, operation.delivered_text)
    except StreamError as error:
        return make_refusal(ErrorKind.UPSTREAM_FAILED, str(error), ran=Ran.YES)
    await send_complete(sink, answer.status, EVENT_STREAM_TYPE, events)
    return None
