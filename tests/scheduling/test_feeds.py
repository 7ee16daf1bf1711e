"""Tests of reading the engines' cache events."""

import trio
import trio.testing
from result import Ok

from lagoonfold import InstanceId, ListedInstance, ProgramId, UpstreamId
from lagoonfold_io import HttpRequest, HttpResponse
from lagoonfold_node._dispatch import UpstreamTable
from lagoonfold_node._dispatch._engine_poller import EnginePoller
from standins._engine_cache import PrefixCache
from standins.engine import EngineStandIn
from tests._suite import load_functions

ENGINE = UpstreamId("e-1")
EVENTS = 5


class _Client:
    """A client whose requests the engine that runs now answers."""

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Replace the engine by one that has just started."""
        self.cache = PrefixCache(capacity_tokens=1_000, event_lag_s=0.0, drop_every=0)
        self._engine = EngineStandIn(
            slots=4,
            prefill_tokens_per_s=1.0,
            token_interval_s=1.0,
            cache=self.cache,
            report_lag_s=0.0,
            checks_fencing=True,
        )

    async def fetch(
        self, address: str, request: HttpRequest, *, timeout_s: float
    ) -> Ok[HttpResponse]:
        """Return the engine's answer."""
        recorder = _ResponseRecorder()
        await self._engine.handle(request, recorder)
        return Ok(recorder.response)


class _ResponseRecorder:
    """Keeps the response of an engine."""

    async def respond(self, response: HttpResponse) -> None:
        """Keep the response."""
        self.response = response


def test_events_of_an_engine_restarted_at_its_address_are_read_from_the_start() -> None:
    """The events of a restarted engine are applied although their numbers start again."""

    async def check() -> None:
        client = _Client()
        table = UpstreamTable(InstanceId("i1"))
        listed = ListedInstance(
            instance_id=ENGINE,
            role="engine",
            address="127.0.0.1:1",
            failure_domain="a",
            models=("m",),
        )
        table.update({ENGINE: listed})
        poller = EnginePoller(table, client, lambda: None)
        for number in range(EVENTS):
            client.cache.store(f"old-{number}", 10, trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(poller.run)
            await trio.sleep(5.0)
            assert table.states_by_id[ENGINE].next_event == EVENTS
            client.restart()
            client.cache.store("new", 10, trio.current_time())
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
        assert table.prefixes.tokens_by_upstream(ProgramId("new")) == {ENGINE: 10}

    trio.run(check, clock=trio.testing.MockClock(autojump_threshold=0))


load_tests = load_functions(globals())
