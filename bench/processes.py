"""The policies through the real processes, to check the ranking that the model of engines gives.

    python -m bench.processes --order=first-come --replica=round-robin --seed=1

runs a mixed workload (short queries beside long conversions, each a chain of dependent calls)
through three instances and two engine stand-ins, and prints program latency per kind and account as
one JSON document.
"""

import json
import random
from dataclasses import dataclass

import fire
import trio
from hdrh.histogram import HdrHistogram

from bench._open_loop import draw_arrivals, new_histogram, record_s, run_open_loop
from bench.load import commit_id
from lagoonfold.scheduling import DEFAULT_ADMISSION, DEFAULT_CHOOSER, DEFAULT_ORDER
from lagoonfold_io import HttpClient, HttpRequest
from standins.fleet import MODEL, Fleet

ACCOUNTS = ("north", "south", "harbour", "valley")
PROFILE = "mixed"
LONG_SHARE = 0.2
CALL_TIMEOUT_S = 60.0
ENGINE_FLAGS = ("--slots=4", "--interval=0.01", "--prefill=4000", "--cache=40000")
MILLISECONDS_PER_S = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """A kind of program: its turns, and the sizes of each turn in tokens."""

    name: str
    turns: int
    prompt_tokens: int
    answer_tokens: int
    pause_s: float


SHORT = Shape(name="short", turns=2, prompt_tokens=40, answer_tokens=20, pause_s=0.2)
LONG = Shape(name="long", turns=6, prompt_tokens=2_000, answer_tokens=60, pause_s=0.2)
CHARACTERS_PER_TOKEN = 4


class Run:
    """The programs of one run and their latencies."""

    def __init__(self, listens: list[str], keys_by_account: dict[str, str], seed: int) -> None:
        self._listens = listens
        self._keys_by_account = keys_by_account
        self._rng = random.Random(seed)
        self._client = HttpClient()
        self.latency_by_kind: dict[str, HdrHistogram] = {}
        self.latency_by_account: dict[str, HdrHistogram] = {}
        self.failures_by_status: dict[str, int] = {}

    async def run_program(self, number: int, due_s: float) -> None:
        """Run one program to its end and record its latency from when it was due."""
        rng = random.Random(f"{number}-{self._rng.random()}")
        account = rng.choice(ACCOUNTS)
        shape = LONG if rng.random() < LONG_SHARE else SHORT
        created = await self._send(account, "/v1/programs", {"profile": PROFILE}, (), rng)
        if created is None:
            return
        program_id = created["program_id"]
        for turn in range(1, shape.turns + 1):
            if await self._chat(account, program_id, turn, shape, rng) is None:
                return
            await trio.sleep(shape.pause_s)
        await self._send(account, f"/v1/programs/{program_id}/end", {}, (), rng)
        self._record(shape.name, account, trio.current_time() - due_s)

    async def _chat(
        self, account: str, program_id: str, turn: int, shape: Shape, rng: random.Random
    ) -> dict | None:
        text = f"{turn} " + "x" * (shape.prompt_tokens * CHARACTERS_PER_TOKEN)
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": shape.answer_tokens,
        }
        headers = (("lagoonfold-program", program_id), ("lagoonfold-turn", str(turn)))
        return await self._send(account, "/v1/chat/completions", body, headers, rng)

    async def _send(
        self,
        account: str,
        path: str,
        body: dict,
        headers: tuple[tuple[str, str], ...],
        rng: random.Random,
    ) -> dict | None:
        """Send one request to a random instance; count it if it fails."""
        fields = (
            ("authorization", f"Bearer {self._keys_by_account[account]}"),
            ("content-type", "application/json"),
            *headers,
        )
        request = HttpRequest(
            method="POST", path=path, headers=fields, body=json.dumps(body).encode()
        )
        address = rng.choice(self._listens)
        answer = await self._client.fetch(address, request, timeout_s=CALL_TIMEOUT_S)
        if answer.is_err():
            self._note_failure("no-response")
            return None
        response = answer.ok_value
        if response.status >= 400:
            self._note_failure(json.loads(response.body).get("kind", str(response.status)))
            return None
        return json.loads(response.body)

    def _note_failure(self, reason: str) -> None:
        self.failures_by_status[reason] = self.failures_by_status.get(reason, 0) + 1

    def _record(self, kind: str, account: str, latency_s: float) -> None:
        for histograms, name in (
            (self.latency_by_kind, kind),
            (self.latency_by_kind, "all"),
            (self.latency_by_account, account),
        ):
            record_s(histograms.setdefault(name, new_histogram()), latency_s)

    def summary(self) -> dict:
        """Return the percentiles in milliseconds, by kind and by account."""
        return {
            "failures": self.failures_by_status,
            "by_kind": {name: _row(h) for name, h in sorted(self.latency_by_kind.items())},
            "by_account": {name: _row(h) for name, h in sorted(self.latency_by_account.items())},
        }


def _row(histogram: HdrHistogram) -> dict[str, float]:
    return {
        "programs": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / MILLISECONDS_PER_S,
        "p95_ms": histogram.get_value_at_percentile(95) / MILLISECONDS_PER_S,
    }


def configure(fleet: Fleet) -> dict[str, str]:
    """Add the accounts, the route, a profile and keys; return the keys by account."""
    for account in ACCOUNTS:
        fleet.operate("account", "add", account, "--rate=200", "--burst=400")
    fleet.operate("route", "add", MODEL, "--kind=model", f"--target={MODEL}")
    names = f"--accounts={','.join(ACCOUNTS)}"
    fleet.operate("profile", "add", PROFILE, names, f"--routes={MODEL}", "--max-wait=30")
    return {account: fleet.operate("key", "add", account)["key"] for account in ACCOUNTS}


def main(
    order: str = DEFAULT_ORDER,
    replica: str = DEFAULT_CHOOSER,
    admission: str = DEFAULT_ADMISSION,
    rate: float = 3.0,
    seconds: float = 30.0,
    seed: int = 1,
) -> None:
    """Run one workload under the named policies; `rate` is in programs a second."""
    settings = f"\n[scheduling]\norder = {order}\nreplica = {replica}\nadmission = {admission}\n"
    with Fleet.start(
        instances=3, engines=2, engine_flags=ENGINE_FLAGS, extra_settings=settings
    ) as fleet:
        keys_by_account = configure(fleet)
        listens = [handle.listen for handle in fleet.instances_by_id.values()]
        run = Run(listens, keys_by_account, seed)
        arrivals = draw_arrivals(rate, seconds, seed)
        trio.run(run_open_loop, arrivals, run.run_program)
        calls = [_completions_run(fleet, name) for name in ("engine-1", "engine-2")]
    policies = {"order": order, "replica": replica, "admission": admission}
    load = {"rate": rate, "seconds": seconds, "seed": seed}
    result = {"commit": commit_id(), "policies": policies, "load": load, **run.summary()}
    print(json.dumps({**result, "calls_by_engine": calls}, indent=1))


def _completions_run(fleet: Fleet, upstream_id: str) -> int:
    """Return how many completions an engine ran."""
    seen = fleet.upstream_log(upstream_id)
    return sum(1 for request in seen if request["path"] == "/v1/chat/completions")


if __name__ == "__main__":
    fire.Fire(main)
