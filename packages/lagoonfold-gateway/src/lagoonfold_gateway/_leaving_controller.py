"""Sends nothing new to replicas that say in an answer that they leave.

Reads `live`; reads and writes `replicas`. The answer is the news: it counts at once, whatever the
store lists and whether or not the store answers, until the replica starts again. The instance that
learns it tells all others, since the owner of the replica's pool places for all. Those that join
are told by instances that were there before: a newcomer may own the pool itself.
"""

from lagoonfold.forwarding import Replica
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._messages import Ack, Message, ReplicaLeavingNews
from lagoonfold_gateway._newcomers import Newcomers
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_io import HttpClient
from lagoonfold_io.observe import EventLog

_log = EventLog("replicas")


class LeavingController:
    """Records and tells which replicas have said that they leave."""

    def __init__(self, board: GatewayBoard, bus: PeerBus, client: HttpClient) -> None:
        self._board = board
        self._bus = bus
        self._client = client
        self._newcomers = Newcomers(bus.own_id)
        bus.register_handler(ReplicaLeavingNews)(self._handle_news)
        board.live.subscribe(self._tell_newcomers)

    def record_head(self, replica: Replica, value: str | None) -> None:
        """Record what the head of a replica's answer says of its leaving, if it says anything."""
        if value is None or value.strip() != "1":
            return
        news = ReplicaLeavingNews(replica=replica.replica_id, started=replica.started)
        if self._apply(news):
            _log.info("replica.leaving", replica=replica.replica_id, started=replica.started)
            for peer in self._bus.peer_ids:
                self._bus.post(peer, news)

    def _handle_news(self, news: Message) -> Message:
        assert isinstance(news, ReplicaLeavingNews)
        self._apply(news)
        return Ack()

    def _apply(self, news: ReplicaLeavingNews) -> bool:
        directory = self._board.replicas.read()
        if not directory.record_leaving(news.replica, news.started):
            return False
        replica = directory.get(news.replica)
        if replica is not None:
            self._client.close_idle_to(replica.address)
        self._board.replicas.write(directory)
        return True

    def _tell_newcomers(self, view: LiveView) -> None:
        newcomers = self._newcomers.among(view)
        if not self._newcomers.is_teller:
            return
        for replica_id, started in self._board.replicas.read().leaving().items():
            for peer in newcomers:
                self._bus.post(peer, ReplicaLeavingNews(replica=replica_id, started=started))
