"""The message bus between instances: links to peers, and handlers of their messages.

The port for peers also takes HTTP requests, for `serve_http`: frames begin with a zero byte, as
none is longer than `MAX_FRAME_BYTES`, and requests with the letter of a method.

A handler is registered with `@bus.register_handler(Type)` and returns the answer, or an awaitable
of it if it has to wait. The answer is not sent for a message that was posted. A message to this
instance itself goes to its handler without a connection.
"""

from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from lagoonfold_gateway._background import TaskStarter, record_failure
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import Ack, Envelope, Heartbeat, Hello, Message, type_name
from lagoonfold_gateway._peer_guard import ChargedConnection, PeerGuard
from lagoonfold_gateway._peer_link import (
    FRAME_START,
    PEER_LINK_ERRORS,
    READ_SIZE_BYTES,
    FrameReader,
    FrameWriter,
    PeerFault,
    PeerLink,
)
from lagoonfold_io import set_tcp_timeout
from lagoonfold_io.observe import EventLog, Metrics

SILENCE_LIMIT_S = 2.0  # for an accepted connection whose peer is lost without closing it

Handler = Callable[[Message], Message | Awaitable[Message]]

_log = EventLog("peers")


class PeerBus:
    """Sends messages to peers by id and handles the messages that they send.

    `on_fault` is called with a peer that could not be reached, `on_answer` with one that answered,
    and `on_closed` with one whose connection to this instance has ended. `last_received_s` is when
    any peer was heard last. With a `guard`, what connections to this instance can take up is
    bounded.
    """

    def __init__(self, own_id: str, nursery: TaskStarter, metrics: Metrics) -> None:
        self.own_id = own_id
        self._nursery = nursery
        self._metrics = metrics
        self._links_by_id: dict[str, PeerLink] = {}
        self._handlers_by_type: dict[type, Handler] = {}
        self.last_received_s = now_s()
        self.on_fault: Callable[[str, PeerFault], None] = lambda peer, fault: None
        self.on_answer: Callable[[str], None] = lambda peer: None
        self.on_closed: Callable[[str], None] = lambda peer: None
        self.serve_http: Callable[[trio.SocketStream, bytes], Awaitable[None]] | None = None
        self.guard: PeerGuard | None = None

    def register_handler(self, message_type: type) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler for a type of message."""

        def register(handler: Handler) -> Handler:
            self._handlers_by_type[message_type] = handler
            return handler

        return register

    def set_peer(self, peer: str, address: str) -> None:
        """Link a peer at an address, in place of an earlier one."""
        link = self._links_by_id.get(peer)
        if link is None or link.address != address:
            self.drop_peer(peer)
            self._links_by_id[peer] = PeerLink(
                address,
                self._nursery,
                self._record_received,
                lambda fault: self.on_fault(peer, fault),
            )

    def drop_peer(self, peer: str) -> None:
        """Drop the link to a peer, if there is one."""
        link = self._links_by_id.pop(peer, None)
        if link is not None:
            link.close()

    def address_of(self, peer: str) -> str | None:
        """Return the address of a linked peer, None if it is not linked."""
        link = self._links_by_id.get(peer)
        return link.address if link is not None else None

    @property
    def peer_ids(self) -> tuple[str, ...]:
        """Return the ids of all linked peers."""
        return tuple(self._links_by_id)

    async def call(
        self, peer: str, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerFault]:
        """Send a message to a peer, or to this instance, and return the answer."""
        if peer == self.own_id:
            with trio.move_on_after(timeout_s):
                return Ok(await self._answer_later(self._handle(message)))
            return Err(PeerFault.TIMEOUT)
        link = self._links_by_id.get(peer)
        if link is None:
            return Err(PeerFault.UNREACHED)
        self._metrics.count("peer_messages_sent", type_name(message))
        answer = await link.call(message, timeout_s=timeout_s)
        if isinstance(answer, Err):
            self.on_fault(peer, answer.err_value)
        else:
            self.on_answer(peer)
        return answer

    async def call_anew(
        self, peer: str, message: Message, *, timeout_s: float
    ) -> Result[Message, PeerFault]:
        """Send a message to another instance on a new connection, used only for it."""
        link = self._links_by_id.get(peer)
        if link is None:
            return Err(PeerFault.UNREACHED)
        own = PeerLink(link.address, self._nursery, self._record_received)
        self._metrics.count("peer_messages_sent", type_name(message))
        try:
            return await own.call(message, timeout_s=timeout_s)
        finally:
            own.close()

    def post(self, peer: str, message: Message) -> None:
        """Send a message that has no answer, without waiting; a fault is told to `on_fault`."""
        if peer == self.own_id:
            answer = self._try_to_handle(message)
            if isinstance(answer, Awaitable):
                self._nursery.start_soon(self._try_to_wait, answer, message)
            return
        link = self._links_by_id.get(peer)
        if link is not None:
            self._metrics.count("peer_messages_sent", type_name(message))
            link.post(message)

    async def serve(
        self, address: str, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections of peers until cancelled."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._serve_peer, listeners, handler_nursery=self._nursery)

    async def _serve_peer(self, stream: trio.SocketStream) -> None:
        peer: str | None = None
        charged: ChargedConnection | None = None
        try:
            set_tcp_timeout(stream.socket, SILENCE_LIMIT_S)
            received = await self._receive_first(stream)
            if received is None:
                return
            if received[:1] > FRAME_START and self.serve_http is not None:
                await self.serve_http(stream, received)
                return
            if self.guard is not None:
                charged = self.guard.open()
                reader = FrameReader(stream, received, charged.receive)
                writer = FrameWriter(stream, charged.charge_answers)
                charged.drop_answers = writer.drop
            else:
                reader, writer = FrameReader(stream, received), FrameWriter(stream)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                envelope = await self._read_first(stream, reader)
                while envelope is not None:
                    self._record_received()
                    peer = _sender_of(envelope.message) or peer
                    self._serve_message(envelope, writer, nursery)
                    envelope = await reader.read()
                nursery.cancel_scope.cancel()
        except* PEER_LINK_ERRORS as errors:
            _log.debug("peer.connection_broke", reason=str(errors.exceptions[0]))
        except* Exception as errors:
            record_failure(self._serve_peer, errors, self._metrics)
        finally:
            stream.socket.close()
            if charged is not None:
                charged.close()
            if peer is not None:
                self.on_closed(peer)

    async def _receive_first(self, stream: trio.SocketStream) -> bytes | None:
        if self.guard is not None:
            return await self.guard.receive_first(stream)
        return await stream.receive_some(READ_SIZE_BYTES)

    async def _read_first(self, stream: trio.SocketStream, reader: FrameReader) -> Envelope | None:
        if self.guard is not None:
            return await self.guard.read_first(stream, reader)
        return await reader.read()

    def _record_received(self) -> None:
        self.last_received_s = now_s()

    def _serve_message(
        self, envelope: Envelope, writer: FrameWriter, nursery: trio.Nursery
    ) -> None:
        """Handle a message; only a handler that has to wait gets a task.

        A message whose handler fails is not answered, as if it had been lost.
        """
        self._metrics.count("peer_messages_received", type_name(envelope.message))
        answer = self._try_to_handle(envelope.message)
        if isinstance(answer, Awaitable):
            nursery.start_soon(self._serve_later, answer, envelope, writer)
        elif answer is not None and envelope.number:
            writer.put(Envelope(envelope.number, True, answer))

    async def _serve_later(
        self, answer: Awaitable[Message], envelope: Envelope, writer: FrameWriter
    ) -> None:
        message = await self._try_to_wait(answer, envelope.message)
        if message is not None and envelope.number:
            writer.put(Envelope(envelope.number, True, message))

    async def _try_to_wait(self, answer: Awaitable[Message], message: Message) -> Message | None:
        """Wait for a handler; return None if it fails."""
        try:
            return await answer
        except Exception as error:
            record_failure(self._handlers_by_type[type(message)], error, self._metrics)
            return None

    def _try_to_handle(self, message: Message) -> Message | Awaitable[Message] | None:
        """Call the handler of a message; return None if it fails."""
        try:
            return self._handle(message)
        except Exception as error:
            record_failure(self._handlers_by_type[type(message)], error, self._metrics)
            return None

    @staticmethod
    async def _answer_later(answer: Message | Awaitable[Message]) -> Message:
        return await answer if isinstance(answer, Awaitable) else answer

    def _handle(self, message: Message) -> Message | Awaitable[Message]:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            _log.warning("peer.message_unknown", type=type_name(message))
            return Ack()
        return handler(message)


def _sender_of(message: Message) -> str | None:
    """Return the instance that a message of its own status comes from, None for other messages."""
    return message.status.instance if isinstance(message, Heartbeat | Hello) else None
