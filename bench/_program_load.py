"""Programs of two kinds as callers run them: each call in its turn, coming back when told to."""

import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import trio
from hdrh.histogram import HdrHistogram
from result import Result

from bench._open_loop import new_histogram, record_s, run_open_loop
from lagoonfold_io import HttpClient, HttpError, HttpRequest, HttpResponse
from standins.fleet import MODEL

ACCOUNTS = ("north", "south", "harbour", "valley")
PROFILE = "mixed"
LONG_SHARE = 0.2
CALL_TIMEOUT_S = 60.0
COME_BACK_LIMIT_S = 120.0
LEAST_PAUSE_S = 0.1
BIN_S = 5.0
CHARACTERS_PER_TOKEN = 4
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
        self.refusals_by_kind: Counter[str] = Counter()
        self.answered_by_bin: Counter[int] = Counter()
        self.refused_by_bin: Counter[int] = Counter()
        self._started_s = 0.0

    async def run(self, arrivals: list[float], fault: Callable[[], None], at_s: float) -> None:
        """Run the programs; call `fault` in a thread at a time."""
        self._started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._break, fault, at_s)
            await run_open_loop(arrivals, self.run_program)

    async def _break(self, fault: Callable[[], None], at_s: float) -> None:
        await trio.sleep(at_s)
        await trio.to_thread.run_sync(fault)

    def _bin(self) -> int:
        return int((trio.current_time() - self._started_s) // BIN_S)

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
        """Send a request to random instances until it is answered or refused for good."""
        fields = (
            ("authorization", f"Bearer {self._keys_by_account[account]}"),
            ("content-type", "application/json"),
            *headers,
        )
        request = HttpRequest(
            method="POST", path=path, headers=fields, body=json.dumps(body).encode()
        )
        limit_s = trio.current_time() + COME_BACK_LIMIT_S
        while True:
            address = rng.choice(self._listens)
            answer = await self._client.fetch(address, request, timeout_s=CALL_TIMEOUT_S)
            if answer.is_ok() and answer.ok_value.status < HTTPStatus.BAD_REQUEST:
                self.answered_by_bin[self._bin()] += 1
                return json.loads(answer.ok_value.body)
            kind, pause_s = _refusal_of(answer)
            self.refusals_by_kind[kind] += 1
            self.refused_by_bin[self._bin()] += 1
            if pause_s is None or trio.current_time() > limit_s:
                self._note_failure(kind)
                return None
            await trio.sleep(pause_s)

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
            "refusals": dict(self.refusals_by_kind),
            "answered_by_5_s": _bins(self.answered_by_bin),
            "refused_by_5_s": _bins(self.refused_by_bin),
            "by_kind": {name: _row(h) for name, h in sorted(self.latency_by_kind.items())},
            "by_account": {name: _row(h) for name, h in sorted(self.latency_by_account.items())},
        }


def _bins(counts: Counter[int]) -> list[int]:
    return [counts[number] for number in range(max(counts, default=-1) + 1)]


def _refusal_of(answer: Result[HttpResponse, HttpError]) -> tuple[str, float | None]:
    """Return the kind of a refusal, and in how many seconds to come back, None for never."""
    if answer.is_err():
        return "no-response", LEAST_PAUSE_S
    response = answer.ok_value
    problem = json.loads(response.body)
    comes_back = "retry-after" in dict(response.headers)
    pause_s = max(LEAST_PAUSE_S, problem.get("retry_after_s", 0.0)) if comes_back else None
    return problem.get("kind", str(response.status)), pause_s


def _row(histogram: HdrHistogram) -> dict[str, float]:
    return {
        "programs": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / MILLISECONDS_PER_S,
        "p95_ms": histogram.get_value_at_percentile(95) / MILLISECONDS_PER_S,
    }
