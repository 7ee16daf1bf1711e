"""Measures which calls instances answer and refuse during an outage of the key-value store.

    python -m bench.outage_grace --grace=0 --seconds=60 --rate=10

Starts three instances and sends an open-loop load of four kinds of call: an open service, an
idempotent service with an API key, a new program, and a non-idempotent service with an idempotency
key. The store refuses all calls for `seconds`. Prints JSON: answers by kind of call, phase and
reason, and the seconds from the end of the outage until each kind of call was first answered.
"""

import json
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import fire
import msgspec
import trio
from result import Err

from bench._open_loop import draw_arrivals, run_open_loop
from lagoonfold_io import HttpClient, HttpRequest
from standins.fleet import Fleet

BEFORE_S = 6.0
AFTER_S = 15.0
CALL_TIMEOUT_S = 5.0
SERVICE = "geo"
ACCOUNT = "survey"
PROFILE = "crews"
_JSON = ("content-type", "application/json")

MakeRequest = Callable[[str, int], HttpRequest]
_REQUESTS_BY_KIND: dict[str, MakeRequest] = {}


def _register_kind(name: str) -> Callable[[MakeRequest], MakeRequest]:
    def register(make: MakeRequest) -> MakeRequest:
        _REQUESTS_BY_KIND[name] = make
        return make

    return register


def _post(path: str, headers: tuple[tuple[str, str], ...], body: bytes) -> HttpRequest:
    return HttpRequest(method="POST", path=path, headers=(_JSON, *headers), body=body)


@_register_kind("open service")
def _open_service(key: str, number: int) -> HttpRequest:
    return _post("/v1/services/lookup-open", (), b"{}")


@_register_kind("keyed service")
def _keyed_service(key: str, number: int) -> HttpRequest:
    return _post("/v1/services/lookup", (("authorization", f"Bearer {key}"),), b"{}")


@_register_kind("service that runs once")
def _service_once(key: str, number: int) -> HttpRequest:
    headers = (("authorization", f"Bearer {key}"), ("idempotency-key", f"key-{number}"))
    return _post("/v1/services/publish", headers, b"{}")


@_register_kind("new program")
def _new_program(key: str, number: int) -> HttpRequest:
    body = msgspec.json.encode({"profile": PROFILE})
    return _post("/v1/programs", (("authorization", f"Bearer {key}"),), body)


@dataclass(slots=True)
class AnswerCounts:
    """Answers by kind of call, phase and reason, and the time of the first after the outage."""

    reasons: dict[str, dict[str, Counter[str]]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(Counter))
    )
    recovery_s: dict[str, float] = field(default_factory=dict)

    def record(self, kind: str, phase: str, reason: str, since_outage_s: float) -> None:
        """Count one answer."""
        self.reasons[kind][phase][reason] += 1
        if phase == "after" and reason == "answered" and kind not in self.recovery_s:
            self.recovery_s[kind] = round(since_outage_s, 2)


def _configure(fleet: Fleet) -> str:
    fleet.start_tool("service-1", SERVICE)
    fleet.operate("account", "add", ACCOUNT, "--rate=1000", "--burst=1000")
    service = ("--kind=service", f"--target={SERVICE}")
    fleet.operate("route", "add", "lookup-open", *service, "--idempotent=true", "--open=true")
    fleet.operate("route", "add", "lookup", *service, "--idempotent=true")
    fleet.operate("route", "add", "publish", *service)
    fleet.operate("profile", "add", PROFILE, f"--accounts={ACCOUNT}", "--routes=lookup,publish")
    return fleet.operate("key", "add", ACCOUNT)["key"]


def _outcome(answer: object) -> str:
    """Return `answered` or the reason of the failure and whether the request may have run."""
    if isinstance(answer, Err):
        return "no answer"
    response = answer.ok_value
    if response.status < 300:
        return "answered"
    problem = msgspec.json.decode(response.body)
    return f"{problem.get('kind')} (ran: {problem.get('ran')})"


async def _run(fleet: Fleet, key: str, seconds: float, rate: float, seed: int) -> AnswerCounts:
    counts = AnswerCounts()
    client = HttpClient()
    addresses = [handle.listen for handle in fleet.instances_by_id.values()]
    kinds = list(_REQUESTS_BY_KIND)
    started = trio.current_time()

    async def send(number: int, due: float) -> None:
        kind = kinds[number % len(kinds)]
        request = _REQUESTS_BY_KIND[kind](key, number)
        address = addresses[number // len(kinds) % len(addresses)]
        answer = await client.fetch(address, request, timeout_s=CALL_TIMEOUT_S)
        at_s = due - started
        phase = "before" if at_s < BEFORE_S else "outage"
        phase = phase if at_s < BEFORE_S + seconds else "after"
        counts.record(kind, phase, _outcome(answer), at_s - BEFORE_S - seconds)

    async def inject_outage() -> None:
        await trio.sleep(BEFORE_S)
        await trio.to_thread.run_sync(lambda: fleet.inject_store(outage="refuse"))
        await trio.sleep(seconds)
        await trio.to_thread.run_sync(fleet.inject_store)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(inject_outage)
        arrivals = draw_arrivals(rate * len(kinds), BEFORE_S + seconds + AFTER_S, seed)
        await run_open_loop(arrivals, send)
    client.close()
    return counts


def main(grace: float = 0.0, seconds: float = 60.0, rate: float = 5.0, seed: int = 1) -> None:
    """Measure one outage with `outage_grace_s = grace` at `rate` calls a second of each kind."""
    with Fleet.start(instances=3, engines=1, lease_s=9.0, outage_grace_s=grace) as fleet:
        key = _configure(fleet)
        counts = trio.run(_run, fleet, key, seconds, rate, seed)
    result = {
        "grace_s": grace,
        "outage_s": seconds,
        "answers": {kind: dict(phases) for kind, phases in counts.reasons.items()},
        "recovery_s": counts.recovery_s,
    }
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    fire.Fire(main)
