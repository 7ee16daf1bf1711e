"""The state of a call that runs at its owner."""

from dataclasses import dataclass, field

import trio

from lagoonfold import AccountId, CallId, ErrorKind, ProgramId, Ran, Refusal
from lagoonfold.config import Route
from lagoonfold.records import NO_COST, Cost
from lagoonfold_node._execution._answer_buffer import AnswerBuffer
from lagoonfold_node._execution._operations import RunCall
from lagoonfold_node._execution._protocols import ExecutionShard
from lagoonfold_node._upstreams import RequestIdentity

ABANDONED = Refusal(kind=ErrorKind.CANCELLED, detail="the caller hung up", ran=Ran.UNKNOWN)


@dataclass(slots=True, kw_only=True, eq=False)
class RunningCall:
    """A call between its begin and its settlement.

    `deadline_s` is a time of the trio clock. `begun` is set once the begin record is durable or has
    failed; `begin_refusal` then says why it failed. `was_sent` says whether a byte may have gone
    upstream. `spent` is the cost so far, which is charged if an idempotent call fails.
    `stop_refusal` says why the call was cancelled.
    """

    call_id: CallId
    operation: RunCall
    route: Route
    shard: ExecutionShard
    reservation: Cost
    deadline_s: float
    content_digest: str
    answer_buffer: AnswerBuffer = field(init=False)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    begun: trio.Event = field(default_factory=trio.Event)
    begin_refusal: Refusal | None = None
    was_sent: bool = False
    spent: Cost = NO_COST
    stop_refusal: Refusal | None = None

    def __post_init__(self) -> None:
        self.answer_buffer = AnswerBuffer(self._abandon)

    @property
    def program_id(self) -> ProgramId:
        """Return the program that makes the call."""
        return ProgramId(self.operation.program_id)

    @property
    def account_id(self) -> AccountId:
        """Return the account that the program runs for."""
        return AccountId(self.operation.account_id)

    def identity(self) -> RequestIdentity:
        """Return the ids and the fencing number that are sent upstream with the call."""
        return RequestIdentity(
            request_id=self.operation.request_id,
            fencing=f"{self.shard.shard_id}:{self.shard.epoch}",
            idempotency_key=self.operation.idempotency_key or str(self.call_id),
        )

    def stop(self, refusal: Refusal) -> None:
        """Cancel the call; the first refusal passed is the one its readers receive."""
        if self.stop_refusal is None:
            self.stop_refusal = refusal
        self.scope.cancel()

    def _abandon(self) -> None:
        """Cancel an abandoned call if it is idempotent; let others run to their outcome."""
        if self.route.is_idempotent:
            self.stop(ABANDONED)
