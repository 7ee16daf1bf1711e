"""Keeps the turns that this instance has answered, and finds those that callers continue from.

Reads `disks`. A turn counts as answered once it is durable on as many disks as the rule asks for;
until then the end of its answer is held back. Turns that were served or read lately are cached.
What requests in progress go on from is charged to the memory for callers (`TurnMemory`): a turn is
read once for all requests that go on from it, and large turns are not all sent to disks at once.
"""

from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold import ByteLimitedCache, ErrorKind, Refusal
from lagoonfold.histories import (
    MAX_COPY_LAG_S,
    ChainSearch,
    CopyRule,
    Disk,
    KeptTurn,
    rank_disks,
    turn_key,
)
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import (
    KeepTurns,
    TurnQuery,
    TurnsFound,
    TurnsKept,
    TurnTooLarge,
)
from lagoonfold_gateway.histories._byte_limiter import ByteLimiter
from lagoonfold_gateway.histories._disk_caller import DiskCaller
from lagoonfold_gateway.histories._disk_controller import DiskController
from lagoonfold_gateway.histories._turn_memory import ReadReservation, TurnMemory, TurnUse
from lagoonfold_io import FaultError, MemoryGate
from lagoonfold_io.observe import EventLog, Metrics

KEPT_SPANS = 2  # of a route's retention; turns of a long chain are renewed once in each span
ASK_TIMEOUT_S = 0.3  # a disk's instance answers from memory within some ms
NEXT_DISK_S = 0.05  # without an answer, other disks are asked too
KEEP_TIMEOUT_S = 0.5  # for one disk to write; it takes some ms
KEEP_ELSEWHERE_S = 0.1  # without enough copies, the next disk is asked to write too
KEEP_AGAIN_S = 0.1  # before the disks that failed are tried again
LIST_AGAIN_S = 1.0  # between reads of the list while turns cannot be kept
RETRY_AFTER_S = 0.3  # for a caller; an instance that was killed is back by then, or takes long
MEMORY_RETRY_AFTER_S = 1.0  # for a caller, after this instance has waited for memory itself
FULL_RETRY_AFTER_S = 1.0  # for a caller while disks are full; turns expire all the time
MAX_WRITTEN_BYTES = 8_388_608  # of turns on their way to disks; each has a message for them
MAX_MESSAGE_BYTES = 2_097_152  # of turns in one message, unless one turn is larger
MAX_TURN_BYTES = 6_291_456  # fits into a message with a margin

_log = EventLog("histories")


@dataclass(frozen=True, slots=True)
class Chain:
    """The turns that a turn continues from, oldest first, and until when each is kept.

    They are charged for as long as their `use` is open.
    """

    turns: tuple[KeptTurn, ...] = ()
    kept_until_s: tuple[float, ...] = ()
    use: TurnUse | None = None

    def close(self) -> None:
        """Release the turns, once the request is over."""
        if self.use is not None:
            self.use.close()


@dataclass(frozen=True, slots=True)
class _Cached:
    turn: KeptTurn
    kept_until_s: float


@dataclass(slots=True)
class _ChainRead:
    """One request's search for a chain, and until when the turns that it has found are kept.

    `larger_bytes` is the size of the missing turn if that did not fit into the reserved memory.
    """

    search: ChainSearch
    program: str
    use: TurnUse
    reservation: ReadReservation
    until_s_by_key: dict[str, float] = field(default_factory=dict)
    larger_bytes: int = 0

    @property
    def missing_key(self) -> str:
        """Return the key of the turn that is missing now."""
        return turn_key(self.search.account, self.search.missing or "")

    def add_shared(self, turn: KeptTurn, kept_until_s: float) -> None:
        """Add the missing turn, which is in use."""
        self.until_s_by_key[turn.key] = kept_until_s
        self.search.add((turn,))


