"""The library behaves as the models specify, so that code and models can't diverge unnoticed."""

from collections import deque
from collections.abc import Iterator
from enum import Enum

from result import Err, Ok

from lagoonfold import AccountId, CallId, ProgramId, Ran, RouteName
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    Account,
    ChangeProposal,
    ConfigHead,
    Configuration,
    PutAccount,
    decide_change,
    find_change,
)
from lagoonfold.rates import Borrower, Lender, Loan, RateLimit
from lagoonfold.records import (
    CallOutcome,
    CallRequest,
    CallSettled,
    Cost,
    CreateRequest,
    EpochStarted,
    Execute,
    Join,
    ProgramLimits,
    ProgramShard,
    Replay,
    match_replay,
)
from models import at_most_once, configuration_log, rate_loans
from tests._suite import load_functions

PROGRAM = ProgramId("p-1")
ACCOUNT = AccountId("a-1")
LIMITS = ProgramLimits(tokens=1_000, calls=100, cost_micros=1_000, wall_s=1_000.0)
OUTCOMES = {
    at_most_once.Record.NOT_RUN: CallOutcome.NOT_RUN,
    at_most_once.Record.UNKNOWN: CallOutcome.UNKNOWN,
    at_most_once.Record.ANSWER: CallOutcome.ANSWERED,
}


def _walk(protocol: object) -> Iterator[tuple[object, str, object]]:
    """Yield every step of every reachable state as (state, label, next state)."""
    seen = {protocol.initial}
    queue = deque(seen)
    while queue:
        state = queue.popleft()
        for label, following in protocol.transitions(state):
            yield state, label, following
            if following not in seen:
                seen.add(following)
                queue.append(following)


def _request(attempt: int) -> CallRequest:
    return CallRequest(
        call_id=CallId(f"call-{attempt}"),
        program_id=PROGRAM,
        account_id=ACCOUNT,
        turn=1,
        route=RouteName("register"),
        is_idempotent=False,
        content_digest="digest",
        body=b"{}",
        reservation=Cost(calls=1),
        idempotency_key="k",
    )


def _shard(view: at_most_once.Record, attempt: int, is_own: bool) -> ProgramShard:
    """Return the shard of an owner whose record of the call is `view`.

    `is_own` is whether a call that has only an intent is running at this owner.
    """
    shard = ProgramShard()
    created = shard.decide_create(
        CreateRequest(program_id=PROGRAM, account_id=ACCOUNT, profile="field", limits=LIMITS), 0.0
    )
    for record in created.unwrap():
        shard.apply(record)
    if view is at_most_once.Record.NONE:
        return shard
    begun = shard.decide_begin(_request(attempt), 1.0, run_id="former").unwrap()
    for record in begun.records:
        shard.apply(record)
    if view in OUTCOMES:
        settled = CallSettled(
            PROGRAM, f"call-{attempt}", OUTCOMES[view], 200, "", b"answer", Cost()
        )
        shard.apply(settled)
    elif not is_own:
        shard.apply(EpochStarted(2, "new", ("new",)))
    return shard


def _answer(shard: ProgramShard, attempt: int) -> str:
    """Return how an owner with this shard decides an attempt."""
    request = _request(attempt)
    decided = shard.decide_begin(request, 2.0, run_id="new")
    if isinstance(decided, Err):
        return decided.err_value.ran.value
    match decided.ok_value:
        case Execute() as execute:
            assert execute.commit_first, "the intent must be committed before the call is sent"
            return "execute"
        case Join():
            return "join"
        case Replay(turn=turn):
            recorded = shard.programs_by_id[PROGRAM].recent_turn(turn)
            return match_replay(recorded, request).map(lambda _: "yes").unwrap_or("unknown")


def test_shard_follows_the_model() -> None:
    """In every state of the model, `ProgramShard` decides an attempt as the model's owner does."""
    checked = 0
    for state, label, following in _walk(at_most_once.at_most_once(None)):
        if not label.startswith("decide"):
            continue
        index = int(label.split()[1]) - 1
        attempt = next(
            number
            for number, before in enumerate(state.waiting_at)
            if before == index
            and (following.waiting_at[number] != index or following.owners[index].attempt == number)
        )
        owner = following.owners[index]
        executes = owner.phase is at_most_once.Phase.DECIDED and owner.attempt == attempt
        expected = "execute" if executes else following.reported[attempt]
        shard = _shard(state.owners[index].view, max(state.intended, 0), is_own=False)
        assert _answer(shard, attempt) == expected, (state, label)
        checked += 1
    assert checked > 100


def test_repeats_join_as_in_the_model() -> None:
    """A repeat of a call that is running joins it; in the model it waits for the call's end."""
    shard = _shard(at_most_once.Record.INTENT, 0, is_own=True)
    assert _answer(shard, 1) == "join"


def test_settlements_follow_the_model() -> None:
    """A late outcome of a call that a takeover has ended is refused as unknown."""
    shard = _shard(at_most_once.Record.INTENT, 0, is_own=False)
    late = CallSettled(PROGRAM, "call-0", CallOutcome.ANSWERED, 200, "", b"late", Cost())
    refused = shard.decide_settle(late)
    assert isinstance(refused, Err) and refused.err_value.ran is Ran.UNKNOWN


