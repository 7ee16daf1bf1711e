"""Stand-in for a model engine: `python -m standins.engine --port 7003`.

It serves chat completions in a fixed number of slots at given prefill and decode rates, keeps a
prefix cache by `cache_key`, and publishes its load with a lag, and its cache events with a lag and
gaps.
"""

import json
from collections import deque

import fire
import trio

from lagoonfold_io import Exchange, HttpRequest, HttpResponse
from standins._engine_cache import PrefixCache
from standins._engine_slots import Slots
from standins._engine_text import DEFAULT_ANSWER_TOKENS, answer_tokens, count_tokens
from standins._request_log import LoggedRequest, RequestState
from standins._server import JSON_HEADERS, StandIn, json_response, run_stand_in

STREAM_HEADERS = (("content-type", "text/event-stream"), ("cache-control", "no-store"))


class EngineStandIn(StandIn):
    """One replica of a model.

    `report_lag_s` is the age of the load that it reports. `checks_fencing` is whether it rejects an
    order whose fencing number is lower than an earlier one of the same scope.
    """

    def __init__(
        self,
        *,
        slots: int,
        prefill_tokens_per_s: float,
        token_interval_s: float,
        cache: PrefixCache,
        report_lag_s: float,
        checks_fencing: bool,
    ) -> None:
        super().__init__()
        self._slots = Slots(slots)
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._token_interval_s = token_interval_s
        self._cache = cache
        self._report_lag_s = report_lag_s
        self._checks_fencing = checks_fencing
        self._reports: deque[tuple[float, dict]] = deque(maxlen=1_000)
        self._fencing_by_scope: dict[str, int] = {}

    async def serve(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer one request."""
        if request.path == "/v1/chat/completions":
            await self._complete(request, exchange)
        else:
            await exchange.respond(self._serve_control(request))

    def _serve_control(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/v1/load":
            return json_response(self._visible_load())
        if request.path == "/v1/cache/events":
            return json_response(self._cache_events(request.query))
        if request.path == "/v1/cache":
            return json_response(self._cache.held_by_key())
        if request.path.startswith("/v1/cache/") and request.method == "DELETE":
            self.request_log.add(request).state = RequestState.ANSWERED.value
            cache_key = request.path.removeprefix("/v1/cache/")
            return json_response({"freed": self._cache.free(cache_key, trio.current_time())})
        if request.path == "/v1/orders":
            return self._accept_order(request)
        return json_response({"error": "no such path"}, status=404)

    def _cache_events(self, query: str) -> dict:
        after = int(query.removeprefix("after=") or 0)
        events = self._cache.events_after(after, trio.current_time())
        listed = [
            {"seq": e.seq, "kind": e.kind, "cache_key": e.cache_key, "tokens": e.tokens}
            for e in events
        ]
        return {"events": listed, "next": events[-1].seq if events else self._cache.position(after)}

    def _visible_load(self) -> dict:
        now = trio.current_time()
        current = {
            "running": self._slots.running,
            "waiting": self._slots.waiting,
            "cached_tokens": self._cache.total_tokens(),
            "capacity_tokens": self._cache.capacity_tokens,
            "slots": self._slots.count,
            "reported_at": now,
        }
        self._reports.append((now, current))
        visible = [load for at, load in self._reports if at <= now - self._report_lag_s]
        return visible[-1] if visible else self._reports[0][1]

    def _accept_order(self, request: HttpRequest) -> HttpResponse:
        logged = self.request_log.add(request)
        order = json.loads(request.body)
        scope, _, number = str(order["fencing"]).rpartition(":")
        newest = self._fencing_by_scope.get(scope, 0)
        if self._checks_fencing and int(number) < newest:
            logged.state = RequestState.FAILED.value
            return json_response({"error": "old fencing number"}, status=409)
        self._fencing_by_scope[scope] = max(newest, int(number))
        logged.state = RequestState.ANSWERED.value
        return json_response({"done": order["kind"]})

    async def _complete(self, request: HttpRequest, exchange: Exchange) -> None:
        logged = await self.begin(request, exchange)
        if logged is None:
            return
        body = json.loads(request.body)
        async with self._slots.hold(int(body.get("priority", 0))):
            await self._run(body, exchange, logged)

    async def _run(self, body: dict, exchange: Exchange, logged: LoggedRequest) -> None:
        messages = body["messages"]
        cache_key = str(body.get("cache_key", ""))
        prompt_tokens = count_tokens(messages)
        cached = min(prompt_tokens, self._cache.cached(cache_key)) if cache_key else 0
        prefill_s = (prompt_tokens - cached) / self._prefill_tokens_per_s
        await trio.sleep(prefill_s * self.faults.slow)
        count = int(body.get("max_tokens") or DEFAULT_ANSWER_TOKENS)
        tokens = answer_tokens(messages, count)[int(body.get("resume_from", 0)) :]
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": count,
            "total_tokens": prompt_tokens + count,
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        if body.get("stream"):
            await self._stream(tokens, usage, exchange)
        else:
            await trio.sleep(self._token_interval_s * len(tokens) * self.faults.slow)
            await exchange.respond(_whole_response(tokens, usage))
        if cache_key:
            self._cache.store(cache_key, prompt_tokens + count, trio.current_time())
        logged.state = RequestState.ANSWERED.value

    async def _stream(self, tokens: list[str], usage: dict, exchange: Exchange) -> None:
        await exchange.start(200, STREAM_HEADERS)
        started = trio.current_time()
        for number, token in enumerate(tokens):
            if number == self.faults.hang_after_tokens:
                await trio.sleep_forever()
            if number == self.faults.break_after_tokens:
                raise ConnectionAbortedError("broken by an injected fault")
            await exchange.send(_event({"content": token}))
            due = started + (number + 1) * self._token_interval_s * self.faults.slow
            await trio.sleep_until(due)
        await exchange.send(_final_event(usage) + b"data: [DONE]\n\n")
        await exchange.finish()


def _event(delta: dict) -> bytes:
    chunk = {"object": "chat.completion.chunk", "choices": [{"index": 0, "delta": delta}]}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _final_event(usage: dict) -> bytes:
    choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
    chunk = {"object": "chat.completion.chunk", "choices": [choice], "usage": usage}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _whole_response(tokens: list[str], usage: dict) -> HttpResponse:
    message = {"role": "assistant", "content": "".join(tokens)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    completion = {"object": "chat.completion", "choices": [choice], "usage": usage}
    return HttpResponse(status=200, headers=JSON_HEADERS, body=json.dumps(completion).encode())


def main(
    port: int = 0,
    host: str = "127.0.0.1",
    slots: int = 16,
    prefill: float = 50_000.0,
    interval: float = 0.005,
    cache: int = 1_000_000,
    report_lag: float = 0.5,
    event_lag: float = 0.5,
    drop_every: int = 7,
    checks_fencing: bool = True,
) -> None:
    """Serve one replica.

    `prefill` is in tokens per second, `interval` in seconds per token, `cache` in tokens, the lags
    in seconds; `drop_every` is the interval at which cache events are dropped.
    """
    prefix_cache = PrefixCache(capacity_tokens=cache, event_lag_s=event_lag, drop_every=drop_every)
    engine = EngineStandIn(
        slots=slots,
        prefill_tokens_per_s=prefill,
        token_interval_s=interval,
        cache=prefix_cache,
        report_lag_s=report_lag,
        checks_fencing=checks_fencing,
    )
    run_stand_in(engine, host=host, port=port)


if __name__ == "__main__":
    fire.Fire(main)
