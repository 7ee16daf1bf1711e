"""The peer bus: requests and streams between instances, without message order across peers.

The bus probes calls that make no progress. The called instance answers with those that it does not
know, so a lost message is detected within seconds. If a peer does not answer at all, the bus fails
the calls to it, closes the connection and sends the next message over a new one. It also reconnects
to a peer that does not receive its answers. Parts of answers to that peer's calls may be lost then,
so it cancels the calls; the answer to the peer's probe then lists them as unknown.

    bus = PeerBus("entry-1", "127.0.0.1:7001", find_address, node)
    await nursery.start(bus.serve)
    answer = await bus.request("entry-2", RequestLoan(account_id="a", request=request), 1.0)
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import msgspec
import trio
from result import Err, Ok, Result

from lagoonfold import ErrorKind, Ran, Refusal, new_id
from lagoonfold_node._peers._calls import InboundCall, OutboundStream, PeerLostError
from lagoonfold_node._peers._mailbox import Inbox, Outbox
from lagoonfold_node._peers._messages import (
    WIRE_VERSION,
    CallCancelled,
    CallRefused,
    Codec,
    Frame,
    PeerMessage,
    ProbeAnswer,
    ProbeCalls,
    StreamCredit,
)
from lagoonfold_node._peers._probing import LostAnswerDetector, ProbeTracker
from lagoonfold_node._peers._registry import HANDLERS_BY_TYPE

PROBE_AFTER_S = 0.5
PROBE_INTERVAL_S = 0.25
SILENCE_LIMIT_S = 2.0
RETRY_AFTER_S = 0.5

FindAddress = Callable[[str], str | None]


class PeerBus:
    """Hold one instance's mailbox and its connections to its peers.

    `context` is passed to the handlers of received messages.
    """

    def __init__(
        self,
        instance_id: str,
        listen_address: str,
        find_address: FindAddress,
        context: Any,
        *,
        on_fault: Callable[[str, BaseException], None] = lambda event, error: None,
    ) -> None:
        self.instance_id = instance_id
        self.incarnation = new_id("run")
        self.bytes_sent = 0
        self.bytes_received = 0
        self.redials = 0
        self._listen_address = listen_address
        self._find_address = find_address
        self._context = context
        self._on_fault = on_fault
        self._codec = Codec()
        self._outboxes_by_peer: dict[str, Outbox] = {}
        self._inbound_by_call: dict[tuple[str, str], InboundCall] = {}
        self._outbound_by_call: dict[str, OutboundStream] = {}
        self._probes = ProbeTracker()
        self._lost_answers = LostAnswerDetector()
        self._nursery: trio.Nursery | None = None

    async def serve(self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Receive and answer until cancelled; report the bound port through `task_status`."""
        inbox = Inbox(self._listen_address)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._probe_silent_peers)
                task_status.started(inbox.port)
                while True:
                    for data in await inbox.receive():
                        self._take(data)
        finally:
            self._nursery = None
            inbox.close()
            for outbox in self._outboxes_by_peer.values():
                outbox.close()

    @property
    def active_calls(self) -> int:
        """Return the number of peers' calls that are being handled here."""
        return len(self._inbound_by_call)

    def send(self, instance_id: str, message: PeerMessage) -> bool:
        """Send a message that has no answer; return False if it cannot be queued."""
        return self._send(instance_id, new_id("msg"), False, message)

    async def request(
        self, instance_id: str, message: PeerMessage, timeout_s: float
    ) -> Result[PeerMessage, Refusal]:
        """Send a message and return its one answer, or a refusal.

        If the peer cannot be reached, the refusal is `OWNER_UNAVAILABLE`, and the peer may or may
        not have acted on the message.
        """
        with trio.move_on_after(timeout_s):
            async with self.stream(instance_id, message) as stream:
                try:
                    answer = await stream.receive()
                except PeerLostError as error:
                    return Err(peer_unavailable_refusal(instance_id, str(error)))
                stream.is_complete = True
                if isinstance(answer, CallRefused):
                    return Err(answer.to_refusal())
                return Ok(answer)
        self._probes.record_timeout(instance_id, stream.last_received_at_s)
        return Err(peer_unavailable_refusal(instance_id, f"no answer within {timeout_s:g} s"))

    @asynccontextmanager
    async def stream(self, instance_id: str, message: PeerMessage) -> AsyncIterator[OutboundStream]:
        """Start a call and yield the stream of its answers; leaving the block cancels the call."""
        call_id = new_id("call")
        send = partial(self._send, instance_id, call_id, False)
        stream = OutboundStream(instance_id, call_id, send)
        self._outbound_by_call[call_id] = stream
        if not send(message):
            stream.fail("no address, or its queue is full")
        try:
            yield stream
        finally:
            del self._outbound_by_call[call_id]
            if not stream.is_complete and not stream.is_lost:
                send(CallCancelled())

    def _send(self, peer: str, call_id: str, is_answer: bool, message: PeerMessage) -> bool:
        outbox = self._outbox(peer)
        if outbox is None:
            return False
        frame = Frame(
            version=WIRE_VERSION,
            sender=self.instance_id,
            incarnation=self.incarnation,
            call_id=call_id,
            is_answer=is_answer,
            body=self._codec.encode_body(message),
        )
        data = self._codec.encode(frame)
        self.bytes_sent += len(data)
        return outbox.put(data)

    def _outbox(self, peer: str) -> Outbox | None:
        address = self._find_address(peer)
        outbox = self._outboxes_by_peer.get(peer)
        if address is None or self._nursery is None:
            return None
        if outbox is not None and outbox.address == address:
            return outbox
        if outbox is not None:
            outbox.close()
        outbox = Outbox(address)
        self._outboxes_by_peer[peer] = outbox
        self._nursery.start_soon(self._run_outbox, outbox)
        return outbox

    async def _run_outbox(self, outbox: Outbox) -> None:
        try:
            await outbox.run()
        except Exception as error:
            self._on_fault("peer-send-failed", error)

    def _take(self, data: bytes) -> None:
        """Dispatch one received frame; an invalid one is reported and dropped."""
        self.bytes_received += len(data)
        try:
            frame, message = self._codec.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._on_fault("peer-message-invalid", error)
            return
        self._probes.reset(frame.sender)
        if isinstance(message, ProbeCalls):
            self._answer_probe(frame, message)
        elif isinstance(message, ProbeAnswer):
            self._apply_probe_answer(frame, message)
        elif frame.is_answer:
            self._deliver_answer(frame, message)
        else:
            self._take_call(frame, message)

    def _deliver_answer(self, frame: Frame, message: PeerMessage) -> None:
        """Deliver an answer to its call.

        Late answers, and those of another peer or another incarnation of it, are dropped.
        """
        stream = self._outbound_by_call.get(frame.call_id)
        if stream is None or stream.peer != frame.sender:
            return
        if stream.peer_incarnation not in ("", frame.incarnation):
            return
        stream.peer_incarnation = frame.incarnation
        stream.last_received_at_s = trio.current_time()
        stream.deliver(message)

    def _take_call(self, frame: Frame, message: PeerMessage) -> None:
        key = (frame.sender, frame.call_id)
        call = self._inbound_by_call.get(key)
        if isinstance(message, StreamCredit):
            if call is not None:
                call.add_credit(message.limit)
        elif isinstance(message, CallCancelled):
            if call is not None:
                call.cancel()
        elif call is None and self._nursery is not None:
            send = partial(self._send, frame.sender, frame.call_id, True)
            call = InboundCall(frame.sender, frame.call_id, send)
            self._inbound_by_call[key] = call
            self._nursery.start_soon(self._handle, key, call, message)

    async def _handle(self, key: tuple[str, str], call: InboundCall, message: PeerMessage) -> None:
        handler = HANDLERS_BY_TYPE.get(type(message))
        try:
            if handler is None:
                raise LookupError(f"no handler for {type(message).__name__}")
            with call.scope:
                await handler(self._context, call, message)
        except Exception as error:
            self._on_fault("peer-handler-failed", error)
            refusal = Refusal(kind=ErrorKind.INTERNAL, detail="handler failed")
            call.reply(CallRefused.from_refusal(refusal))
        finally:
            del self._inbound_by_call[key]

    async def _probe_silent_peers(self) -> None:
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            now = trio.current_time()
            for peer, received_at_s in self._silent_since(now).items():
                if now - received_at_s >= SILENCE_LIMIT_S:
                    self._fail_calls_to(peer, f"no sign of {peer} for {SILENCE_LIMIT_S:g} s")
                else:
                    self._probe(peer, now)

    def _silent_since(self, now: float) -> dict[str, float]:
        """Return the silent peers, with when each last sent something or a call to it started."""
        since_by_peer: dict[str, float] = {}
        calls = (
            (stream.peer, stream.last_received_at_s) for stream in self._outbound_by_call.values()
        )
        for peer, received_at_s in (*self._probes.timed_out_peers(), *calls):
            if now - received_at_s >= PROBE_AFTER_S:
                since_by_peer[peer] = max(received_at_s, since_by_peer.get(peer, received_at_s))
        return since_by_peer

    def _probe(self, peer: str, now: float) -> None:
        call_ids = tuple(
            stream.call_id
            for stream in self._outbound_by_call.values()
            if stream.peer == peer and now - stream.last_received_at_s >= PROBE_AFTER_S
        )
        probe = ProbeCalls(call_ids=call_ids, unanswered=self._probes.record_probe(peer))
        self._send(peer, new_id("probe"), False, probe)

    def _fail_calls_to(self, peer: str, reason: str) -> None:
        self._probes.reset(peer)
        self._redial(peer)
        for stream in self._outbound_by_call.values():
            if stream.peer == peer:
                stream.fail(reason)

    def _redial(self, peer: str) -> None:
        """Reconnect to a peer and cancel its calls, whose answers may have been lost."""
        outbox = self._outboxes_by_peer.get(peer)
        if outbox is not None:
            self.redials += 1
            outbox.reconnect()
        for call in self._inbound_by_call.values():
            if call.sender == peer:
                call.cancel()

    def _answer_probe(self, frame: Frame, message: ProbeCalls) -> None:
        if self._lost_answers.is_silent(frame.sender, message.unanswered, trio.current_time()):
            self._redial(frame.sender)
        unknown = tuple(
            call_id for call_id in message.call_ids if not self._is_known(frame.sender, call_id)
        )
        answer = ProbeAnswer(unknown_call_ids=unknown)
        self._send(frame.sender, frame.call_id, True, answer)

    def _is_known(self, peer: str, call_id: str) -> bool:
        call = self._inbound_by_call.get((peer, call_id))
        return call is not None and not call.is_cancelled

    def _apply_probe_answer(self, frame: Frame, message: ProbeAnswer) -> None:
        now = trio.current_time()
        for stream in self._outbound_by_call.values():
            if stream.peer == frame.sender:
                stream.last_received_at_s = now
        for call_id in message.unknown_call_ids:
            stream = self._outbound_by_call.get(call_id)
            if stream is not None and stream.peer == frame.sender:
                stream.fail(f"{frame.sender} does not know the call")


def peer_unavailable_refusal(instance_id: str, detail: str) -> Refusal:
    """Return the refusal for an instance that cannot be reached."""
    return Refusal(
        kind=ErrorKind.OWNER_UNAVAILABLE,
        detail=f"{instance_id}: {detail}",
        ran=Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )
