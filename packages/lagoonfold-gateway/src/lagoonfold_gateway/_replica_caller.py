"""Calls replicas, by way of another gateway while this one cannot reach them.

Reads `live` and `replicas`. A replica that accepts no connection from here is called through a
peer. If the peer cannot connect either, the replica counts as down; if it can, the path from here
is at fault. So are all paths once that has been found of several replicas and none was reached
since. Paths at fault are probed until they work again.

Another gateway is called like a proxy, with the replica's address in the request's target. What it
could not do it tells in a `proxy-status` header (RFC 9209).
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, replace

import trio
from result import Err, Ok, Result

from lagoonfold.liveness import RelayPaths
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import Message, ReplicaProbe, ReplicaProbed
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._proxy_faults import ProxyFault, fault_of
from lagoonfold_io import Headers, HttpClient, HttpError, HttpRequest, ResponseStream, SendStatus
from lagoonfold_io.observe import EventLog, Metrics

MAX_RELAYS_TRIED = 3  # with half of all instances cut off, one of eight finds no other
RELAY_CONNECT_TIMEOUT_S = 0.3  # some hundred times the latency to a peer
RELAY_TCP_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.7  # a peer's connection to a replica, and a hop more
PROBE_INTERVAL_S = 0.4  # between probes of paths at fault; shorter than their failures are counted
MAX_PROBED = 4  # paths at once
MAX_OTHERS_PROBED = 3  # one of them may be down too
OTHERS_TIMEOUT_S = 0.15  # after a connection that hangs, the answer to a probe is still in time
SOUND_SILENCE_S = 2.0
STALL_S = 0.75  # of an open connection to a replica while no new one can be made

_log = EventLog("replica_paths")


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaCall:
    """The answer of a replica, or why there is none.

    `via` is the instance that passed the request on, None if it went directly. A failure whose
    `is_path_fault` is set says nothing of the replica, which nobody could call.
    """

    answer: Result[ResponseStream, HttpError]
    via: str | None = None
    is_path_fault: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallOptions:
    """How a replica is called; see `HttpClient.stream`.

    A call that `is_repeatable` is broken off if its connection falls silent while this instance is
    cut off.
    """

    timeout_s: float
    is_repeatable: bool
    new_connection: bool
    max_idle_s: float
    is_own: Callable[[Headers], bool]


class ReplicaCaller:
    """Calls the replicas for one gateway, and probes them for others that cannot reach them."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        client: HttpClient,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._bus = bus
        self._client = client
        self._metrics = metrics
        self._rng = rng
        self._relay_client = HttpClient(
            connect_timeout_s=RELAY_CONNECT_TIMEOUT_S, tcp_timeout_s=RELAY_TCP_TIMEOUT_S
        )
        self._paths = RelayPaths(rng)
        self._was_cut_off = False
        self._reached_none_s = float("-inf")
        bus.register_handler(ReplicaProbe)(self._handle_probe)

    @property
    def is_cut_off(self) -> bool:
        """Return whether this instance is probably cut off from all replicas."""
        return self._paths.is_cut_off(now_s=now_s())

    def cannot_tell(self, address: str) -> bool:
        """Return whether this instance has no path of its own by which it can judge a replica."""
        now = now_s()
        return self.is_cut_off or (
            self._paths.is_suspect(now_s=now) and self._paths.is_faulty(address, now_s=now)
        )

    def must_relay(self, address: str) -> bool:
        """Return whether a replica is to be called through another gateway."""
        return self.is_cut_off or self._paths.is_faulty(address, now_s=now_s())

    @asynccontextmanager
    async def call(
        self, address: str, request: HttpRequest, options: CallOptions
    ) -> AsyncIterator[ReplicaCall]:
        """Send a request to the replica at an address; yield its answer, or the failure."""
        if not self.must_relay(address):
            async with self._send(self._client, address, request, options) as answer:
                self.record_direct(address, answer)
                if not is_unreached(answer):
                    yield ReplicaCall(answer=answer)
                    return
        async with self._call_through_others(address, request, options) as call:
            yield call

    async def is_down(self, address: str) -> bool:
        """Find out whether a replica accepts no connection, from this instance or from another.

        One that is silent must still be so after a while: sound ones may be for a second or so.
        """
        probed = await self._probe(address)
        if isinstance(probed, Err) and probed.err_value.is_timeout:
            await trio.sleep(SOUND_SILENCE_S)
            probed = await self._probe(address)
        return isinstance(probed, Err) and await self._is_down_for_another(address)

    async def _is_down_for_another(self, address: str) -> bool:
        for peer in self._relays(address):
            answer = await self._bus.call(
                peer, ReplicaProbe(address=address), timeout_s=PROBE_TIMEOUT_S
            )
            probed = answer.ok_value if isinstance(answer, Ok) else None
            if isinstance(probed, ReplicaProbed) and probed.can_tell:
                self._record_probed(address, peer, is_reached=probed.is_reached)
                return not probed.is_reached
        return not self._peers() and not self.is_cut_off

    def record_direct(self, address: str, answer: Result[ResponseStream, HttpError]) -> None:
        """Record what an attempt to open a connection has shown; reused ones show nothing."""
        if is_unreached(answer):
            self._record_unreached(address)
        elif isinstance(answer, Ok) and not answer.ok_value.is_on_reused_connection:
            self._record_reached(address)

    async def run(self) -> None:
        """Probe the paths at fault until cancelled."""
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            self._paths.expire(now_s=now_s())
            if self.is_cut_off:
                self._client.break_silent_connections(STALL_S)
            async with trio.open_nursery() as nursery:
                for address in self._addresses_to_probe():
                    nursery.start_soon(self._probe, address)
                if self._paths.has_path_fault(now_s=now_s()) and not self.is_cut_off:
                    for address in self._paths.untried(self._listed_addresses(), limit=1):
                        nursery.start_soon(self._probe_here_and_through_another, address)

    def close(self) -> None:
        """Close all idle connections to other gateways."""
        self._relay_client.close()

    def _addresses_to_probe(self) -> list[str]:
        """Return listed replicas whose paths are at fault; any will do if this one is cut off."""
        listed = self._listed_addresses()
        if self.is_cut_off:
            return self._rng.sample(listed, min(1, len(listed)))
        faulty = self._paths.faulty_targets(now_s=now_s())
        return [address for address in faulty if address in listed][:MAX_PROBED]

    def _listed_addresses(self) -> list[str]:
        return [replica.address for replica in self._board.replicas.read().all()]

    async def _probe_here_and_through_another(self, address: str) -> None:
        """Find out whether another path than the one at fault is at fault too.

        Requests may all go to one replica while streams from others have fallen silent.
        """
        if isinstance(await self._probe(address), Err):
            await self._is_down_for_another(address)

    async def _probe(self, address: str) -> Result[None, HttpError]:
        probed = await self._client.try_to_connect(address)
        if isinstance(probed, Ok):
            self._record_reached(address)
        else:
            self._record_unreached(address)
        return probed

    def _record_reached(self, address: str) -> None:
        self._paths.record_reached(address)
        if self._was_cut_off:
            self._was_cut_off = False
            _log.warning("instance.reaches_replicas", address=address)

    def _record_probed(self, address: str, peer: str, *, is_reached: bool) -> None:
        if is_reached:
            self._paths.record_relayed(address, peer, now_s=now_s())
            self._look_for_cut(address)
        else:
            self._paths.forget(address)

    def _record_unreached(self, address: str) -> None:
        self._paths.record_failed(address, now_s=now_s())
        self._look_for_cut(address)

    def _look_for_cut(self, address: str) -> None:
        if self.is_cut_off and not self._was_cut_off:
            self._was_cut_off = True
            # Those that are open may have fallen silent, and peers can be used in any case.
            self._client.close()
            _log.warning("instance.cut_off_from_replicas", address=address)

    def _send(
        self, client: HttpClient, address: str, request: HttpRequest, options: CallOptions
    ) -> AbstractAsyncContextManager[Result[ResponseStream, HttpError]]:
        return client.stream(
            address,
            request,
            progress_timeout_s=options.timeout_s,
            new_connection=options.new_connection,
            max_idle_s=options.max_idle_s,
            is_own=options.is_own,
            is_repeatable=options.is_repeatable,
        )

    @asynccontextmanager
    async def _call_through_others(
        self, address: str, request: HttpRequest, options: CallOptions
    ) -> AsyncIterator[ReplicaCall]:
        relayed = replace(request, target=f"http://{address}{request.target or request.path}")
        for peer in self._relays(address):
            relay_address = self._bus.address_of(peer)
            if relay_address is None or not await self._can_relay(peer, address):
                continue
            self._metrics.count("replica_calls_relayed")
            async with self._send(self._relay_client, relay_address, relayed, options) as answer:
                fault = fault_of(answer)
                if fault is None:
                    self._record_probed(address, peer, is_reached=True)
                    yield ReplicaCall(answer=answer, via=peer)
                    return
                if fault is ProxyFault.REPLICA_UNREACHED:
                    self._record_probed(address, peer, is_reached=False)
                    yield ReplicaCall(answer=_unreached(f"{peer} cannot connect to {address}"))
                    return
            self._record_relay_failed(peer, relay_address, fault)
        self._paths.record_unrelayed(address, now_s=now_s())
        is_alone = not self._peers() and not self.is_cut_off
        error = _unreached(f"neither this instance nor another connects to {address}")
        yield ReplicaCall(answer=error, is_path_fault=not is_alone)

    async def _can_relay(self, peer: str, address: str) -> bool:
        """Return whether a peer passes requests on; one of an earlier release does not."""
        if self._paths.is_good_relay(peer, now_s=now_s()):
            return True
        answer = await self._bus.call(
            peer, ReplicaProbe(address=address), timeout_s=PROBE_TIMEOUT_S
        )
        probed = answer.ok_value if isinstance(answer, Ok) else None
        if isinstance(probed, ReplicaProbed) and probed.can_tell:
            return True
        self._paths.record_relay_failed(peer, now_s=now_s())
        return False

    def _record_relay_failed(self, peer: str, relay_address: str, fault: ProxyFault) -> None:
        self._paths.record_relay_failed(peer, now_s=now_s())
        if fault is ProxyFault.CUT_OFF:
            self._relay_client.break_silent_connections(STALL_S, address=relay_address)

    def _relays(self, address: str) -> list[str]:
        return self._paths.relays(address, self._peers(), now_s=now_s(), limit=MAX_RELAYS_TRIED)

    def _peers(self) -> list[str]:
        return [each for each in self._board.live.read().ids if each != self._bus.own_id]

    def _handle_probe(self, probe: Message) -> Awaitable[Message]:
        assert isinstance(probe, ReplicaProbe)
        return self._answer_probe(probe)

    async def _answer_probe(self, probe: ReplicaProbe) -> Message:
        is_listed = probe.address in self._listed_addresses()
        if not is_listed or not await self._can_tell(probe.address):
            return ReplicaProbed(is_reached=False, can_tell=False)
        is_reached = isinstance(await self._probe(probe.address), Ok)
        can_tell = is_reached or await self._can_tell(probe.address)
        return ReplicaProbed(is_reached=is_reached, can_tell=can_tell)

    async def _can_tell(self, address: str) -> bool:
        """Return whether this instance can judge a replica; find out if it may be cut off.

        It has failed to reach several since it reached one, but these may all be down.
        """
        if self.cannot_tell(address) and not self.is_cut_off:
            await self._probe_others()
        return not self.cannot_tell(address)

    async def _probe_others(self) -> None:
        """Try to reach a replica that has not failed; not again soon if that is in vain."""
        if now_s() - self._reached_none_s < PROBE_INTERVAL_S:
            return
        self._reached_none_s = now_s()
        untried = self._paths.untried(self._listed_addresses(), limit=MAX_OTHERS_PROBED)

        async def probe(address: str) -> None:
            if isinstance(await self._probe(address), Ok):
                self._reached_none_s = float("-inf")
                nursery.cancel_scope.cancel()

        with trio.move_on_after(OTHERS_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for address in untried:
                    nursery.start_soon(probe, address)


def is_unreached(answer: Result[ResponseStream, HttpError]) -> bool:
    """Return whether no connection could be made."""
    if isinstance(answer, Ok):
        return False
    error = answer.err_value
    return error.sent is SendStatus.NOT_SENT and not error.is_pool_exhausted


def _unreached(detail: str) -> Err[HttpError]:
    return Err(HttpError(detail=detail, sent=SendStatus.NOT_SENT))
