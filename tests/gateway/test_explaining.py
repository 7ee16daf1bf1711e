"""Explanations of where a request would go: their content, and that they change nothing."""

import itertools
import math
import random
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from types import SimpleNamespace

import msgspec
import trio
from result import Err

from lagoonfold import Cell
from lagoonfold.explanations import Explanation, Outcome, combine
from lagoonfold.forwarding import ForwardConfig, Replica, ReplicaDirectory, RouteTable
from lagoonfold.placement import (
    ColdReplicas,
    ColdTerms,
    PlacementOrder,
    PoolDuty,
    PromptCacheIndex,
    PromptPart,
    ReplicaLimits,
    ReplicaPool,
    ReplicaSelector,
    ReplicaTracker,
    SelectionInput,
    rank_pools,
)
from lagoonfold.rates import QuotaTerms, RateLimit
from lagoonfold_gateway._board import ConfigView, GatewayBoard, LiveView
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._presence import Presence
from lagoonfold_gateway._rate_owner import RateOwner
from lagoonfold_gateway.explaining import (
    ExplainEndpoint,
    Explainer,
    ExplainRequest,
    PartInput,
    parse_explain_request,
)
from lagoonfold_gateway.placing import Dispatcher, LatencyBaselines
from tests._suite import load_functions
from tests.gateway._fleet import HOST, make_config

POOL = ReplicaPool("models")
WANTED = ExplainRequest(
    host=HOST,
    path="/read/a",
    request_id="where-1",
    account="acme",
    parts=(PartInput(id="system", tokens=900), PartInput(id="session", tokens=300)),
)
ORDER = PlacementOrder(rank=0, tie_break=0.0, wait_until_s=math.inf)


def _replica(number: int, domain: str = "zone-a") -> Replica:
    return Replica(
        replica_id=f"r{number}",
        service="models",
        address="127.0.0.1:1",
        failure_domain=domain,
        slots=4,
    )


class _Instance:
    """The components that an explanation reads, of an instance without a network."""

    def __init__(self, *, owner: str = "g1", by_program: bool = True) -> None:
        self.presence = Presence()
        self.instance_id = "g1"
        self.owner = lambda subject: owner
        self.owns = lambda subject: owner == "g1"
        self.board = GatewayBoard(live=Cell("live", LiveView(("g1", "g2"), 0.0)))
        self.directory = ReplicaDirectory()
        for number, domain in ((1, "zone-b"), (2, "zone-a"), (3, "zone-c")):
            self.directory.put(_replica(number, domain))
        self.board.replicas.write(self.directory)
        bus = SimpleNamespace(register_handler=lambda kind: lambda handler: handler)
        nursery = SimpleNamespace(start_soon=lambda *work: None)
        self.rate_owner = RateOwner(
            self.board, bus, self, nursery, QuotaTerms(), is_first_start=True
        )
        self.tracker, self.limits, self.cold = ReplicaTracker(), ReplicaLimits(), ColdReplicas()
        index, self.rng = PromptCacheIndex(), random.Random(1)
        self.rejections: list[str] = []
        selector = ReplicaSelector(
            self.tracker,
            index,
            self.rng,
            self.limits,
            cold=self.cold,
            count_rejection=self.rejections.append,
        )
        self.dispatcher = Dispatcher(
            self.board, selector, self.tracker, index, LatencyBaselines(), self.rng
        )
        self.explainer = Explainer(
            self.board,
            self,
            SimpleNamespace(duty=lambda pool: PoolDuty(owner=owner, deputy=None)),
            self.rate_owner,
            self.dispatcher,
            failure_domain="zone-a",
            admits_by_program=by_program,
        )

    def configure(self, config: ForwardConfig) -> None:
        """Put a configuration in force."""
        self.board.config.write(ConfigView(config, RouteTable(config.routes), now_s()))

    def explain(self, **fields: object) -> Explanation:
        """Explain a request, by default one of a client account with a session."""
        return self.explainer.explain(msgspec.structs.replace(WANTED, **fields), now_s=now_s())

    def fill(self, requests: int) -> None:
        """Place requests with a session of their own until so many are placed or wait."""
        for number in range(requests):
            request = SelectionInput(
                typical_latency_s=0.1,
                parts=(PromptPart("system", 900), PromptPart(f"s{number}", 100)),
                expected_tokens=100 + number,
                prompt_tokens=1_000,
                output_tokens=200,
                affinity=f"object-{number}",
            )
            order = replace(
                ORDER, account="acme", waited_s=0.0, is_begun=False, program=f"p{number}"
            )
            self.dispatcher.place(POOL, request, order)


def _instance(*, limit: RateLimit | None = None, **options: object) -> _Instance:
    instance = _Instance(**options)
    instance.configure(make_config(limit=limit))
    return instance


