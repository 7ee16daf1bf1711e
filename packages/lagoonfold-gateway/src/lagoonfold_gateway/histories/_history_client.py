"""Keeps the turns that this instance has answered, and finds those that callers continue from.

Reads `disks`. A turn counts as answered once it is durable on as many disks as the rule asks for;
until then the end of its answer is held back. Turns that were served or read lately are cached.
"""

from dataclasses import dataclass

import trio
from result import Err, Ok, Result

from lagoonfold import ByteLimitedCache, ErrorKind, Refusal
from lagoonfold.histories import ChainSearch, CopyRule, Disk, KeptTurn, rank_disks
from lagoonfold_gateway._board import GatewayBoard
from lagoonfold_gateway._clock import now_s
from lagoonfold_gateway._messages import KeepTurns, TurnQuery, TurnsFound, TurnsKept
from lagoonfold_gateway.histories._disk_caller import DiskCaller
from lagoonfold_gateway.histories._disk_controller import DiskController
from lagoonfold_io.observe import EventLog, Metrics

KEPT_SPANS = 2  # of a route's retention; turns of a long chain are renewed once in each span
ASK_TIMEOUT_S = 0.3  # a disk's instance answers from memory within some ms
NEXT_DISK_S = 0.05  # without an answer, other disks are asked too
KEEP_TIMEOUT_S = 0.5  # for one disk to write; it takes some ms
KEEP_ELSEWHERE_S = 0.1  # without enough copies, the next disk is asked to write too
KEEP_AGAIN_S = 0.1  # before the disks that failed are tried again
LIST_AGAIN_S = 1.0  # between reads of the list while turns cannot be kept
RETRY_AFTER_S = 0.3  # for a caller; an instance that was killed is back by then, or takes long
MAX_MESSAGE_BYTES = 2_097_152  # of turns in one message, unless one turn is larger
MAX_TURN_BYTES = 6_291_456  # fits into a message with a margin

_log = EventLog("histories")


@dataclass(frozen=True, slots=True)
class Chain:
    """The turns that a turn continues from, oldest first, and until when each is kept."""

    turns: tuple[KeptTurn, ...] = ()
    kept_until_s: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class _Cached:
    turn: KeptTurn
    kept_until_s: float


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
        self._list_read_s = 0.0

    def refuse_if_disks_are_missing(self) -> Refusal | None:
        """Return a refusal if a turn that begins now could not be kept, as far as is known."""
        disks = self._board.disks.read()
        if disks is None:
            return _unavailable("the list of disks has not been read yet")
        writable = [
            disk for disk in disks if not disk.is_leaving and not self._caller.is_out_of_reach(disk)
        ]
        if self._rule.is_met_by(writable):
            return None
        return _unavailable(f"turns cannot be kept: {len(writable)} of {len(disks)} disks answer")

    async def find_chain(self, turn_id: str, account: str, program: str) -> Result[Chain, Refusal]:
        """Return a turn and all that it continues from.

        `NOT_FOUND` only if it certainly does not exist or is another account's.
        """
        search = ChainSearch(turn_id, account)
        until_s_by_key: dict[str, float] = {}

        def get_cached(key: str) -> KeptTurn | None:
            cached = self._cache.get(key)
            if cached is None:
                return None
            until_s_by_key[key] = cached.kept_until_s
            return cached.turn

        search.add_cached(get_cached)
        self._metrics.count("histories", "cached" if search.is_complete else "read")
        while not search.is_complete:
            if await self._ask_known_disks(search, program, until_s_by_key):
                search.add_cached(get_cached)
            elif (failed := await self._prove_absent(search, until_s_by_key)) is not None:
                return Err(failed)
        turns = search.chain
        return Ok(Chain(turns, tuple(until_s_by_key[turn.key] for turn in turns)))

    async def keep(self, turn: KeptTurn, chain: Chain, *, retention_s: float) -> None:
        """Make a turn durable with all that it continues from; waits for as long as that takes."""
        began_s = now_s()
        renewed = [
            kept
            for kept, until_s in zip(chain.turns, chain.kept_until_s, strict=True)
            if until_s - began_s < retention_s
        ]
        keep_s = KEPT_SPANS * retention_s
        messages = _split([turn, *renewed], keep_s)
        while not await self._write(messages, turn):
            self._metrics.count("histories", "not_kept")
            await trio.sleep(KEEP_AGAIN_S)
            await self._read_list_again()
        for kept in (turn, *renewed):
            self._remember(kept, began_s + keep_s)
        self._metrics.record("keep_turn", now_s() - began_s)

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
        waiting = sorted(rank_disks(turn.program, disks), key=self._caller.is_faulty)
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

    async def _ask_known_disks(
        self, search: ChainSearch, program: str, until_s_by_key: dict[str, float]
    ) -> bool:
        """Ask for the missing turn where it most likely is, then elsewhere; return if it came."""
        ranked = rank_disks(program, self._board.disks.read() or ())
        likely = ranked[: self._rule.copies]
        near = [disk for disk in likely if disk.failure_domain == self._failure_domain]
        first = (near or likely)[:1]
        waves = [first, [disk for disk in likely if disk not in first], ranked[len(likely) :]]
        missing, found = search.missing, trio.Event()

        async with trio.open_nursery() as nursery:

            async def ask_all(wave: list[Disk], answered: trio.Event) -> None:
                async with trio.open_nursery() as asked:
                    for disk in wave:
                        asked.start_soon(self._ask, disk, search, until_s_by_key, found)
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
        return search.missing != missing

    async def _prove_absent(
        self, search: ChainSearch, until_s_by_key: dict[str, float]
    ) -> Refusal | None:
        """Ask all disks of a current list for the missing turn; None if one of them has it."""
        missing = search.missing
        listed = await self._disk_controller.read_now()
        if isinstance(listed, Err):
            return _unavailable(f"the list of disks cannot be read: {listed.err_value.detail}")
        search.begin_proof(listed.ok_value)
        async with trio.open_nursery() as nursery:
            for disk in listed.ok_value:
                nursery.start_soon(self._ask, disk, search, until_s_by_key, trio.Event())
        if search.missing != missing:
            return None
        if search.does_not_exist:
            return _not_found(missing)
        _log.warning("turn.not_read", turn=missing, found=len(search.chain))
        return _unavailable(f"turn {missing!r} is on none of the disks that answer")

    async def _ask(
        self, disk: Disk, search: ChainSearch, until_s_by_key: dict[str, float], found: trio.Event
    ) -> None:
        """Ask one disk for the turn that is missing now, and add what it holds to the search."""
        turn_id = search.missing
        if turn_id is None:
            return
        query = TurnQuery(turn_id=turn_id, account=search.account)
        answer = await self._caller.call(disk, query, timeout_s=ASK_TIMEOUT_S)
        if not isinstance(answer, Ok) or not isinstance(answer.ok_value, TurnsFound):
            return
        held = answer.ok_value
        if not held.turns:
            search.record_absent(turn_id, disk.name, held.disk_id)
            return
        for turn, kept_for_s in zip(held.turns, held.kept_for_s, strict=True):
            until_s_by_key[turn.key] = now_s() + kept_for_s
            self._remember(turn, now_s() + kept_for_s)
        search.add(held.turns)
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


def _unavailable(detail: str) -> Refusal:
    return Refusal(kind=ErrorKind.HISTORY_UNAVAILABLE, detail=detail, retry_after_s=RETRY_AFTER_S)