class HistoryClient:
    """Reads and writes kept turns on the disks of the storage instances."""

    def __init__(
        self,
        board: GatewayBoard,
        caller: DiskCaller,
        disk_controller: DiskController,
        rule: CopyRule,
        failure_domain: str,
        metrics: Metrics,
        memory: MemoryGate,
        *,
        cache_bytes: int,
    ) -> None:
        self._board = board
        self._caller = caller
        self._disk_controller = disk_controller
        self._rule = rule
        self._failure_domain = failure_domain
        self._metrics = metrics
        self._cache: ByteLimitedCache[str, _Cached] = ByteLimitedCache(max_bytes=cache_bytes)
        self._memory = memory
        self._turn_memory = TurnMemory(memory)
        self._read_by_key: dict[str, trio.Event] = {}
        self._write_limiter = ByteLimiter(MAX_WRITTEN_BYTES)
        self._list_read_s = 0.0

    def refuse_if_disks_are_missing(self) -> Refusal | None:
        """Return a refusal if a turn that begins now could not be kept, as far as is known."""
        disks = self._board.disks.read()
        if disks is None:
            return _unavailable("the list of disks has not been read yet")
        reached = [
            disk for disk in disks if not disk.is_leaving and not self._caller.is_out_of_reach(disk)
        ]
        if not self._rule.is_met_by(reached):
            detail = f"turns cannot be kept: {len(reached)} of {len(disks)} disks answer"
            return _unavailable(detail)
        writable = [disk for disk in reached if not self._caller.is_full(disk)]
        if self._rule.is_met_by(writable):
            return None
        self._metrics.count("histories", "disks_full")
        detail = f"turns cannot be kept: {len(writable)} of {len(disks)} disks have room"
        return _unavailable(detail, retry_after_s=FULL_RETRY_AFTER_S)

    async def find_chain(self, turn_id: str, account: str, program: str) -> Result[Chain, Refusal]:
        """Return a turn and all that it continues from; the caller closes the chain.

        `NOT_FOUND` only if it certainly does not exist or is another account's.
        """
        read = _ChainRead(
            ChainSearch(turn_id, account),
            program,
            self._turn_memory.open(),
            ReadReservation(self._memory),
        )
        chain: Chain | None = None
        try:
            failed = await self._find(read)
            if failed is not None:
                return Err(failed)
            turns = read.search.chain
            until_s = tuple(read.until_s_by_key[turn.key] for turn in turns)
            chain = Chain(turns, until_s, read.use)
            return Ok(chain)
        except FaultError:
            self._metrics.count("histories", "no_memory")
            return Err(
                _unavailable(
                    f"no memory for what turn {turn_id!r} holds", retry_after_s=MEMORY_RETRY_AFTER_S
                )
            )
        finally:
            read.reservation.close()
            if chain is None:
                read.use.close()

    async def _find(self, read: _ChainRead) -> Refusal | None:
        """Find the chain; raise `FaultError` without memory for it."""
        await self._add_from_memory(read)
        self._metrics.count("histories", "cached" if read.search.is_complete else "read")
        while not read.search.is_complete:
            key = read.missing_key
            others_read = self._read_by_key.get(key)
            if others_read is not None:
                await others_read.wait()
            else:
                is_read = self._read_by_key[key] = trio.Event()
                try:
                    refused = await self._read_missing(read)
                finally:
                    read.reservation.release()
                    del self._read_by_key[key]
                    is_read.set()
                if refused is not None:
                    return refused
            await self._add_from_memory(read)
        return None

    async def _add_from_memory(self, read: _ChainRead) -> None:
        """Add turns that other requests use or that are cached, up to one that neither holds."""
        while not read.search.is_complete:
            key = read.missing_key
            turn = read.use.share(key)
            if turn is None:
                cached = self._cache.get(key)
                if cached is None:
                    return
                turn = cached.turn
                await read.use.take(turn, cached.kept_until_s)
            read.add_shared(turn, self._turn_memory.kept_until_s(key))

    async def _read_missing(self, read: _ChainRead) -> Refusal | None:
        """Read the missing turn, and what precedes it, from a disk."""
        await read.reservation.reserve()
        missing = read.search.missing
        while read.search.missing == missing:
            read.larger_bytes = 0
            if not await self._ask_known_disks(read):
                refused = await self._prove_absent(read)
                if refused is not None:
                    return refused
            if read.larger_bytes:
                await read.reservation.reserve_for(read.larger_bytes)
        return None

    async def keep(self, turn: KeptTurn, chain: Chain, *, retention_s: float) -> None:
        """Make a turn durable with all that it continues from; waits for as long as that takes."""
        began_s = now_s()
        keep_s = KEPT_SPANS * retention_s
        while True:
            renewed = self._ending_soon(chain, began_s + retention_s + MAX_COPY_LAG_S)
            messages = _split([turn, *renewed], keep_s)
            size = sum(kept.size_bytes for kept in (turn, *renewed))
            async with self._write_limiter.hold(size):
                is_kept = await self._write(messages, turn)
            if is_kept:
                break
            self._metrics.count("histories", "not_kept")
            await trio.sleep(KEEP_AGAIN_S)
            await self._read_list_again()
        for kept in (turn, *renewed):
            self._remember(kept, began_s + keep_s)
            self._turn_memory.renew(kept.key, began_s + keep_s)
        self._metrics.record("keep_turn", now_s() - began_s)

    def _ending_soon(self, chain: Chain, until_s: float) -> list[KeptTurn]:
        """Return the turns of a chain that are kept for less long than until then.

        Another request that goes on from them may have renewed them meanwhile.
        """
        return [
            kept
            for kept, kept_until_s in zip(chain.turns, chain.kept_until_s, strict=True)
            if max(kept_until_s, self._turn_memory.kept_until_s(kept.key)) < until_s
        ]

    async def _read_list_again(self) -> None:
        """Read the list of disks, in case the watch has missed that some have come."""
        if now_s() - self._list_read_s < LIST_AGAIN_S:
            return
        self._list_read_s = now_s()
        listed = await self._disk_controller.read_now()
        if isinstance(listed, Err):
            _log.warning("disks.not_read", reason=listed.err_value.detail)

    def _remember(self, turn: KeptTurn, kept_until_s: float) -> None:
        cached = _Cached(turn, kept_until_s)
        self._cache.put(turn.key, cached, size_bytes=turn.size_bytes)
        self._metrics.set_gauge("history_cache_bytes", self._cache.size_bytes)

    async def _write(self, messages: list[KeepTurns], turn: KeptTurn) -> bool:
        """Write to the first disks by rank, and to further ones while copies are missing."""
        disks = [disk for disk in self._board.disks.read() or () if not disk.is_leaving]
        waiting = sorted(
            rank_disks(turn.program, disks),
            key=lambda disk: (self._caller.is_faulty(disk), self._caller.is_full(disk)),
        )
        kept_on: list[Disk] = []
        needs_more = trio.Event()
        pending = 0

        async with trio.open_nursery() as nursery:

            async def write_to(disk: Disk) -> None:
                nonlocal needs_more, pending
                if await self._write_to(disk, messages, turn):
                    kept_on.append(disk)
                pending -= 1
                if self._rule.is_met_by(kept_on):
                    nursery.cancel_scope.cancel()
                elif pending < self._rule.copies - len(kept_on):
                    needs_more.set()

            while True:
                count = max(1, self._rule.copies - len(kept_on) - pending)
                started, waiting = waiting[:count], waiting[count:]
                pending += len(started)
                for disk in started:
                    nursery.start_soon(write_to, disk)
                if not waiting:
                    break
                needs_more = trio.Event()
                with trio.move_on_after(KEEP_ELSEWHERE_S):
                    await needs_more.wait()
        return self._rule.is_met_by(kept_on)

    async def _write_to(self, disk: Disk, messages: list[KeepTurns], turn: KeptTurn) -> bool:
        was_faulty = self._caller.is_faulty(disk)
        for message in messages:
            answer = await self._caller.call(disk, message, timeout_s=KEEP_TIMEOUT_S)
            if isinstance(answer, Ok) and isinstance(answer.ok_value, TurnsKept):
                continue
            reason = answer.err_value.value if isinstance(answer, Err) else str(answer.ok_value)
            if not was_faulty:
                _log.warning("turn.not_kept", turn=turn.turn_id, disk=disk.name, reason=reason)
            self._caller.record_refused(disk)
            return False
        return True

    async def _ask_known_disks(self, read: _ChainRead) -> bool:
        """Ask for the missing turn where it most likely is, then elsewhere; return if it is there.

        It may be there and not have come, as it is too large for what is reserved.
        """
        ranked = rank_disks(read.program, self._board.disks.read() or ())
        likely = ranked[: self._rule.copies]
        near = [disk for disk in likely if disk.failure_domain == self._failure_domain]
        first = (near or likely)[:1]
        waves = [first, [disk for disk in likely if disk not in first], ranked[len(likely) :]]
        missing, found = read.search.missing, trio.Event()

        async with trio.open_nursery() as nursery:

            async def ask_all(wave: list[Disk], answered: trio.Event) -> None:
                async with trio.open_nursery() as asked:
                    for disk in wave:
                        asked.start_soon(self._ask, disk, read, found)
                answered.set()

            for wave in waves:
                answered = trio.Event()
                nursery.start_soon(ask_all, wave, answered)
                is_last = wave is waves[-1]
                with trio.move_on_after(ASK_TIMEOUT_S if is_last else NEXT_DISK_S):
                    await _any_of(found, answered)
                if found.is_set():
                    break
            nursery.cancel_scope.cancel()
        return read.search.missing != missing or read.larger_bytes > 0

    async def _prove_absent(self, read: _ChainRead) -> Refusal | None:
        """Ask all disks of a current list for the missing turn; None if one of them has it."""
        search = read.search
        missing = search.missing
        listed = await self._disk_controller.read_now()
        if isinstance(listed, Err):
            return _unavailable(f"the list of disks cannot be read: {listed.err_value.detail}")
        search.begin_proof(listed.ok_value)
        async with trio.open_nursery() as nursery:
            for disk in listed.ok_value:
                nursery.start_soon(self._ask, disk, read, trio.Event())
        if search.missing != missing or read.larger_bytes:
            return None
        if search.does_not_exist:
            return _not_found(missing)
        _log.warning("turn.not_read", turn=missing, found=len(search.chain))
        return _unavailable(f"turn {missing!r} is on none of the disks that answer")

    async def _ask(self, disk: Disk, read: _ChainRead, found: trio.Event) -> None:
        """Ask one disk for the turn that is missing now, and add what it holds to the search."""
        search = read.search
        turn_id = search.missing
        if turn_id is None:
            return
        query = TurnQuery(
            turn_id=turn_id, account=search.account, max_bytes=read.reservation.max_bytes
        )
        answer = await self._caller.call(disk, query, timeout_s=ASK_TIMEOUT_S)
        held = answer.ok_value if isinstance(answer, Ok) else None
        if isinstance(held, TurnTooLarge):
            read.larger_bytes = held.size_bytes
            found.set()
        if not isinstance(held, TurnsFound):
            return
        if not held.turns:
            search.record_absent(turn_id, disk.name, held.disk_id)
            return
        for turn, kept_for_s in zip(held.turns, held.kept_for_s, strict=True):
            if turn.turn_id != search.missing or turn.account != search.account:
                continue
            read.use.adopt(turn, now_s() + kept_for_s, read.reservation.claim)
            self._remember(turn, now_s() + kept_for_s)
            read.add_shared(turn, self._turn_memory.kept_until_s(turn.key))
        found.set()


async def _any_of(*events: trio.Event) -> None:
    """Wait until one of the events is set."""
    async with trio.open_nursery() as nursery:

        async def wait(event: trio.Event) -> None:
            await event.wait()
            nursery.cancel_scope.cancel()

        for event in events:
            nursery.start_soon(wait, event)


def _split(turns: list[KeptTurn], keep_s: float) -> list[KeepTurns]:
    """Return messages with all turns, none of them too large."""
    groups: list[list[KeptTurn]] = [[]]
    size = 0
    for turn in turns:
        if groups[-1] and size + turn.size_bytes > MAX_MESSAGE_BYTES:
            groups.append([])
            size = 0
        groups[-1].append(turn)
        size += turn.size_bytes
    return [KeepTurns(turns=tuple(group), keep_s=(keep_s,) * len(group)) for group in groups]


def _not_found(turn_id: str | None) -> Refusal:
    return Refusal(kind=ErrorKind.NOT_FOUND, detail=f"turn {turn_id!r} does not exist")


def _unavailable(detail: str, *, retry_after_s: float = RETRY_AFTER_S) -> Refusal:
    return Refusal(kind=ErrorKind.HISTORY_UNAVAILABLE, detail=detail, retry_after_s=retry_after_s)