class _Rates:
    """Drives the library's lender and borrowers by the labels of the model's steps."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.limit = RateLimit(rate_per_s=rate_loans.GAIN, burst=rate_loans.BURST)
        self.lender = self._lender(is_new=True)
        self.borrowers = [Borrower() for _ in rate_loans.BORROWERS]
        self.admitted = [0] * (rate_loans.LAST_TICK + 2)

    def _lender(self, *, is_new: bool) -> Lender:
        return Lender(
            limit=self.limit,
            epoch=1 if is_new else 2,
            now_s=self.now_s,
            ttl_s=float(rate_loans.LOAN_TICKS),
            is_new=is_new,
        )

    def apply_step(self, label: str) -> None:
        """Apply one step; a step that the library refuses changes nothing."""
        word, _, number = label.partition(" ")
        if word == "tick":
            self.now_s += 1.0
        elif label == "take over":
            self.lender = self._lender(is_new=False)
        elif label.startswith("borrow from lapsed"):
            pass  # In the library, an owner without authority does not lend (`holds_ownership`).
        elif word == "borrow":
            self._borrow(int(number))
        elif word == "spend":
            if self.borrowers[int(number)].take(now_s=self.now_s):
                self.admitted[int(self.now_s)] += 1
        elif word == "return":
            reports = self.borrowers[int(number)].report(now_s=self.now_s)
            self.lender.report(f"i-{number}", reports, now_s=self.now_s)

    def _borrow(self, number: int) -> None:
        borrower = self.borrowers[number]
        request = borrower.new_request(now_s=self.now_s, needed=rate_loans.BURST)
        lent = self.lender.lend(f"i-{number}", request, now_s=self.now_s)
        if isinstance(lent, Ok):
            assert isinstance(lent.ok_value, Loan)
            borrower.receive(request, lent.ok_value, now_s=self.now_s)
        else:
            borrower.abandon(request)

    def keeps_rate(self) -> bool:
        """Return whether the bound holds over every interval of ticks."""
        ticks = range(rate_loans.LAST_TICK + 1)
        return all(
            sum(self.admitted[first : last + 1])
            <= rate_loans.GAIN * (last - first) + rate_loans.BURST
            for first in ticks
            for last in ticks[first:]
        )


def _traces(protocol: object, depth: int) -> Iterator[list[str]]:
    """Yield the labels of a shortest path to each state within `depth` steps."""
    labels_by_state = {protocol.initial: []}
    queue = deque(labels_by_state)
    while queue:
        state = queue.popleft()
        labels = labels_by_state[state]
        yield labels
        if len(labels) == depth:
            continue
        for label, following in protocol.transitions(state):
            if following not in labels_by_state:
                labels_by_state[following] = [*labels, label]
                queue.append(following)


def _run_rates(labels: list[str]) -> _Rates:
    rates = _Rates()
    for label in labels:
        rates.apply_step(label)
    return rates


def test_lender_follows_the_model() -> None:
    """On a path of up to 9 steps to each state of the model, the library keeps the rate limit."""
    specified = rate_loans.rate_loans(None)
    count = 0
    for labels in _traces(specified, 9):
        rates = _run_rates(labels)
        assert rates.keeps_rate(), labels
        count += 1
    assert count > 1_000


def test_lender_resists_the_models_counterexamples() -> None:
    """On the counterexample of each fault of the model, the library keeps the rate limit."""
    from models import SPECIFICATIONS_BY_NAME, check_faulty

    specified = SPECIFICATIONS_BY_NAME["rate_loans"]
    for fault in specified.invariant_by_fault:
        trace = list(check_faulty(specified, fault).trace)
        assert _run_rates(trace).keeps_rate(), (fault, trace)


def _proposal(operator: int, version: int) -> ChangeProposal:
    account = Account(account_id=f"a-{operator}", rate_per_s=1.0, burst=1)
    return ChangeProposal(
        change=PutAccount(account=account, replaces=False),
        change_id=f"change-{operator}",
        changed_by=f"operator-{operator}",
        changed_at_s=0.0,
        from_version=version,
        is_strict=True,
    )


def _log_of(authors: tuple[int, ...]) -> tuple[Configuration, ConfigHead]:
    """Return the configuration and the head after one change by each author, in this order."""
    from lagoonfold.config import replay_changes

    configuration, head = EMPTY_CONFIGURATION, ConfigHead()
    for version, operator in enumerate(authors):
        head = decide_change(configuration, head, _proposal(operator, version)).unwrap().head
        configuration = replay_changes(configuration, head)
    return configuration, head


def test_configuration_log_follows_the_model() -> None:
    """In every state of the model, the log accepts, refuses and finds changes as the model does."""
    phases = configuration_log.Phase
    checked = 0
    for state, label, following in _walk(configuration_log.configuration_log(None)):
        configuration, head = _log_of(state.log)
        assert head.version == configuration.version == len(state.log)
        for operator, command in enumerate(state.operators):
            is_found = find_change(head.recent, f"change-{operator}") is not None
            assert is_found == (operator in state.log)
            if command.phase is phases.ACCEPTED:
                assert is_found
        if label.startswith("resolve"):
            operator = int(label.split()[1])
            _check_resolution(state, following, operator, configuration, head)
            checked += 1
    assert checked > 100


def _check_resolution(
    state: configuration_log.State,
    following: configuration_log.State,
    operator: int,
    configuration: Configuration,
    head: ConfigHead,
) -> None:
    """Check that the library's decision about the same log agrees with the model's."""
    phases = configuration_log.Phase
    phase: Enum = following.operators[operator].phase
    if phase is phases.UNSURE:
        return
    if find_change(head.recent, f"change-{operator}") is not None:
        assert phase is phases.ACCEPTED
        return
    version = state.operators[operator].version
    decided = decide_change(configuration, head, _proposal(operator, version))
    assert phase is (phases.READ if isinstance(decided, Ok) else phases.REFUSED)


load_tests = load_functions(globals())
