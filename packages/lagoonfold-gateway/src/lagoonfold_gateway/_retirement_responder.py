"""Answers the operator's requests to empty machines on which no disk is listed.

Reads `live`. Such a machine holds no turns, so that it can be taken away at once. The storage
instance of a listed disk answers itself (`storage._retirement`). One gateway answers a request, by
rendezvous hashing; the others wait, and the store takes the first answer only.
"""

import trio
from result import Err, Ok, Result

from lagoonfold import ABSENT_REVISION, Check, Put, StoreError, TransactionalStore, WatchEvent
from lagoonfold_gateway._background import TaskStarter
from lagoonfold_gateway._dialect import RetirementDialect
from lagoonfold_gateway._member_controller import MemberController
from lagoonfold_gateway.histories._disk_controller import DISK_PREFIX
from lagoonfold_io.observe import EventLog

TURN_S = 1.0  # for which the next instance waits for the one before
MAX_TURNS = 10
RETRY_PAUSE_S = 0.3  # after a failed call to the store
MAX_ATTEMPTS = 30  # outages of the store last seconds

_log = EventLog("retirement")


class RetirementResponder:
    """Handles requests at one gateway."""

    def __init__(
        self,
        dialect: RetirementDialect,
        members: MemberController,
        store: TransactionalStore,
        nursery: TaskStarter,
    ) -> None:
        self._dialect = dialect
        self._members = members
        self._store = store
        self._nursery = nursery
        self._revision_by_name: dict[str, int] = {}

    @property
    def seen(self) -> frozenset[str]:
        """Return the names of the machines whose requests this gateway has seen."""
        return frozenset(self._revision_by_name)

    def handle_event(self, event: WatchEvent) -> None:
        """Start a task for a changed entry if it is a request that is not known yet."""
        key, revision = event.entry.key, event.entry.revision
        if not key.startswith(self._dialect.request_prefix) or revision == ABSENT_REVISION:
            return
        name = key[len(self._dialect.request_prefix) :]
        if self._revision_by_name.get(name) != revision:
            self._revision_by_name[name] = revision
            self._nursery.start_soon(self._answer, name)

    async def _answer(self, name: str) -> None:
        await trio.sleep(TURN_S * min(MAX_TURNS, self._place(name)))
        for _ in range(MAX_ATTEMPTS):
            answered = await self._try_to_answer(name)
            if isinstance(answered, Ok):
                return
            _log.warning("retirement.not_written", machine=name, reason=answered.err_value.detail)
            await trio.sleep(RETRY_PAUSE_S)

    def _place(self, name: str) -> int:
        """Return how many instances come before this one; one that leaves is last."""
        owners = self._members.ranked_owners(f"retirement/{name}")
        own = self._members.instance_id
        return owners.index(own) if own in owners else len(owners)

    async def _try_to_answer(self, name: str) -> Result[None, StoreError]:
        """Answer unless another instance has, or the machine's disk is listed by now."""
        answer_key = self._dialect.answer_prefix + name
        written = await self._store.commit(
            checks=tuple(
                Check(key=key, revision=ABSENT_REVISION) for key in (DISK_PREFIX + name, answer_key)
            ),
            puts=(Put(key=answer_key, value=self._dialect.encode_state(True)),),
        )
        if isinstance(written, Err):
            return written
        if written.ok_value.revision is not None:
            _log.info("retirement.complete", machine=name)
        return Ok(None)
