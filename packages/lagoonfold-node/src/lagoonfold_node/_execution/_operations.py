"""The operations on programs, sent from the instance of arrival to the program's owner.

Each is a peer message and is entered with the function that performs it at the owner.

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
    """What every operation says; `timeout_s` is what is left of the caller's time."""

    request_id: str
    account_id: str
    program_id: str
    timeout_s: float


@peer_message
class CreateProgram(ProgramOperation, tag="create-program"):
    """Creates a program under a profile; the limits are already capped by the profile's."""

    profile: str
    parent_id: str
    tokens: int
    calls: int
    cost_micros: int
    wall_s: float


@peer_message
class RunCall(ProgramOperation, tag="run-call"):
    """Makes the call of a turn.

    `body` is the request in canonical form. `delivered_text` and `delivered_tokens` are what the
    caller has of a streamed answer whose owner was lost. `profile_names` are the profiles that the
    caller's key is limited to, if it is.
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
    """Ends a program, or cancels it together with its running call."""

    is_cancelled: bool


@peer_message
class ReadProgram(ProgramOperation, tag="read-program"):
    """Reads a program's state and budget."""


@peer_message
class ReadHistory(ProgramOperation, tag="read-history"):
    """Reads a program's turns."""


def handles_operation(
    operation: type[ProgramOperation],
) -> Callable[[OperationHandler], OperationHandler]:
    """Enter the decorated function as the handler of an operation.

    It is called with the executor, the open shard, the operation and the sink, and returns a
    refusal, or None when the sink has the whole answer.
    """

    def enter(handler: OperationHandler) -> OperationHandler:
        OPERATION_HANDLERS_BY_TYPE[operation] = handler
        return handler

    return enter
