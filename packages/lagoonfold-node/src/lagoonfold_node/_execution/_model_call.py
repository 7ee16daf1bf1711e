"""Run model calls: place them on a replica, stream the answer, resume on another on failure.

Events are relayed unchanged, and the last ones are held back until the outcome is recorded. An
interrupted stream is resumed after the tokens that the readers already have, so that they receive
the whole answer once.
"""

import math
from dataclasses import dataclass, field
from functools import partial

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import Ran, Refusal
from lagoonfold.config import RouteKind
from lagoonfold_node._dispatch import CallUsage, Placement
from lagoonfold_node._execution._answer_buffer import CallAnswer
from lagoonfold_node._execution._attempts import AttemptResult, RetryableCall, run_attempts
from lagoonfold_node._execution._costs import (
    DEFAULT_ANSWER_TOKENS,
    cost_of,
    prompt_tokens_of,
    remaining_answer_tokens,
)
from lagoonfold_node._execution._executor import Executor
from lagoonfold_node._execution._placement_requests import placement_request
from lagoonfold_node._execution._prompts import engine_body, history_messages
from lagoonfold_node._execution._render import COMPLETION_TYPE
from lagoonfold_node._execution._runners import RunResult, runner_for
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._upstreams import (
    DONE_EVENT,
    SILENCE_TIMEOUT_S,
    Completion,
    EngineCall,
    EngineStream,
    UpstreamFailure,
    Usage,
    encode_completion,
    moved_failure,
)

SILENCE_STEP_S = 0.1
OK = 200
FINISH_STOP = "stop"
FINISH_LENGTH = "length"


@dataclass(slots=True, kw_only=True)
class _Generation:
    """The answer of a call over all its attempts.

    `limit` is the maximum number of its tokens. `has_chunks` is set once an engine has generated
    output, which is charged.
    """

    running: RunningCall
    body: dict
    prompt_tokens: int
    limit: int
    completion: Completion = field(default_factory=Completion)
    last_part: bytes = b""
    has_chunks: bool = False

    def next_completion(self) -> Completion:
        """Replace the completion by one that continues it, for the next attempt."""
        previous = self.completion
        self.completion = Completion()
        self.completion.resume_after(previous.text(), previous.tokens)
        return self.completion

    def is_over_limit(self) -> bool:
        """Return whether the engine ignored `max_tokens` and exceeded the limit."""
        return self.completion.tokens > self.limit

    def truncate(self, position: tuple[int, int]) -> None:
        """End the answer at a position, as an engine that honors `max_tokens` would."""
        self.completion.truncate(position)
        self.completion.finish_reason = FINISH_LENGTH
        self.last_part = DONE_EVENT

    def charged_tokens(self) -> int:
        """Return the number of tokens to charge so far."""
        return prompt_tokens_of(self.running.operation.body) + self.completion.tokens


@runner_for(RouteKind.MODEL)
async def run_model(executor: Executor, running: RunningCall) -> Result[RunResult, Refusal]:
    """Generate a whole answer, on several replicas if needed and the retry budgets allow it."""
    history = await running.shard.read_history(running.program_id, wait_durable=False)
    if isinstance(history, Err):
        return history
    operation = running.operation
    earlier_messages = history_messages(history.ok_value)
    limit = remaining_answer_tokens(running.reservation, operation.body)
    is_limited = operation.max_tokens is not None or limit < DEFAULT_ANSWER_TOKENS
    body = engine_body(
        operation.body,
        earlier_messages,
        model=running.route.target,
        max_tokens=limit if is_limited else None,
    )
    generation = _Generation(
        running=running,
        body=body,
        prompt_tokens=prompt_tokens_of(msgspec.json.encode(body["messages"])),
        limit=limit,
    )
    generation.completion.resume_after(operation.delivered_text, operation.delivered_tokens)
    retryable_call = RetryableCall(
        request=placement_request(executor, running, prompt_tokens=generation.prompt_tokens),
        send=partial(_generate, executor, generation),
        is_idempotent=running.route.is_idempotent,
        holds_ownership=running.shard.holds_ownership,
        log_decision=partial(executor.log_decision, running),
    )
    generated = await run_attempts(executor.upstream_clients.dispatcher, retryable_call)
    if isinstance(generated, Err):
        return generated
    return Ok(_run_result(generation))


