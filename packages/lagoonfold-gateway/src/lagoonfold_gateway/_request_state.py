"""The state of one forwarded request, from its arrival to its last byte."""

from dataclasses import dataclass, field

from lagoonfold.forwarding import AttemptHistory, ClientAccount, ForwardRoute
from lagoonfold_gateway._budget_client import AdmittedTurn
from lagoonfold_gateway._parsed_request import ParsedRequest


@dataclass(slots=True, kw_only=True)
class RequestState:
    """What has been decided about a request, as it is logged at its end; times on the own clock.

    `give_up_s` is when it gets its final answer at the latest.
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
    attempt_log: list[str] = field(default_factory=list)
    outcome: str = "unfinished"
    status: int = 0

    @property
    def rank(self) -> int:
        """The request's rank; the account's goes before the route's."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank

    @property
    def soft_deadline_s(self) -> float:
        """When the request's program should be done; its own objective where it has none."""
        turn = self.parsed.turn
        if turn is None or turn.time_left_s is None:
            return self.arrived_s + self.route.objective_s
        return self.arrived_s + turn.time_left_s
