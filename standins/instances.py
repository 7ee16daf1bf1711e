"""Stand-in for the platform's instance list: `python -m standins.instances --port 7001`.

`PUT /v1/instances` replaces the list; `GET /v1/instances` returns the list as it was
`--lag` seconds ago, with an entity tag, or 304 if the request carries the current tag. The body is
compressed with gzip if the request accepts it.
"""

import gzip
import hashlib
import json

import fire
import trio

from lagoonfold_io import Exchange, HttpRequest, HttpResponse
from standins._server import StandIn, json_response, run_stand_in

_GZIP_LEVEL = 1


class InstancesStandIn(StandIn):
    """Serves the instance list with a lag; it keeps each version with the time of its arrival."""

    def __init__(self, lag_s: float) -> None:
        super().__init__()
        self._lag_s = lag_s
        self._versions: list[tuple[float, list]] = [(float("-inf"), [])]

    async def serve(self, request: HttpRequest, exchange: Exchange) -> None:
        """Replace or return the list."""
        if request.path != "/v1/instances":
            await exchange.respond(json_response({}, status=404))
        elif request.method == "PUT":
            self._versions.append((trio.current_time(), json.loads(request.body)["instances"]))
            await exchange.respond(json_response({}))
        else:
            await exchange.respond(self._read(request))

    def _read(self, request: HttpRequest) -> HttpResponse:
        listing = json_response({"instances": self._visible()})
        tag = f'"{hashlib.sha256(listing.body).hexdigest()[:16]}"'
        if request.header("if-none-match") == tag:
            return HttpResponse(status=304, headers=(("etag", tag),))
        headers = (*listing.headers, ("etag", tag))
        if "gzip" not in (request.header("accept-encoding") or ""):
            return HttpResponse(status=200, headers=headers, body=listing.body)
        packed = gzip.compress(listing.body, _GZIP_LEVEL, mtime=0)
        return HttpResponse(
            status=200, headers=(*headers, ("content-encoding", "gzip")), body=packed
        )

    def _visible(self) -> list:
        limit = trio.current_time() - self._lag_s
        return [version for at, version in self._versions if at <= limit][-1]


def main(port: int = 0, host: str = "127.0.0.1", lag: float = 0.0) -> None:
    """Serve the instance list; `lag` is in seconds."""
    run_stand_in(InstancesStandIn(lag), host=host, port=port)


if __name__ == "__main__":
    fire.Fire(main)