async def _generate(
    executor: Executor, generation: _Generation, placement: Placement
) -> Result[AttemptResult[None], UpstreamFailure]:
    """Generate the rest of the answer on one replica."""
    if generation.completion.tool_calls_by_index:
        return Err(UpstreamFailure(detail="tool calls can't be resumed", ran=Ran.UNKNOWN))
    running = generation.running
    completion = generation.next_completion()
    call = EngineCall(
        address=placement.address,
        identity=running.identity(),
        body=generation.body,
        priority=placement.priority,
        cache_key=running.program_id,
        resume_from=completion.tokens,
        move_requested=placement.move_requested,
    )
    running.was_sent = True
    async with executor.upstream_clients.engine.open(call, completion) as opened:
        if isinstance(opened, Err):
            return opened
        failure = await _relay(generation, opened.ok_value, placement)
    if failure is not None:
        return Err(failure)
    return Ok(AttemptResult(value=None, usage=_call_usage(generation)))


async def _relay(
    generation: _Generation, stream: EngineStream, placement: Placement
) -> UpstreamFailure | None:
    """Relay the events to the readers as they arrive, except for the last.

    A cancel scope ends the stream if no event arrives for `SILENCE_TIMEOUT_S`. The timeout is
    suspended while readers hold the stream back, and ends with the last event.
    """
    failure: UpstreamFailure | None = None
    running = generation.running
    try:
        with trio.CancelScope() as silence_scope:
            failure = await _relay_chunks(generation, stream, placement, silence_scope)
    finally:
        if generation.has_chunks:
            running.spent = cost_of(running.route, generation.charged_tokens())
    if silence_scope.cancelled_caught:
        return await stream.explain_silence()
    return failure


async def _relay_chunks(
    generation: _Generation,
    stream: EngineStream,
    placement: Placement,
    silence_scope: trio.CancelScope,
) -> UpstreamFailure | None:
    running = generation.running
    while True:
        _extend_timeout(silence_scope)
        position = generation.completion.position()
        read = await stream.read()
        if isinstance(read, Err):
            return read.err_value
        chunk = read.ok_value
        if generation.is_over_limit():
            generation.truncate(position)
            return None
        generation.has_chunks = True
        if chunk.is_last:
            generation.last_part = chunk.raw
            silence_scope.deadline = math.inf
            await stream.drain()
            return None
        if running.answer_buffer.has_room():
            running.answer_buffer.add(chunk.raw)
        else:
            silence_scope.deadline = math.inf
            placement.mark_backpressure()
            await running.answer_buffer.write(chunk.raw)
        placement.update_tokens(generation.completion.tokens)
        if placement.move_requested.is_set() and not generation.completion.tool_calls_by_index:
            return moved_failure()


def _extend_timeout(silence_scope: trio.CancelScope) -> None:
    """Extend the deadline in steps, since each new deadline adds an entry to trio's heap."""
    earliest = trio.current_time() + SILENCE_TIMEOUT_S
    if not earliest <= silence_scope.deadline < math.inf:
        silence_scope.deadline = earliest + SILENCE_STEP_S


def _call_usage(generation: _Generation) -> CallUsage:
    usage = generation.completion.usage
    return CallUsage(
        prompt_tokens=usage.prompt_tokens if usage else generation.prompt_tokens,
        cached_tokens=usage.cached_tokens() if usage else 0,
        completion_tokens=generation.completion.tokens,
    )


def _run_result(generation: _Generation) -> RunResult:
    running, completion = generation.running, generation.completion
    usage = completion.usage or Usage(
        prompt_tokens=generation.prompt_tokens,
        completion_tokens=completion.tokens,
        total_tokens=generation.prompt_tokens + completion.tokens,
    )
    body = encode_completion(
        completion.message(),
        call_id=running.call_id,
        model=running.operation.route,
        finish_reason=completion.finish_reason or FINISH_STOP,
        usage=usage,
    )
    return RunResult(
        answer=CallAnswer(status=OK, content_type=COMPLETION_TYPE, body=body),
        used=cost_of(running.route, generation.charged_tokens()),
        last_part=generation.last_part,
    )
