"""Operations on programs, sent by the instance that received the request to the program's owner.

Each operation is a peer message. The function that performs it at the owner is registered with
`handles_operation`:

    @handles_operation(EndProgram)
    async def end(executor: Executor, shard: ExecutionShard, operation: EndProgram, sink: Sink): ...
"""

from collections.abc import Awaitable, Callable
from typing import Any

from lagoonfold import Refusal
from lagoonfold_node._execution._sink import Sink
from lagoonfold_node._peers import PeerMessage, peer_message

OperationHandler = Callable[[Any, Any, Any, Sink], Awaitable[Refusal | None]]

OPERATION_HANDLERS_BY_TYPE: dict[type["ProgramOperation"], OperationHandler] = {}


class ProgramOperation(PeerMessage, frozen=True, kw_only=True):
    """The fields of every operation; `timeout_s` is the time left until the caller's deadline.

    The instance that received the request sends it to the program's owner. The answer is a stream
    with the operation's result, or a `CallRefused`.
    """

    request_id: str
    account_id: str
    program_id: str
    timeout_s: float


@peer_message
class CreateProgram(ProgramOperation, tag="create-program"):
    """Creates a program under a profile; its limits are already capped by the profile's limits.

    The answer is a JSON object with the program's id.
    """

    profile: str
    parent_id: str
    tokens: int
    calls: int
    cost_micros: int
    wall_s: float


@peer_message
class RunCall(ProgramOperation, tag="run-call"):
    """Makes the call of a turn; the answer is the upstream's, or the recorded one.

    `body` is the request in canonical form. `delivered_text` and `delivered_tokens` are the part
    of a streamed answer that the caller received before its former owner was lost. If the caller's
    key is limited to some profiles, `profile_names` lists them; otherwise it is empty.
    """

    turn: int
    route: str
    idempotency_key: str
    body: bytes
    profile_names: tuple[str, ...] = ()
    max_tokens: int | None = None
    is_streamed: bool = False
    delivered_text: str = ""
    delivered_tokens: int = 0


@peer_message
class EndProgram(ProgramOperation, tag="end-program"):
    """Ends a program, or cancels it and its running call; the answer is its state, as JSON."""

    is_cancelled: bool


@peer_message
class ReadProgram(ProgramOperation, tag="read-program"):
    """Reads a program's state and budget; the answer is a JSON object."""


@peer_message
class ReadHistory(ProgramOperation, tag="read-history"):
    """Reads a program's turns; the answer is a JSON object."""


def handles_operation(
    operation: type[ProgramOperation],
) -> Callable[[OperationHandler], OperationHandler]:
    """Register the decorated function as the handler of an operation.

    The handler is called with the executor, the open shard, the operation and the sink. It returns
    a refusal, or None after it has sent the whole answer to the sink.
    """

    def register(handler: OperationHandler) -> OperationHandler:
        OPERATION_HANDLERS_BY_TYPE[operation] = handler
        return handler

    return register