def _state(value: object, seen: set[int]) -> object:
    """Return all data that can be reached from an object, as plain values that can be compared."""
    if value is None or isinstance(value, str | bytes | int | float | bool):
        return value
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, itertools.count):
        return repr(value)
    if id(value) in seen or callable(value) or isinstance(value, trio.Event):
        return None
    seen.add(id(value))
    if isinstance(value, dict):
        return [(_state(key, seen), _state(each, seen)) for key, each in value.items()]
    if isinstance(value, list | tuple | set | frozenset | deque):
        return [_state(each, seen) for each in value]
    slots = [name for kind in type(value).__mro__ for name in getattr(kind, "__slots__", ())]
    names = [*getattr(value, "__dict__", ()), *slots]
    return [(name, _state(getattr(value, name, None), seen)) for name in names]


@contextmanager
def _unchanged(instance: _Instance) -> Iterator[None]:
    """Check that the whole state of an instance is the same afterwards."""
    before = _state(instance.__dict__, set())
    yield
    assert _state(instance.__dict__, set()) == before


def test_explanation_names_the_replica_that_is_selected() -> None:
    """An explanation that weighed the costs otherwise than the selection would mislead."""
    instance = _instance(limit=RateLimit(rate_per_s=10.0, burst=5))
    for replica_id in ("r2", "r3"):
        instance.tracker.record_slowdown(replica_id, 5.0, now_s=now_s())
    explained = instance.explain()
    pool = explained.pools[0]
    by_id = {each.replica_id: each for each in pool.replicas}
    assert pool.replicas[0].replica_id == explained.verdict.replica_id == "r1"
    assert by_id["r1"].cost_terms_s["round_trip"] > 0 == by_id["r2"].cost_terms_s["round_trip"]
    assert by_id["r2"].cost_s == sum(by_id["r2"].cost_terms_s.values()) > by_id["r1"].cost_s
    assert by_id["r2"].age_s_by_figure["slowdown"] >= 0
    assert explained.account.tokens == 5 and explained.account.is_owned
    assert (explained.config_version, explained.route.name) == (1, "read")
    request = SelectionInput(
        typical_latency_s=0.1,
        parts=(PromptPart("system", 900), PromptPart("session", 300)),
        failure_domain="zone-a",
    )
    placed = instance.dispatcher.place(POOL, request, ORDER).unwrap()
    assert placed.replica.replica_id == explained.verdict.replica_id


def _load(instance: _Instance, requests: int) -> None:
    """Give an instance something of every kind of state."""
    now = now_s()
    config = make_config(limit=RateLimit(rate_per_s=10.0, burst=5))
    service = replace(config.services_by_name["models"], memory_tokens=4_000)
    instance.configure(replace(config, services_by_name={"models": service}))
    instance.cold.set_terms({"models": ColdTerms(start_s=60.0, per_s=20.0)})
    listed = instance.directory.all()
    instance.cold.apply_listed(listed[:1], is_first=False, now_s=now - 1, unix_s=0.0)
    instance.limits.record_named("r2", 0, 3.0, now_s=now - 2)
    for figure in (90.0, 150.0):
        instance.dispatcher.knowledge.pace.record_figure(listed[2], figure, told_at_s=now)
    instance.tracker.record_report("r3", 2, now_s=now)
    instance.fill(requests)


def test_explanation_changes_nothing() -> None:
    """A token, placement, claim, count, quota, bucket or random number would be an effect."""
    for requests, by_program in itertools.product((0, 3, 40), (False, True)):
        for path, account in (("/read/a", "acme"), ("/turns/a", None), ("/open/a", None)):
            instance = _instance(by_program=by_program)
            _load(instance, requests)
            with _unchanged(instance):
                told = instance.explain(path=path, account=account, output_tokens=50)
            assert told.pools[0].replicas and told.pools[0].waiting is not None
            before = _state(instance.__dict__, set())
            instance.fill(1)
            assert _state(instance.__dict__, set()) != before, "the comparison sees no placement"


def test_explanation_of_an_account_in_use_changes_nothing() -> None:
    """The refill of a bucket on a look at it would change when later calls get their tokens."""
    instance = _instance(limit=RateLimit(rate_per_s=0.01, burst=1))
    owned = instance.rate_owner._owned_account("acme")
    with _unchanged(instance):
        assert instance.explain().account.decision.outcome is Outcome.SERVED
    assert owned.queue._quota.try_take(now_s=now_s())
    with _unchanged(instance):
        verdict = instance.explain().verdict
    assert (verdict.outcome, verdict.status) == (Outcome.REJECTED, 429)
    assert verdict.retry_after_s > 10


