"""Stand-in for the platform's key-value service: a subset of etcd v3's JSON gateway.

    python -m standins.kv --port 2379

Keys and values are encoded in base64, 64-bit integers as strings. `POST /_faults` sets faults
(see `standins._kv_faults`); `GET /_log` counts the calls per operation.
"""

import base64
import operator
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import chain
from typing import Any

import fire
import msgspec
import trio

from lagoonfold_io import ClientGoneError, Exchange, HttpRequest, HttpResponse, HttpServer
from standins._kv_faults import FaultPlan, Faults, Outcome, StoreCall
from standins._kv_store import MAX_VALUE_BYTES, KvStore, LeaseNotFoundError, StoredEvent, StoredKey

MAX_TXN_OPERATIONS = 128
_EXPIRY_STEP_S = 0.05
_HOLD_STEP_S = 0.01
_JSON_HEADERS = (("content-type", "application/json"),)
_CODE_INVALID = 3
_CODE_NOT_FOUND = 5
_CODE_UNAVAILABLE = 14
_COMPARISONS_BY_RESULT = {"EQUAL": operator.eq, "LESS": operator.lt}

Fields = dict[str, Any]


def _decode(fields: Fields, name: str) -> bytes:
    return base64.b64decode(fields.get(name, ""))


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _json(status: int, fields: Any) -> HttpResponse:
    return HttpResponse(status=status, headers=_JSON_HEADERS, body=msgspec.json.encode(fields))


def _error(status: int, code: int, message: str) -> HttpResponse:
    return _json(status, {"code": code, "message": message})


def _entry_fields(entry: StoredKey) -> Fields:
    return {
        "key": _encode(entry.key),
        "value": _encode(entry.value),
        "mod_revision": str(entry.revision),
        "lease": str(entry.lease_id),
    }


def _event_fields(event: StoredEvent) -> Fields:
    kv = {"key": _encode(event.key), "mod_revision": str(event.revision)}
    if event.value is None:
        return {"type": "DELETE", "kv": kv}
    return {"kv": {**kv, "value": _encode(event.value)}}


