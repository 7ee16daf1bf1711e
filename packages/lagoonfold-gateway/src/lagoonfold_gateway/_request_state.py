"""The state of one forwarded request from its arrival to the last byte of its answer."""

import copy
from dataclasses import dataclass, field

from lagoonfold.forwarding import AttemptHistory, ClientAccount, ForwardRoute, RouteKind
from lagoonfold.histories import KeptTurn, prompt_parts
from lagoonfold_gateway._budget_client import AdmittedTurn
from lagoonfold_gateway._parsed_request import ParsedRequest
from lagoonfold_gateway.histories._history_client import Chain

FIRST_EVENT_S = 0.1  # from a replica with a free slot
ANSWER_FIELDS = (  # what the answer of one attempt has shown
    "reported_load",
    "event_s",
    "named_limits",
    "reported_pace",
    "cold_until_s",
    "answer_kind",
    "head_s",
    "via",
    "is_path_fault",
)


@dataclass(slots=True, kw_only=True)
class RequestState:
    """The progress of a request and the decisions about it, logged when it ends.

    `arrived_s`, `answer_deadline_s`, `first_byte_s` and `last_event_s` are times on this instance's
    clock, the `_wait_s` fields durations. The final answer is sent by `answer_deadline_s`.
    `attempt_log` has a line for each attempt.

    The replica of the latest attempt told `reported_load` requests, the figure `reported_pace` of
    its pace and the limits `named_limits` with its answer, whose head took `head_s` and whose
    events came `event_s` apart on average. They are None or empty without an answer, as is
    `cold_until_s`, until when the replica is cold by it. `answer_kind` is the answer's status and
    media type. The replica was called through the instance `via`, if that is set, and
    `is_path_fault` says that its failure shows nothing of the replica. A request that `is_hedged`
    has got a second attempt while the first was in progress; each of the two has a `fork` for what
    its answer shows.

    On a route that keeps histories, `chain` is what the turn continues from, and `answer_text` the
    text of the events that the caller has got.
    """

    parsed: ParsedRequest
    route: ForwardRoute
    account: ClientAccount | None
    config_version: int
    arrived_s: float
    answer_deadline_s: float
    attempts: AttemptHistory
    digest: str
    admitted_turn: AdmittedTurn | None = None
    rate_wait_s: float = 0.0
    place_wait_s: float = 0.0
    first_byte_s: float | None = None
    last_event_s: float | None = None
    reported_load: int | None = None
    reported_pace: float | None = None
    event_s: float | None = None
    named_limits: tuple[str, ...] = ()
    cold_until_s: float | None = None
    answer_kind: str | None = None
    head_s: float | None = None
    via: str | None = None
    is_path_fault: bool = False
    is_hedged: bool = False
    chain: Chain = Chain()
    chain_wait_s: float = 0.0
    keep_wait_s: float = 0.0
    answer_text: bytearray = field(default_factory=bytearray)
    attempt_log: list[str] = field(default_factory=list)
    outcome: str = "unfinished"
    status: int = 0

    def forget_answer(self) -> None:
        """Forget what the answer of the attempt before has shown of its replica."""
        self.reported_load = self.event_s = self.head_s = self.answer_kind = None
        self.named_limits, self.cold_until_s = (), None
        self.reported_pace = None
        self.via, self.is_path_fault = None, False

    def fork(self) -> "RequestState":
        """Return a copy for one attempt, without what the answer of another has shown.

        It shares the history and the log of attempts.
        """
        forked = copy.copy(self)
        forked.forget_answer()
        return forked

    def adopt_answer(self, forked: "RequestState") -> None:
        """Take over what the answer of an attempt has shown."""
        for name in ANSWER_FIELDS:
            setattr(self, name, getattr(forked, name))

    @property
    def is_stream_taken_up(self) -> bool:
        """Return whether the caller has a part of the stream from an earlier request."""
        return self.route.kind is RouteKind.STREAM and self.parsed.last_event is not None

    @property
    def stream_id(self) -> str:
        """Return the id of the request that brings, or has brought, the stream's first event."""
        if self.is_stream_taken_up and self.parsed.resumed_request is not None:
            return self.parsed.resumed_request
        return self.parsed.request_id

    @property
    def account_name(self) -> str:
        """Return the name of the client account, "" for a request without one."""
        return self.account.name if self.account is not None else ""

    @property
    def affinity(self) -> str | None:
        """Return the key of the object that a request concerns, None if its route has none."""
        return self.parsed.affinity if self.route.is_program_turn else None

    @property
    def prompt_parts(self) -> tuple[bytes, ...]:
        """Return what the upstream gets before the body: all that a kept turn continues from."""
        return prompt_parts(self.chain.turns)

    def kept_turn(self) -> KeptTurn:
        """Return the record of a turn whose answer is complete."""
        turn = self.parsed.turn
        return KeptTurn(
            turn_id=self.parsed.request_id,
            account=self.account_name,
            previous=self.parsed.previous_turn,
            program=turn.program if turn is not None else self.parsed.request_id,
            request=self.parsed.request.body,
            answer=bytes(self.answer_text),
        )

    @property
    def rank(self) -> int:
        """Return the rank of the client account, or the route's if the account has none."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank

    @property
    def place_until_s(self) -> float:
        """Return until when a replica must be found for the answer's next event to be of use."""
        if self.route.patience_s is None:
            return self.answer_deadline_s
        waiting_since_s = self.last_event_s if self.last_event_s is not None else self.arrived_s
        until_s = waiting_since_s + self.route.patience_s - FIRST_EVENT_S
        return min(self.answer_deadline_s, until_s)

    @property
    def program_with_objective(self) -> str | None:
        """Return the request's program if the caller has told when it should be done."""
        turn = self.parsed.turn
        return turn.program if turn is not None and turn.time_left_s is not None else None

    @property
    def soft_deadline_s(self) -> float:
        """Return when the request's program should be done; without a program, the request."""
        turn = self.parsed.turn
        if turn is None or turn.time_left_s is None:
            return self.arrived_s + self.route.objective_s
        return self.arrived_s + turn.time_left_s
