"""Which owners a turn is requested from, and for how long, while the store is silent."""

from dataclasses import dataclass, field
from types import SimpleNamespace

import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Refusal
from lagoonfold_gateway._budget_client import OUTAGE_RETRY_AFTER_S, AdmittedTurn, BudgetClient
from lagoonfold_gateway._messages import Message, OwnerUnavailable, TurnCredit
from tests._suite import load_functions
from tests.gateway._simulated_fleet import run_on_virtual_clock

ANSWER_S = 0.6  # until an owner gives up on a silent store
TURN_LIMIT_S = 3.0


@dataclass
class _Owners:
    """Six owners on a silent store; those in `covered` hold credit for every turn."""

    covered: set[str] = field(default_factory=set)
    asked: list[str] = field(default_factory=list)
    without_store: set[str] = field(default_factory=set)
    own_id: str = "arrival"
    initial_members: SimpleNamespace = field(default_factory=lambda: SimpleNamespace(digest="d"))

    async def call(self, owner: str, message: Message, *, timeout_s: float) -> Result:
        self.asked.append(owner)
        if owner in self.covered:
            return Ok(TurnCredit(credit=300))
        await trio.sleep(ANSWER_S)
        return Ok(OwnerUnavailable(reason="no answer"))

    def ranked_owners(self, program: str) -> list[str]:
        return sorted("abcdef", key=lambda owner: owner in self.without_store)

    def initial_owner(self, program: str) -> str | None:
        return "c"

    def instances_without_store(self) -> tuple[str, ...]:
        return tuple(sorted(self.without_store))

    def record_without_store(self, owner: str) -> None:
        self.without_store.add(owner)


async def _start_turn(client: BudgetClient, program: str) -> Result[AdmittedTurn, Refusal]:
    return await client.start_turn(
        program=program,
        turn_id="t",
        budget=2_000,
        max_tokens=300,
        retention_s=60.0,
    )


def test_turn_is_not_held_by_one_silent_owner_after_another() -> None:
    """Turns are refused well before their callers leave, sooner once the outage is known."""

    async def check() -> None:
        owners = _Owners()
        client = BudgetClient(owners, owners)
        for limit_s in (TURN_LIMIT_S / 2, TURN_LIMIT_S / 4, TURN_LIMIT_S / 4):
            began_s = trio.current_time()
            refused = await _start_turn(client, "p")
            assert isinstance(refused, Err)
            assert refused.err_value.kind is ErrorKind.OWNER_UNAVAILABLE
            assert refused.err_value.retry_after_s == OUTAGE_RETRY_AFTER_S
            assert trio.current_time() - began_s <= limit_s

    run_on_virtual_clock(check)


def test_owner_without_the_store_is_asked_first_for_a_program_that_it_has_credit_for() -> None:
    """What an owner has charged before an outage is used during the outage."""

    async def check() -> None:
        owners = _Owners(covered={"c"})
        client = BudgetClient(owners, owners)
        owners.record_without_store("c")
        admitted = await _start_turn(client, "p")
        assert isinstance(admitted, Ok) and admitted.ok_value.owner == "c"
        assert owners.asked == ["c"]

    run_on_virtual_clock(check)


load_tests = load_functions(globals())