class KvService:
    """Serves one store over HTTP."""

    def __init__(self) -> None:
        self.store = KvStore()
        self.faults = Faults.of(FaultPlan())
        self.counts_by_operation: Counter[str] = Counter()
        self._changed = trio.Event()
        self._operations_by_path: dict[str, Callable[[Fields], Fields]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer one request."""
        if request.path == "/_faults" and request.method == "GET":
            await exchange.respond(_json(200, {"hits": self.faults.hits}))
        elif request.path == "/_faults":
            plan = msgspec.json.decode(request.body or b"{}", type=FaultPlan)
            self.faults = Faults.of(plan)
            self._wake_watches()
            await exchange.respond(_json(200, {}))
        elif request.path == "/_log":
            await exchange.respond(_json(200, self.counts_by_operation))
        elif request.path == "/livez":
            await exchange.respond(_json(200, {}))
        else:
            await self._serve(request, exchange)

    async def expire_leases(self) -> None:
        """Revoke expired leases until cancelled."""
        while True:
            await trio.sleep(_EXPIRY_STEP_S)
            before = self.store.revision
            self.store.expire(trio.current_time())
            if self.store.revision != before:
                self._wake_watches()

    async def _serve(self, request: HttpRequest, exchange: Exchange) -> None:
        operation = request.path.rpartition("/")[2]
        self.counts_by_operation[operation] += 1
        try:
            fields = msgspec.json.decode(request.body or b"{}", type=dict)
        except msgspec.DecodeError as error:
            await exchange.respond(_error(400, _CODE_INVALID, str(error)))
            return
        call = _describe_call(operation, fields)
        faults = self.faults
        outcome = faults.decide(call)
        await trio.sleep(faults.delay_s(call))
        if outcome is Outcome.REFUSE:
            await exchange.respond(_error(503, _CODE_UNAVAILABLE, "etcdserver: no leader"))
        elif outcome is Outcome.SILENT:
            await trio.sleep_forever()
        elif operation == "watch":
            await self._watch(fields, exchange)
        else:
            response = self._answer(request.path, fields)
            if outcome is Outcome.DROP_ANSWER:
                raise ClientGoneError
            while outcome is Outcome.HOLD_ANSWER and self.faults is faults:
                await trio.sleep(_HOLD_STEP_S)
            await exchange.respond(response)

    def _answer(self, path: str, fields: Fields) -> HttpResponse:
        serve = self._operations_by_path.get(path)
        if serve is None:
            return _error(404, _CODE_NOT_FOUND, f"no operation {path}")
        before = self.store.revision
        try:
            answer = serve(fields)
        except LeaseNotFoundError:
            return _error(404, _CODE_NOT_FOUND, "etcdserver: requested lease not found")
        except (KeyError, ValueError, TypeError) as error:
            return _error(400, _CODE_INVALID, f"{type(error).__name__}: {error}")
        if self.store.revision != before:
            self._wake_watches()
        return _json(200, {"header": {"revision": str(self.store.revision)}, **answer})

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _range(self, fields: Fields) -> Fields:
        entries = self.store.range(_decode(fields, "key"), _decode(fields, "range_end"))
        kvs = [] if fields.get("count_only") else [_entry_fields(entry) for entry in entries]
        return {"kvs": kvs, "count": str(len(entries))}

    def _put(self, fields: Fields) -> Fields:
        value = _decode(fields, "value")
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError("etcdserver: request is too large")
        self.store.put(_decode(fields, "key"), value, int(fields.get("lease", 0)))
        return {}

    def _delete_range(self, fields: Fields) -> Fields:
        count = self.store.delete(_decode(fields, "key"), _decode(fields, "range_end"))
        return {"deleted": str(count)}

    def _txn(self, fields: Fields) -> Fields:
        _check_size(fields, MAX_TXN_OPERATIONS)
        _check_keys(fields)
        succeeded = all(self._holds(compare) for compare in fields.get("compare", []))
        branch = fields.get("success" if succeeded else "failure", [])
        responses = [self._run_operation(step) for step in branch]
        return {"succeeded": succeeded, "responses": responses}

    def _holds(self, compare: Fields) -> bool:
        if compare.get("target") != "MOD":
            raise ValueError("only comparisons of MOD are served")
        holds = _COMPARISONS_BY_RESULT[compare.get("result", "EQUAL")]
        expected = int(compare.get("mod_revision", 0))
        entries = self.store.range(_decode(compare, "key"), _decode(compare, "range_end"))
        revisions = [entry.revision for entry in entries] or [0]
        return all(holds(revision, expected) for revision in revisions)

    def _run_operation(self, step: Fields) -> Fields:
        if "request_put" in step:
            return {"response_put": self._put(step["request_put"])}
        if "request_delete_range" in step:
            return {"response_delete_range": self._delete_range(step["request_delete_range"])}
        if "request_txn" in step:
            return {"response_txn": self._txn(step["request_txn"])}
        return {"response_range": self._range(step["request_range"])}

    def _grant(self, fields: Fields) -> Fields:
        ttl_s = int(fields["TTL"])
        lease_id = self.store.grant(ttl_s, trio.current_time())
        return {"ID": str(lease_id), "TTL": str(ttl_s)}

    def _keep_alive(self, fields: Fields) -> Fields:
        self.store.expire(trio.current_time())
        lease_id = int(fields["ID"])
        ttl_s = self.store.renew(lease_id, trio.current_time())
        return {"result": {"ID": str(lease_id), "TTL": str(int(ttl_s))}}

    def _revoke(self, fields: Fields) -> Fields:
        self.store.revoke(int(fields["ID"]))
        return {}

    async def _watch(self, fields: Fields, exchange: Exchange) -> None:
        create_request = fields["create_request"]
        start, end = _decode(create_request, "key"), _decode(create_request, "range_end")
        revision = int(create_request.get("start_revision", 0)) or self.store.revision + 1
        await exchange.start(200, _JSON_HEADERS)
        if revision <= self.store.compacted_revision:
            compacted = str(self.store.compacted_revision)
            await _send_line(exchange, {"canceled": True, "compact_revision": compacted})
            await exchange.finish()
            return
        await _send_line(exchange, {"created": True})
        while True:
            changed = self._changed
            events = self.store.events_since(start, end, revision)
            revision = max(revision, self.store.revision + 1)
            if self.faults.plan.outage:
                raise ClientGoneError
            if events and not self.faults.plan.mute_watches:
                await _send_line(exchange, {"events": [_event_fields(each) for each in events]})
            await changed.wait()


def _describe_call(operation: str, fields: Fields) -> StoreCall:
    steps = list(_key_fields(fields))
    return StoreCall(
        operation=operation,
        keys=tuple(_decode(step, "key").decode(errors="replace") for step in steps),
        values=tuple(_decode(step, "value") for step in steps),
    )


def _key_fields(fields: Fields) -> Iterator[Fields]:
    """Yield every part of a call that may name a key, including nested transactions."""
    yield fields
    yield from fields.get("compare", [])
    for step in fields.get("success", []):
        for request in step.values():
            yield from _key_fields(request)


def _check_size(fields: Fields, limit: int) -> None:
    """Raise an error if a transaction has more operations than the service accepts."""
    branches = (fields.get("success", []), fields.get("failure", []))
    size = max(len(fields.get("compare", [])), *map(len, branches))
    if size > limit:
        raise ValueError("etcdserver: too many operations in txn request")
    for step in chain.from_iterable(branches):
        if "request_txn" in step:
            _check_size(step["request_txn"], limit - size)


def _check_keys(fields: Fields) -> None:
    """Raise an error if a transaction would put a key twice."""
    keys = list(_put_keys(fields))
    if len(keys) != len(set(keys)):
        raise ValueError("etcdserver: duplicate key given in txn request")


def _put_keys(fields: Fields) -> Iterator[str]:
    for step in fields.get("success", []):
        if "request_put" in step:
            yield step["request_put"].get("key", "")
        elif "request_txn" in step:
            yield from _put_keys(step["request_txn"])


async def _send_line(exchange: Exchange, result: Fields) -> None:
    await exchange.send(msgspec.json.encode({"result": result}) + b"\n")


async def serve(
    host: str, port: int, *, service: KvService | None = None, task_status: Any = None
) -> None:
    """Serve until cancelled; report the port in use through `task_status`."""
    kv = service or KvService()
    async with trio.open_nursery() as nursery:
        bound = await nursery.start(HttpServer(kv.handle).serve, host, port)
        nursery.start_soon(kv.expire_leases)
        if task_status is not None:
            task_status.started(bound)


def main(port: int, host: str = "127.0.0.1") -> None:
    """Serve a store on `host:port` until interrupted."""
    try:
        trio.run(serve, host, port)
    except* KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    fire.Fire(main)
