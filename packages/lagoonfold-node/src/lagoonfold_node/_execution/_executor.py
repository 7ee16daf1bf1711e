"""Perform operations on programs whose shards are open on this instance.

An operation is refused with `OWNER_UNAVAILABLE`, before it has any effect, if its shard is not
open here or the shard's lease may have lapsed. The instance that received the request can then
forward it to the new owner.

A commit applies its records before it first awaits, so a decision that is committed without
awaiting in between sees all earlier decisions.
"""

from collections.abc import Awaitable, Callable

import trio

from lagoonfold import CallId, Cell, ErrorKind, ProgramId, Ran, Refusal
from lagoonfold.config import ConfigView
from lagoonfold_node._decisions import DecisionLog
from lagoonfold_node._execution._operations import OPERATION_HANDLERS_BY_TYPE, ProgramOperation
from lagoonfold_node._execution._protocols import ExecutionShard, ShardLookup
from lagoonfold_node._execution._running import RunningCall
from lagoonfold_node._execution._sink import Sink, make_refusal
from lagoonfold_node._upstreams import UpstreamClients

OWNER_RETRY_S = 0.2


class Executor:
    """Performs operations on programs; `run` must be running before the first one.

    It reads the configuration from the cell `config` and finds shards by `shards`. `on_ended` is
    called with each program that ends here, `on_fault` with each unexpected exception of a call.
    """

    def __init__(
        self,
        *,
        shards: ShardLookup,
        config: Cell[ConfigView],
        upstream_clients: UpstreamClients,
        decisions: DecisionLog,
        on_ended: Callable[[ProgramId, ExecutionShard], None] = lambda program_id, shard: None,
        on_fault: Callable[[str, BaseException], None] = lambda event, error: None,
    ) -> None:
        self.shards = shards
        self.config = config
        self.upstream_clients = upstream_clients
        self.decisions = decisions
        self.on_fault = on_fault
        self.running_by_call: dict[CallId, RunningCall] = {}
        self._on_ended = on_ended
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def spawn(self, function: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Start a task that may outlive the request that starts it."""
        assert self._nursery is not None
        self._nursery.start_soon(function, *arguments)

    async def perform(self, operation: ProgramOperation, sink: Sink) -> Refusal | None:
        """Perform an operation; return a refusal, or None if the answer was sent to the sink."""
        shard = self.shards.find_open_for(operation.program_id)
        if shard is None or not shard.holds_ownership():
            return owner_changing_refusal(operation.program_id)
        return await OPERATION_HANDLERS_BY_TYPE[type(operation)](self, shard, operation, sink)

    def log_decision(self, running: RunningCall, kind: str, inputs: dict[str, object]) -> None:
        """Add a decision about a running call to the decision log."""
        request_id = running.operation.request_id
        self.decisions.add(kind, request_id, program_id=running.program_id, **inputs)

    def release_program(
        self, program_id: ProgramId, shard: ExecutionShard, is_cancelled: bool
    ) -> None:
        """Release the resources of an ended program; stop its running call if it was cancelled."""
        if is_cancelled:
            for running in tuple(self.running_by_call.values()):
                if running.program_id == program_id:
                    running.stop(_CANCELLED)
        self._on_ended(program_id, shard)


_CANCELLED = Refusal(kind=ErrorKind.CANCELLED, detail="the program was cancelled", ran=Ran.UNKNOWN)


def owner_changing_refusal(program_id: str) -> Refusal:
    """Return the refusal of an instance that does not currently own the program."""
    return make_refusal(
        ErrorKind.OWNER_UNAVAILABLE,
        f"the owner of {program_id} is changing",
        retry_after_s=OWNER_RETRY_S,
    )
