"""Runs short and long programs as callers: each turn in order, with retries of refused calls."""

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
RETRY_LIMIT_S = 120.0
MIN_RETRY_PAUSE_S = 0.1
BIN_S = 5.0
CHARACTERS_PER_TOKEN = 4
MICROSECONDS_PER_MS = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ProgramShape:
    """A kind of program: its number of turns, the tokens of each and the pause after it."""

    name: str
    turns: int
    prompt_tokens: int
    answer_tokens: int
    pause_s: float


SHORT = ProgramShape(name="short", turns=2, prompt_tokens=40, answer_tokens=20, pause_s=0.2)
LONG = ProgramShape(name="long", turns=6, prompt_tokens=2_000, answer_tokens=60, pause_s=0.2)


class ProgramLoad:
    """The programs of one run, their latencies and the calls answered and refused."""

    def __init__(self, addresses: list[str], keys_by_account: dict[str, str], seed: int) -> None:
        self._addresses = addresses
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
        """Run the programs and call `fault` in a thread `at_s` seconds after the start."""
        self._started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._inject_fault, fault, at_s)
            await run_open_loop(arrivals, self.run_program)

    async def _inject_fault(self, fault: Callable[[], None], at_s: float) -> None:
        await trio.sleep(at_s)
        await trio.to_thread.run_sync(fault)

    def _current_bin(self) -> int:
        return int((trio.current_time() - self._started_s) // BIN_S)

    async def run_program(self, number: int, due_s: float) -> None:
        """Run one program to its end and record its latency from its scheduled start."""
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
        self, account: str, program_id: str, turn: int, shape: ProgramShape, rng: random.Random
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
        """Send a request to random instances until it is answered or refused without a retry time.

        Retries end after `RETRY_LIMIT_S`.
        """
        fields = (
            ("authorization", f"Bearer {self._keys_by_account[account]}"),
            ("content-type", "application/json"),
            *headers,
        )
        request = HttpRequest(
            method="POST", path=path, headers=fields, body=json.dumps(body).encode()
        )
        retry_until_s = trio.current_time() + RETRY_LIMIT_S
        while True:
            address = rng.choice(self._addresses)
            answer = await self._client.fetch(address, request, timeout_s=CALL_TIMEOUT_S)
            if answer.is_ok() and answer.ok_value.status < HTTPStatus.BAD_REQUEST:
                self.answered_by_bin[self._current_bin()] += 1
                return json.loads(answer.ok_value.body)
            kind, pause_s = _parse_refusal(answer)
            self.refusals_by_kind[kind] += 1
            self.refused_by_bin[self._current_bin()] += 1
            if pause_s is None or trio.current_time() > retry_until_s:
                self._record_failure(kind)
                return None
            await trio.sleep(pause_s)

    def _record_failure(self, reason: str) -> None:
        self.failures_by_status[reason] = self.failures_by_status.get(reason, 0) + 1

    def _record(self, kind: str, account: str, latency_s: float) -> None:
        for histograms, name in (
            (self.latency_by_kind, kind),
            (self.latency_by_kind, "all"),
            (self.latency_by_account, account),
        ):
            record_s(histograms.setdefault(name, new_histogram()), latency_s)

    def summary(self) -> dict:
        """Return the percentiles in milliseconds by kind and account, and the counts of answers."""
        return {
            "failures": self.failures_by_status,
            "refusals": dict(self.refusals_by_kind),
            "answered_by_5_s": _bins(self.answered_by_bin),
            "refused_by_5_s": _bins(self.refused_by_bin),
            "by_kind": {name: _summarize(h) for name, h in sorted(self.latency_by_kind.items())},
            "by_account": {
                name: _summarize(h) for name, h in sorted(self.latency_by_account.items())
            },
        }


def _bins(counts: Counter[int]) -> list[int]:
    return [counts[number] for number in range(max(counts, default=-1) + 1)]


def _parse_refusal(answer: Result[HttpResponse, HttpError]) -> tuple[str, float | None]:
    """Return the kind of a refusal and the seconds until a retry, None if there is none."""
    if answer.is_err():
        return "no-response", MIN_RETRY_PAUSE_S
    response = answer.ok_value
    problem = json.loads(response.body)
    may_retry = "retry-after" in dict(response.headers)
    pause_s = max(MIN_RETRY_PAUSE_S, problem.get("retry_after_s", 0.0)) if may_retry else None
    return problem.get("kind", str(response.status)), pause_s


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    return {
        "programs": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / MICROSECONDS_PER_MS,
        "p95_ms": histogram.get_value_at_percentile(95) / MICROSECONDS_PER_MS,
    }
