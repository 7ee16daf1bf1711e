"""Stand-in for a tool or another service: `python -m standins.tool --port 7002 --delay 0.05`.

Each request runs once and is answered by `{"run": n, "echo": body}`, where `n` counts the runs.
"""

import json

import fire
import trio

from lagoonfold_io import Exchange, HttpRequest
from standins._request_log import RequestState
from standins._server import StandIn, json_response, run_stand_in


class ToolStandIn(StandIn):
    """Runs every request after a delay in seconds."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self._delay_s = delay_s
        self._runs = 0

    async def serve(self, request: HttpRequest, exchange: Exchange) -> None:
        """Run one request."""
        logged = await self.begin(request, exchange)
        if logged is None:
            return
        await trio.sleep(self._delay_s * self.faults.slow)
        self._runs += 1
        logged.state = RequestState.ANSWERED.value
        if self.faults.answer_then_hang:
            await trio.sleep_forever()
        echo = json.loads(request.body) if request.body else None
        await exchange.respond(json_response({"run": self._runs, "echo": echo}))


def main(port: int = 0, host: str = "127.0.0.1", delay: float = 0.01) -> None:
    """Serve the tool; `delay` is the duration of one run in seconds."""
    run_stand_in(ToolStandIn(delay), host=host, port=port)


if __name__ == "__main__":
    fire.Fire(main)
