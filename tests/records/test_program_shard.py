"""A stateful test that compares `ProgramShard` with a reference model of its guarantees.

For every program the model keeps the calls that became turns and the cost used, and how often each
non-idempotent call may have reached an upstream.
"""

from collections import Counter
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok

from lagoonfold import ErrorKind, ProgramId, Ran
from lagoonfold.records import (
    NO_COST,
    CallOutcome,
    CallRequest,
    CallSettled,
    Cost,
    CreateRequest,
    EpochStarted,
    Execute,
    Join,
    JournalEntry,
    ProgramShard,
    Record,
    Replay,
    check_history,
    decode_entry,
    encode_entry,
    evict_checkpointed_turns,
    plan_checkpoint,
    read_turns,
    restore_shard,
)
from tests._suite import load_functions
from tests.records._strategies import (
    LIMITS,
    accounts,
    bodies,
    keys,
    make_request,
    outcomes,
    reservations,
    turns,
)


@dataclass(eq=False)
class _Expected:
    """The state that a program must have."""

    account_id: str
    parent_id: ProgramId | None
    calls: list[tuple[CallRequest, CallOutcome, bytes]] = field(default_factory=list)
    running: CallRequest | None = None
    used: Cost = NO_COST
    is_ended: bool = False


class ShardMachine(RuleBasedStateMachine):
    """Drive a shard, a standby that applies its journal, and the model."""

    def __init__(self) -> None:
        super().__init__()
        self.shard = ProgramShard()
        self.standby = ProgramShard()
        self.segments: dict[str, bytes] = {}
        self.expected: dict[ProgramId, _Expected] = {}
        self.may_have_run: Counter[tuple[ProgramId, int]] = Counter()
        self.epoch = 1
        self.answer_count = 0
        self.past_calls: list[CallRequest] = []

    def _commit(self, records: tuple[Record, ...]) -> None:
        """Apply records to the shard, and to the standby as decoded from a journal entry."""
        entry = JournalEntry("writer", self.epoch, records)
        for record in records:
            self.shard.apply(record)
        for record in decode_entry(encode_entry(entry)).unwrap().records:
            self.standby.apply(record)

    def _with_ancestors(self, program_id: ProgramId) -> list[_Expected]:
        expected = self.expected[program_id]
        ancestors = self._with_ancestors(expected.parent_id) if expected.parent_id else []
        return [expected, *ancestors]

    def _draw_program_id(self, data: st.DataObject) -> ProgramId:
        return data.draw(st.sampled_from(sorted(self.expected)))

    @precondition(lambda self: len(self.expected) < 4)
    @rule(account=accounts, parent=st.booleans(), use_valid=st.booleans(), data=st.data())
    def create(self, account: str, parent: bool, use_valid: bool, data: st.DataObject) -> None:
        """Create a program, or a child of any program; `use_valid` picks the parent's account."""
        parent_id = self._draw_program_id(data) if parent and self.expected else None
        if use_valid and parent_id:
            account = self.expected[parent_id].account_id
        name = f"prg-{len(self.expected)}"
        program_id = ProgramId(f"{parent_id}.{name}" if parent_id else name)
        request = CreateRequest(
            program_id=program_id,
            account_id=account,
            profile="field",
            limits=LIMITS,
            parent_id=parent_id,
        )
        decided = self.shard.decide_create(request, 0.0)
        if isinstance(decided, Ok):
            assert parent_id is None or self.expected[parent_id].account_id == account
            self._commit(decided.ok_value)
            self.expected[program_id] = _Expected(account, parent_id)

    @precondition(lambda self: self.expected)
    @rule(
        account=accounts,
        turn=turns,
        body=bodies,
        key=keys,
        idempotent=st.booleans(),
        reservation=reservations,
        use_valid=st.booleans(),
        data=st.data(),
    )
    def call(
        self,
        account: str,
        turn: int,
        body: bytes,
        key: str,
        idempotent: bool,
        reservation: Cost,
        use_valid: bool,
        data: st.DataObject,
    ) -> None:
        """Request a call; `use_valid` picks the program's account and its next turn."""
        program_id = self._draw_program_id(data)
        expected = self.expected[program_id]
        if use_valid:
            account, turn = expected.account_id, len(expected.calls) + 1
        request = make_request(
            program_id,
            turn,
            account_id=account,
            body=body,
            key=key,
            is_idempotent=idempotent,
            reservation=reservation,
        )
        decided = self.shard.decide_begin(request, 1.0, run_id=f"run-{self.epoch}")
        if isinstance(decided, Err):
            assert decided.err_value.ran is not Ran.YES
            self._check_refusal(expected, request, decided.err_value.kind)
            return
        assert account == expected.account_id
        decision = decided.ok_value
        if isinstance(decision, Execute):
            self._check_execute(expected, request, decision)
        elif isinstance(decision, Join):
            assert expected.running.call_id == decision.call_id
            assert expected.running.body == body
        else:
            self._check_replay(expected, request, decision)

    def _check_refusal(self, expected: _Expected, request: CallRequest, kind: ErrorKind) -> None:
        is_due = request.turn == len(expected.calls) + 1 and expected.running is None
        if request.account_id != expected.account_id:
            assert kind is ErrorKind.NOT_FOUND
        elif kind is ErrorKind.PROGRAM_ENDED:
            assert any(each.is_ended for each in self._with_ancestors(request.program_id))
        elif kind is ErrorKind.BUDGET_EXHAUSTED:
            assert is_due and self._exceeds_limits(request)
        elif kind is ErrorKind.OUTCOME_UNKNOWN:
            assert expected.calls[request.turn - 1][1] is CallOutcome.UNKNOWN
        else:
            other_turn = any(
                call.idempotency_key == request.idempotency_key and request.idempotency_key
                for call, _, _ in expected.calls
            )
            assert not is_due or (kind is ErrorKind.IDEMPOTENCY_MISMATCH and other_turn)

    def _exceeds_limits(self, request: CallRequest) -> bool:
        return any(
            LIMITS.exceeded_by(self._used_and_reserved(each) + request.reservation)
            for each in self._with_ancestors(request.program_id)
        )

    def _used_and_reserved(self, expected: _Expected) -> Cost:
        """Return what the program and its descendants have used and reserved."""
        total = expected.used
        for program_id, other in self.expected.items():
            if other.running is not None and expected in self._with_ancestors(program_id):
                total = total + other.running.reservation
        return total

    def _check_execute(self, expected: _Expected, request: CallRequest, decision: Execute) -> None:
        assert expected.running is None and request.turn == len(expected.calls) + 1
        assert decision.commit_first is not request.is_idempotent
        self._commit(decision.records)
        expected.running = request
        if not request.is_idempotent:
            self.may_have_run[(request.program_id, request.turn)] += 1

    def _check_replay(self, expected: _Expected, request: CallRequest, decision: Replay) -> None:
        recorded, outcome, _ = expected.calls[decision.turn - 1]
        if self.shard.programs_by_id[request.program_id].recent_turn(decision.turn) is not None:
            assert recorded.body == request.body and outcome is CallOutcome.ANSWERED

    @precondition(lambda self: any(each.running for each in self.expected.values()))
    @rule(outcome=outcomes, share=st.integers(0, 2), data=st.data())
    def settle(self, outcome: CallOutcome, share: int, data: st.DataObject) -> None:
        """Settle a running call; settling it again must change nothing."""
        running = sorted(name for name, each in self.expected.items() if each.running)
        program_id = data.draw(st.sampled_from(running))
        expected = self.expected[program_id]
        request = expected.running
        self.answer_count += 1
        answer = f"answer {self.answer_count}".encode()
        used = Cost(
            request.reservation.tokens * share // 2, 1, request.reservation.cost_micros * share // 2
        )
        settled = CallSettled(program_id, request.call_id, outcome, 200, "text/plain", answer, used)
        self._commit(self.shard.decide_settle(settled).unwrap())
        self._settle_expected(program_id, outcome, answer, used)
        if outcome is CallOutcome.NOT_RUN and not request.is_idempotent:
            self.may_have_run[(program_id, request.turn)] -= 1
        if outcome is CallOutcome.FAILED:
            del self.may_have_run[(program_id, request.turn)]
        repeated = self.shard.decide_settle(settled)
        assert isinstance(repeated, Err) or repeated.ok_value == ()

    def _settle_expected(
        self, program_id: ProgramId, outcome: CallOutcome, answer: bytes, used: Cost
    ) -> None:
        expected = self.expected[program_id]
        if outcome in (CallOutcome.ANSWERED, CallOutcome.UNKNOWN):
            expected.calls.append((expected.running, outcome, answer))
        self.past_calls.append(expected.running)
        expected.running = None
        for each in self._with_ancestors(program_id):
            each.used = each.used + used

    @precondition(lambda self: self.past_calls)
    @rule(data=st.data())
    def settle_late(self, data: st.DataObject) -> None:
        """Settle a call that is over: it is refused, and changes nothing if applied anyway."""
        past = data.draw(st.sampled_from(self.past_calls))
        late = CallSettled(
            past.program_id, past.call_id, CallOutcome.FAILED, 0, "", b"late", NO_COST
        )
        assert isinstance(self.shard.decide_settle(late), Err)
        self._commit((late,))

    @rule()
    def take_over(self) -> None:
        """Crash the owner; the standby takes over with what it read from the journal."""
        interrupted = [each.running for each in self.expected.values() if each.running]
        self.epoch += 1
        self.shard = self.standby
        self.standby = ProgramShard()
        self._checkpoint_to_standby()
        run_id = f"run-{self.epoch}"
        self._commit((EpochStarted(self.epoch, run_id, (run_id,)),))
        for request in interrupted:
            outcome = None if request.is_idempotent else CallOutcome.UNKNOWN
            self._settle_expected(request.program_id, outcome, b"", request.reservation)
            answer = CallSettled(
                request.program_id, request.call_id, CallOutcome.ANSWERED, 200, "", b"late", NO_COST
            )
            assert isinstance(self.shard.decide_settle(answer), Err)

    def _checkpoint_to_standby(self) -> None:
        """Checkpoint the shard, and restore the standby from the checkpoint."""
        plan = plan_checkpoint(self.shard, epoch=self.epoch, next_sequence=1, fence_sequences=())
        values = {value.name: value.data for value in plan.values}
        self.segments.update(values)
        self.standby = restore_shard(tuple(values[name] for name in plan.head.parts)).unwrap()
        evict_checkpointed_turns(self.shard, plan)

    @rule()
    def checkpoint(self) -> None:
        """Move the turns in memory into segments, in the shard and in the standby."""
        self._checkpoint_to_standby()

    @precondition(lambda self: self.expected)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        """Cancel a program and its descendants."""
        program_id = self._draw_program_id(data)
        account_id = self.expected[program_id].account_id
        self._commit(self.shard.decide_cancel(program_id, account_id, 2.0).unwrap())
        for name in self.expected:
            if self.expected[program_id] in self._with_ancestors(name):
                self.expected[name].is_ended = True

    @invariant()
    def standby_equals_owner(self) -> None:
        """The standby, which a new owner would start from, has the same state."""
        assert self.standby.programs_by_id == self.shard.programs_by_id

    @invariant()
    def histories_are_whole(self) -> None:
        """Each history holds exactly its program's calls, in order and with their answers."""
        for program_id, expected in self.expected.items():
            program = self.shard.programs_by_id[program_id]
            stored = [
                turn
                for ref in program.segments
                for turn in read_turns(ref, self.segments[ref.name]).unwrap()
            ]
            history = (*stored, *program.recent_turns)
            check_history(program_id, history, program.history_digest).unwrap()
            assert [(turn.call_id, turn.outcome, turn.answer) for turn in history] == [
                (call.call_id, outcome, answer) for call, outcome, answer in expected.calls
            ]

    @invariant()
    def budgets_hold(self) -> None:
        """No program, with its descendants, has used and reserved more than its limits."""
        for program_id, expected in self.expected.items():
            program = self.shard.programs_by_id[program_id]
            assert program.used == expected.used
            assert program.used + program.reserved == self._used_and_reserved(expected)
            assert LIMITS.exceeded_by(program.used + program.reserved) is None

    @invariant()
    def runs_at_most_once(self) -> None:
        """No non-idempotent call may have reached an upstream twice."""
        assert all(count <= 1 for count in self.may_have_run.values())


def test_shard_against_oracle() -> None:
    """Calls, takeovers, checkpoints and cancellations in any order keep every invariant."""
    run_state_machine_as_test(
        ShardMachine,
        settings=settings(
            derandomize=True, max_examples=250, stateful_step_count=40, deadline=None
        ),
    )


load_tests = load_functions(globals())
