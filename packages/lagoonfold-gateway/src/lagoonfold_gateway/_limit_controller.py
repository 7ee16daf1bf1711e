"""Keeps the limits that replicas name, and tells them to the instances that place requests.

Reads `replicas` and `live`. An instance that gets an answer with a limit tells the owner of the
replica's pool as soon as it has the head of the answer. The owner tells all instances when a limit
comes, changes or ends, since any of them may be the next owner, and tells those in force to an
instance that joins. The owner counts the requests for a limited replica, unless it may be cut off
from the other instances: one of them may have taken over from it.
"""

from result import Err

from lagoonfold.forwarding import (
    Replica,
    ReplicaDirectory,
)
from lagoonfold.placement import (
    ReplicaLimits,
    parse_limit,
)
from lagoonfold_gateway._board import GatewayBoard, LiveView
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway._messages import Ack, Message, ReplicaLimitNews
from lagoonfold_gateway._newcomers import Newcomers
from lagoonfold_gateway._peers import PeerBus
from lagoonfold_gateway._pool_owners import PoolOwners
from lagoonfold_io.observe import EventLog

TOLD_CHANGE_SHARE = 0.1  # instances that do not place for a replica need its limit roughly

_log = EventLog("limits")


class LimitController:
    """Holds the limits of all replicas, and says for which of them this instance places."""

    def __init__(
        self,
        board: GatewayBoard,
        bus: PeerBus,
        members: MemberController,
        pool_owners: PoolOwners,
    ) -> None:
        self.limits = ReplicaLimits(self.placing_since_s)
        self._board = board
        self._bus = bus
        self._members = members
        self._pool_owners = pool_owners
        self._told_by_id: dict[str, float] = {}
        self._unreadable_by_id: dict[str, str] = {}
        self._newcomers = Newcomers(bus.own_id)
        bus.register_handler(ReplicaLimitNews)(self._handle_news)
        board.replicas.subscribe(self._apply_directory)
        board.live.subscribe(self._tell_newcomers)

    def record_head(self, replica: Replica, values: tuple[str, ...]) -> None:
        """Record the limit that the head of a replica's answer names, if it names one.

        A value that is not a limit leaves the limit as it was.
        """
        parsed = parse_limit(values)
        if isinstance(parsed, Err):
            self._log_unreadable(replica.replica_id, parsed.err_value)
            return
        if parsed.ok_value is None:
            return
        news = ReplicaLimitNews(
            replica=replica.replica_id, started=replica.started, limit_per_s=parsed.ok_value
        )
        self._apply(news)
        self._bus.post(self._pool_owners.owner(replica), news)

    def record_unlimited(self, replica: Replica, *, placed_at_s: float) -> None:
        """Record a whole answer without a limit to a request that this instance has placed."""
        replica_id = replica.replica_id
        if self.limits.record_unlimited(replica_id, replica.started, asked_at_s=placed_at_s):
            self._told_by_id.pop(replica_id, None)
            _log.info("replica.limit_ended", replica=replica_id)
            self._tell_all(
                ReplicaLimitNews(replica=replica_id, started=replica.started, limit_per_s=None)
            )

    def placing_since_s(self, replica_id: str) -> float | None:
        """Return since when this instance places for a replica, None while it must not."""
        replica = self._board.replicas.read().get(replica_id)
        if replica is None or self._pool_owners.owner(replica) != self._bus.own_id:
            return None
        if not self._members.hears_most():
            return None
        return max(self._board.live.read().since_s, self._pool_owners.owned_since_s(replica))

    def _handle_news(self, news: Message) -> Message:
        assert isinstance(news, ReplicaLimitNews)
        self._apply(news)
        return Ack()

    def _apply(self, news: ReplicaLimitNews) -> None:
        now, limit_per_s = now_s(), news.limit_per_s
        if limit_per_s is None:
            self.limits.record_unlimited(news.replica, news.started, asked_at_s=now)
            self._told_by_id.pop(news.replica, None)
            return
        self.limits.record_named(news.replica, news.started, limit_per_s, now_s=now)
        replica = self._board.replicas.read().get(news.replica)
        if replica is None or self._pool_owners.owner(replica) != self._bus.own_id:
            return
        told = self._told_by_id.get(news.replica)
        if told is None or abs(limit_per_s - told) > TOLD_CHANGE_SHARE * told:
            self._told_by_id[news.replica] = limit_per_s
            _log.info("replica.limited", replica=news.replica, limit_per_s=limit_per_s, before=told)
            self._tell_all(news)

    def _tell_all(self, news: ReplicaLimitNews) -> None:
        for peer in self._bus.peer_ids:
            self._bus.post(peer, news)

    def _tell_newcomers(self, view: LiveView) -> None:
        """Tell instances that have come the limits of the replicas for which this one places."""
        newcomers = self._newcomers.among(view)
        if not newcomers:
            return
        for replica_id, (started, limit_per_s) in self.limits.named().items():
            if self.limits.is_placing(replica_id):
                news = ReplicaLimitNews(
                    replica=replica_id, started=started, limit_per_s=limit_per_s
                )
                for peer in newcomers:
                    self._bus.post(peer, news)

    def _apply_directory(self, directory: ReplicaDirectory) -> None:
        replicas = directory.all()
        self.limits.keep({replica.replica_id: replica.started for replica in replicas})

    def _log_unreadable(self, replica_id: str, reason: str) -> None:
        if self._unreadable_by_id.get(replica_id) != reason:
            self._unreadable_by_id[replica_id] = reason
            _log.warning("replica.limit_unreadable", replica=replica_id, reason=reason)
