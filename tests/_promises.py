"""The fourteen promises and the tests that prove each: modules, or single functions in them."""

from dataclasses import dataclass

_MODELS = "tests.models.test_specifications"
_PATH = "tests.node.test_path"
_OWNERSHIP = "tests.failure.test_ownership"
_ONCE = "tests.failure.test_at_most_once"
_UPSTREAMS = "tests.failure.test_upstreams"
_LOSSES = "tests.failure.test_losses"
_CONNECTIONS = "tests.failure.test_connections"
_SHARD = "tests.records.test_program_shard"
_DRIFT = "tests.models.test_code_follows_models"


@dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """One promise; `proofs` names test modules or functions."""

    number: int
    text: str
    proofs: tuple[str, ...]


PROMISES = (
    Promise(
        number=1,
        text="calls of a program run in their order",
        proofs=(
            _SHARD,
            f"{_OWNERSHIP}.test_turns_in_order_over_kills_and_lost_answers",
            f"{_OWNERSHIP}.test_turn_out_of_order_does_not_run",
            f"{_LOSSES}.test_two_owners_lost_at_once",
        ),
    ),
    Promise(
        number=2,
        text="history is never lost and never mixed",
        proofs=(
            f"{_MODELS}.test_ownership",
            _SHARD,
            "tests.records.test_damage",
            "tests.ownership.test_takeover",
            f"{_OWNERSHIP}.test_outage_loses_nothing",
            f"{_OWNERSHIP}.test_silent_service_loses_nothing",
            "tests.ownership.test_outage",
            f"{_OWNERSHIP}.test_turns_in_order_over_kills_and_lost_answers",
        ),
    ),
    Promise(
        number=3,
        text="a program's budget holds",
        proofs=(
            _SHARD,
            f"{_PATH}.test_budget_holds",
            f"{_OWNERSHIP}.test_budget_holds_over_a_takeover",
        ),
    ),
    Promise(
        number=4,
        text="no engine memory is held for programs that are gone",
        proofs=(
            f"{_UPSTREAMS}.test_cache_of_an_ended_program_is_freed",
            f"{_LOSSES}.test_engine_replaced_at_its_address",
            "tests.ownership.test_takeover.test_program_that_expires_under_a_new_owner_is_let_go",
            "tests.scheduling.test_feeds",
        ),
    ),
    Promise(
        number=5,
        text="a request runs only for the account whose key came with it",
        proofs=(
            f"{_PATH}.test_keys_and_accounts",
            f"{_OWNERSHIP}.test_foreign_and_unknown_keys_do_not_run",
            _SHARD,
        ),
    ),
    Promise(
        number=6,
        text="no upstream sees a caller's key",
        proofs=(f"{_PATH}.test_no_key_goes_upstream", f"{_UPSTREAMS}.test_no_upstream_saw_a_key"),
    ),
    Promise(
        number=7,
        text="a withdrawn key stops working within seconds",
        proofs=(
            "tests.config.test_tracker",
            f"{_PATH}.test_withdrawn_key_cuts_streams_and_idle_connections",
            f"{_OWNERSHIP}.test_withdrawn_key_cuts_stream_and_connection",
        ),
    ),
    Promise(
        number=8,
        text="no account gets more than its rate and burst",
        proofs=(
            f"{_MODELS}.test_rate_loans",
            f"{_DRIFT}.test_lender_follows_the_model",
            "tests.rates.test_bound",
            f"{_OWNERSHIP}.test_rate_holds_over_three_instances_and_a_takeover",
        ),
    ),
    Promise(
        number=9,
        text="a caller receives the whole answer to its own request",
        proofs=(
            f"{_PATH}.test_interrupted_stream_is_resumed",
            f"{_PATH}.test_owner_dies_mid_stream",
            f"{_PATH}.test_engines_that_break_off_but_live_make_no_poison",
            f"{_UPSTREAMS}.test_broken_stream_is_resumed",
            f"{_UPSTREAMS}.test_engines_that_break_off_but_live_make_no_poison",
            f"{_UPSTREAMS}.test_crossed_answers_keep_to_their_requests",
            f"{_UPSTREAMS}.test_silent_engine_is_passed_over",
            f"{_UPSTREAMS}.test_dead_engine_still_listed",
            "tests.node.test_peers",
            _CONNECTIONS,
        ),
    ),
    Promise(
        number=10,
        text="a refusal that says not run is true",
        proofs=(
            f"{_MODELS}.test_at_most_once",
            f"{_DRIFT}.test_shard_follows_the_model",
            "tests.node.test_outage",
            _ONCE,
            f"{_UPSTREAMS}.test_order_under_an_old_fencing_number_is_refused",
        ),
    ),
    Promise(
        number=11,
        text="a non-idempotent request runs at most once",
        proofs=(
            f"{_MODELS}.test_at_most_once",
            f"{_MODELS}.test_ownership",
            f"{_DRIFT}.test_shard_follows_the_model",
            _SHARD,
            _ONCE,
            _CONNECTIONS,
            f"{_LOSSES}.test_two_owners_lost_at_once",
        ),
    ),
    Promise(
        number=12,
        text="a leaving upstream receives no new work",
        proofs=(
            "tests.scheduling.test_dispatcher.test_leaving_upstream_gets_nothing_new",
            f"{_UPSTREAMS}.test_leaving_engine_gets_nothing_new",
        ),
    ),
    Promise(
        number=13,
        text="a planned stop cuts no request",
        proofs=(f"{_OWNERSHIP}.test_graceful_stop_cuts_nothing",),
    ),
    Promise(
        number=14,
        text="an accepted configuration is in force everywhere and never reverts",
        proofs=(
            f"{_MODELS}.test_configuration",
            f"{_DRIFT}.test_configuration_log_follows_the_model",
            "tests.config",
            f"{_OWNERSHIP}.test_operators_race",
            f"{_OWNERSHIP}.test_lost_answer_to_a_change_is_resolved",
            f"{_OWNERSHIP}.test_change_is_in_force_everywhere_with_mute_watches",
            f"{_OWNERSHIP}.test_restart_in_an_outage_serves_no_old_configuration",
        ),
    ),
)
