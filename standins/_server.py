"""The HTTP server of a stand-in, which runs until the process receives SIGTERM or SIGINT."""

import json
import os
import signal

import msgspec
import trio

from lagoonfold_io import Exchange, HttpLimits, HttpRequest, HttpResponse, HttpServer
from standins._faults import Faults
from standins._request_log import LoggedRequest, RequestLog, RequestState

CRASH_MARKER = b"crash-the-upstream"
HOLD_STEP_S = 0.01
JSON_HEADERS = (("content-type", "application/json"),)
LIMITS = HttpLimits(max_body_bytes=64 * 1024 * 1024, max_connections=20_000, idle_timeout_s=600.0)


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status=status, headers=JSON_HEADERS, body=json.dumps(value).encode())


class StandIn:
    """Base class of stand-ins, with a request log and injected faults."""

    def __init__(self, *, keep_bodies: bool = True) -> None:
        self.faults = Faults()
        self.request_log = RequestLog(keep_bodies=keep_bodies)

    async def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Serve `/_log`, `/_faults` and `/livez`, and pass every other request to `serve`."""
        if request.path == "/_log":
            await exchange.respond(self.request_log.response())
        elif request.path == "/_faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            await exchange.respond(json_response({}))
        elif request.path == "/livez":
            await exchange.respond(json_response({"live": True}))
        else:
            await self.serve(request, exchange)

    async def serve(self, request: HttpRequest, exchange: Exchange) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def begin(self, request: HttpRequest, exchange: Exchange) -> LoggedRequest | None:
        """Log a request that is about to run; return None if a fault has answered it.

        A request whose body contains `CRASH_MARKER` ends the process. The state of the entry is
        "cancelled" until the caller sets another at the end of the request.
        """
        if self.faults.refuse:
            await exchange.respond(json_response({"error": "refused"}, status=503))
            return None
        logged = self.request_log.add(request)
        logged.state = RequestState.CANCELLED.value
        if CRASH_MARKER in request.body:
            os._exit(1)
        if self.faults.hang:
            await trio.sleep_forever()
        while self.faults.hold:
            await trio.sleep(HOLD_STEP_S)
        if self.faults.take_failure():
            logged.state = RequestState.FAILED.value
            await exchange.respond(json_response({"error": "failed"}, status=500))
            return None
        return logged


async def _stop_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            scope.cancel()


async def _serve(stand_in: StandIn, host: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, nursery.cancel_scope)
        server = HttpServer(stand_in.handle, limits=LIMITS)
        bound_port = await nursery.start(server.serve, host, port)
        print(json.dumps({"event": "listening", "port": bound_port}), flush=True)


def run_stand_in(stand_in: StandIn, *, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT; print the port in use as one JSON line."""
    trio.run(_serve, stand_in, host, port)
