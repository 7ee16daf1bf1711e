"""HTTP endpoints on ports of their own: readiness for the balancer, metrics and explanations."""

from collections.abc import Callable

import trio

from lagoonfold_io import Exchange, HttpLimits, HttpRequest, HttpResponse, HttpServer
from lagoonfold_io.observe import Metrics

LIMITS = HttpLimits(  # its requests have small bodies, and come from a few programs
    max_header_bytes=16_384, max_body_bytes=16_384, max_connections=16
)
TEXT = (("content-type", "text/plain; version=0.0.4"),)
EXPLAIN = ("POST", "/explain")


async def serve_readiness(
    address: str,
    is_ready: Callable[[], bool],
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer every request with 200 while the instance is ready, with 503 otherwise."""

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        await exchange.respond(HttpResponse(status=200 if is_ready() else 503))

    await _serve(address, handle, task_status)


async def serve_metrics(
    address: str,
    metrics: Metrics,
    explain: Callable[[bytes], HttpResponse] | None = None,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Answer every request with the counters and latencies as text.

    `POST /explain` is answered by `explain`, which gets its body, where there is one.
    """

    async def handle(request: HttpRequest, exchange: Exchange) -> None:
        if explain is not None and (request.method, request.path) == EXPLAIN:
            await exchange.respond(explain(request.body))
            return
        body = metrics.render().encode()
        await exchange.respond(HttpResponse(status=200, headers=TEXT, body=body))

    await _serve(address, handle, task_status)


async def _serve(address: str, handle: Callable, task_status: trio.TaskStatus[int]) -> None:
    host, _, port = address.rpartition(":")
    await HttpServer(handle, limits=LIMITS).serve(host, int(port), task_status=task_status)