def test_full_pool_queues_or_rejects() -> None:
    """A request that would wait is told from one that would be turned away, and by which rule."""
    instance = _instance(by_program=False)
    for _ in range(15):
        instance.dispatcher.place(POOL, SelectionInput(typical_latency_s=0.1), ORDER)
    explained = instance.explain()
    assert explained.verdict.outcome is Outcome.QUEUED, explained.verdict
    assert {each.rejected_by for each in explained.pools[0].replicas} == {"slots"}
    assert explained.pools[0].at_once.outcome is Outcome.REJECTED
    queue = instance.dispatcher._queue(POOL)
    for _ in range(100):
        instance.dispatcher.place(POOL, SelectionInput(typical_latency_s=0.1), ORDER)
    queue._waiting_since_s = now_s() - 0.5
    for _ in range(4):
        queue.record_freed(now_s=now_s())
    verdict = instance.explain(deadline_ms=500).verdict
    assert (verdict.outcome, verdict.status) == (Outcome.REJECTED, 503), verdict


def test_second_pool_is_named_when_the_first_one_is_full() -> None:
    """A request that finds no slot in its first pool goes to the next one, and does not wait."""
    instance = _instance()
    for number in range(4, 25):
        instance.directory.put(_replica(number))
    first, second = instance.explain().pools
    replicas = instance.directory.all()
    pool = next(
        each for each in rank_pools("models", replicas, "x") if each.subject == first.subject
    )
    for _ in range(5 * len(first.replicas)):
        instance.dispatcher.place(pool, SelectionInput(typical_latency_s=0.1), ORDER)
    explained = instance.explain()
    assert [each.subject for each in explained.pools] == [first.subject, second.subject]
    assert explained.pools[0].decision.outcome is Outcome.QUEUED
    assert explained.verdict.outcome is Outcome.SERVED
    assert explained.verdict.replica_id in {each.replica_id for each in second.replicas}


def test_states_of_replicas_are_shown() -> None:
    """Evacuated, ejected, cold and limited replicas are why others are selected."""
    instance = _instance()
    now = now_s()
    instance.cold.set_terms({"models": ColdTerms(start_s=60.0, per_s=20.0)})
    listed = instance.directory.all()
    instance.cold.apply_listed(listed, is_first=True, now_s=now, unix_s=0.0)
    instance.cold.record_told("r1", 0, 30.0, now_s=now)
    instance.limits.record_named("r1", 0, 3.0, now_s=now)
    instance.tracker.record_connect_failure("r2", now_s=now)
    instance.directory.evacuated_domains = frozenset({"zone-c"})
    by_id = {each.replica_id: each for each in instance.explain().pools[0].replicas}
    assert 29 < by_id["r1"].cold_left_s <= 30 and by_id["r1"].limit_per_s == 3.0
    assert by_id["r2"].is_ejected and by_id["r2"].rejected_by == "ejected"
    assert by_id["r3"].is_evacuated and by_id["r3"].cost_s is None
    instance.directory.evacuated_domains = frozenset({"zone-a", "zone-b", "zone-c"})
    told = instance.explain()
    assert told.verdict.status == 503 and all(r.is_evacuated for r in told.pools[0].replicas)


def test_requests_that_get_to_no_pool_are_rejected_as_on_arrival() -> None:
    """No configuration, no route and no such account have the statuses of real requests."""
    statuses = [_Instance().explain().verdict.status]
    instance = _instance()
    statuses += [instance.explain(host="other").verdict.status]
    statuses += [instance.explain(account="nobody").verdict.status]
    assert statuses == [503, 404, 401]


def test_owners_word_counts_if_the_owner_was_asked() -> None:
    """What an instance knows of another one's accounts and pools is not taken for the owner's."""
    asked = _instance(limit=RateLimit(rate_per_s=10.0, burst=5), owner="g2").explain()
    assert asked.verdict.not_asked == ("g2",) and asked.account.tokens is None
    owner = _instance(limit=RateLimit(rate_per_s=10.0, burst=5))
    owner.tracker.record_connect_failure("r2", now_s=now_s())
    told = replace(
        owner.explain(),
        instance="g2",
        pools=tuple(replace(pool, owner="g2") for pool in owner.explain().pools),
    )
    combined = combine([asked, told])
    assert combined.verdict.not_asked == () and combined.account.tokens == 5
    assert combined.instance == "g1" and any(r.is_ejected for r in combined.pools[0].replicas)


def test_faulty_bodies_are_answered_with_all_errors() -> None:
    """An operator who corrects one fault at a time would ask again for each."""
    endpoint = ExplainEndpoint(_instance().explainer)
    answer = endpoint.handle(b'{"path": "x", "deadline_ms": -1, "request_id": "w"}')
    errors = msgspec.json.decode(answer.body)["errors"]
    assert answer.status == 400 and [each.split(":")[0] for each in errors] == [
        "host",
        "path",
        "deadline_ms",
    ]
    for body in (b"", b"[]", b"{", b"\xff"):
        assert isinstance(parse_explain_request(body), Err)
    assert endpoint.handle(msgspec.json.encode(WANTED)).status == 200


load_tests = load_functions(globals())
