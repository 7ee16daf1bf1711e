"""The owner's side of the path: performs operations on programs whose shards are open here.

Reads the cells `config` and `shards` through its ports; writes no cell. An operation for a shard
that is not open here, or whose lease may have lapsed, is refused as `OWNER_UNAVAILABLE` before
anything is done, so that the instance of arrival can ask the new owner.

A commit applies its records before it first waits, so a decision that is committed at once sees
all decisions before it.
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
    """Performs operations; `run` must be running in the node's nursery."""

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
        """Hold the tasks of running calls, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def spawn(self, function: Callable[..., Awaitable[None]], *arguments: object) -> None:
        """Run a task that outlives the request that asked for it."""
        assert self._nursery is not None
        self._nursery.start_soon(function, *arguments)

    async def perform(self, operation: ProgramOperation, sink: Sink) -> Refusal | None:
        """Perform an operation; return a refusal, or None when the sink has the answer."""
        shard = self.shards.find_open_for(operation.program_id)
        if shard is None or not shard.holds_ownership():
            return owner_changing_refusal(operation.program_id)
        return await OPERATION_HANDLERS_BY_TYPE[type(operation)](self, shard, operation, sink)

    def log_decision(self, running: RunningCall, kind: str, inputs: dict[str, object]) -> None:
        """Note a decision about a running call."""
        request_id = running.operation.request_id
        self.decisions.add(kind, request_id, program_id=running.program_id, **inputs)

    def note_ended(self, program_id: ProgramId, shard: ExecutionShard, is_cancelled: bool) -> None:
        """Free what an ended program holds; a cancelled one's running call is stopped."""
        if is_cancelled:
            for running in tuple(self.running_by_call.values()):
                if running.program_id == program_id:
                    running.stop(_CANCELLED)
        self._on_ended(program_id, shard)


_CANCELLED = Refusal(kind=ErrorKind.CANCELLED, detail="the program was cancelled", ran=Ran.UNKNOWN)


def owner_changing_refusal(program_id: str) -> Refusal:
    """Return the refusal of an instance that does not own the program now."""
    return make_refusal(
        ErrorKind.OWNER_UNAVAILABLE,
        f"the owner of {program_id} is changing",
        retry_after_s=OWNER_RETRY_S,
    )
