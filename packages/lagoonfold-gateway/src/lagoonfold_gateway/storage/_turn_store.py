"""The turns that one storage instance keeps: an index and a cache in memory, and a file.

One thread writes the file, since a write waits for the disk. While it does, further turns gather
and are written together. A turn is known to readers once it is durable; what is cached is read
without the disk.

A turn's age counts only while the instance runs, so that steps of the clock and restarts never
shorten the time for which it is kept.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import trio
from result import Err, Ok, Result

from lagoonfold import ByteLimitedCache
from lagoonfold.histories import KeptTurn, decode_kept_turn, encode_kept_turn
from lagoonfold_gateway._clock import now_s
from lagoonfold_io import TurnFile, TurnFileError, WriteBatch
from lagoonfold_io.observe import EventLog, Metrics

MAX_WAITING_BYTES = 33_554_432  # of turns that a stalled disk keeps waiting
EXPIRY_INTERVAL_S = 5.0  # between deletions of expired turns, each of which costs a write
FULL_SHARE = 0.05  # of the disk, left for turns that are answered before gateways learn it
MAX_DELETED = 1_000  # turns in one write, which takes some ms then

_log = EventLog("turns")


@dataclass(frozen=True, slots=True)
class _Indexed:
    program: str
    kept_until_s: float
    size_bytes: int


@dataclass(slots=True, eq=False)
class _Write:
    turns: tuple[KeptTurn, ...]
    keep_s: tuple[float, ...]
    size_bytes: int
    done: trio.Event = field(default_factory=trio.Event)
    outcome: Result[None, str] = Err("not written")


class TurnStore:
    """Keeps turns by their keys.

    `on_kept` is called with the key and the program of each turn that has become durable or is kept
    for longer, and until when on the clock of `kept_for_s`; `on_removed` with the key of each that
    has expired.
    """

    def __init__(self, file: TurnFile, metrics: Metrics, *, cache_bytes: int) -> None:
        self._file = file
        self._metrics = metrics
        self._started_s = now_s() - file.counted_s
        self._indexed_by_key: dict[str, _Indexed] = {}
        self._cache: ByteLimitedCache[str, KeptTurn] = ByteLimitedCache(max_bytes=cache_bytes)
        self._waiting: list[_Write] = []
        self._waiting_bytes = 0
        self._expired: list[str] = []
        self._wake = trio.Event()
        self._file_user = trio.CapacityLimiter(1)
        self.last_fault: str | None = None
        self.on_kept: Callable[[str, str, float], None] = lambda key, program, until_s: None
        self.on_removed: Callable[[str], None] = lambda key: None

    @property
    def disk_id(self) -> str:
        """Return the id of the disk's contents."""
        return self._file.disk_id

    @property
    def is_idle(self) -> bool:
        """Return whether no turn waits for the disk."""
        return self._waiting_bytes == 0

    @property
    def is_full(self) -> bool:
        """Return whether there is hardly room for further turns, with those that wait."""
        free_bytes = self._file.free_bytes - self._waiting_bytes
        return free_bytes < FULL_SHARE * self._file.max_bytes

    @property
    def listed_as(self) -> str:
        """Return how the disk was listed last, "" if it never was."""
        return self._file.listed_as

    async def set_listed_as(self, name: str) -> bool:
        """Record how the disk is listed; return whether that is durable."""
        recorded = await trio.to_thread.run_sync(
            self._file.set_listed_as, name, limiter=self._file_user, abandon_on_cancel=True
        )
        self._log_fault(recorded)
        return isinstance(recorded, Ok)

    def __contains__(self, key: str) -> bool:
        return key in self._indexed_by_key

    def tell_all_kept(self) -> None:
        """Call `on_kept` for all durable turns."""
        for key, indexed in self._indexed_by_key.items():
            self.on_kept(key, indexed.program, indexed.kept_until_s)

    def size_bytes(self, key: str) -> int:
        """Return the size of a turn's texts, 0 for one that is not here."""
        indexed = self._indexed_by_key.get(key)
        return 0 if indexed is None else indexed.size_bytes

    def kept_for_s(self, key: str) -> float:
        """Return for how many seconds a turn is still kept."""
        indexed = self._indexed_by_key.get(key)
        return 0.0 if indexed is None else max(0.0, indexed.kept_until_s - self._counted_s())

    def load(self) -> None:
        """Read the file; a content that is damaged is dropped, and the disk gets a new id then.

        Others then offer what they think that this disk holds.
        """
        damaged: list[str] = []
        for key, kept_until_s, content in self._file.read_all():
            decoded = decode_kept_turn(content)
            if isinstance(decoded, Err) or decoded.ok_value.key != key:
                reason = decoded.err_value if isinstance(decoded, Err) else "another turn's content"
                _log.error("turn.damaged", turn=key, reason=reason)
                damaged.append(key)
                continue
            self._add(decoded.ok_value, kept_until_s)
        if damaged:
            self._expired += damaged
            self._log_fault(self._file.renew_id())
        _log.info("turns.loaded", turns=len(self._indexed_by_key), damaged=len(damaged))

    async def keep(
        self, turns: tuple[KeptTurn, ...], keep_s: tuple[float, ...]
    ) -> Result[None, str]:
        """Make turns durable, or keep those that are here for longer; waits for the disk."""
        write = _Write(turns, keep_s, sum(turn.size_bytes for turn in turns))
        if self._waiting_bytes + write.size_bytes > MAX_WAITING_BYTES:
            return Err(f"{self._waiting_bytes} bytes wait for the disk")
        self._waiting.append(write)
        self._waiting_bytes += write.size_bytes
        self._wake.set()
        await write.done.wait()
        return write.outcome

    async def read(self, key: str) -> KeptTurn | None:
        """Return a durable turn, from memory if it is cached."""
        if key not in self._indexed_by_key:
            return None
        cached = self._cache.get(key)
        if cached is not None:
            return cached
        self._metrics.count("turn_reads", "disk")
        content = await trio.to_thread.run_sync(
            self._file.read, key, limiter=self._file_user, abandon_on_cancel=True
        )
        if isinstance(content, Err) or content.ok_value is None:
            self._log_fault(content)
            return None
        decoded = decode_kept_turn(content.ok_value)
        if isinstance(decoded, Err):
            _log.error("turn.damaged", turn=key, reason=decoded.err_value)
            return None
        turn = decoded.ok_value
        self._cache.put(key, turn, size_bytes=turn.size_bytes)
        return turn

    async def run(self) -> None:
        """Write what has gathered, until cancelled."""
        while True:
            with trio.move_on_after(EXPIRY_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            self._expire()
            if self._waiting or self._expired:
                await self._write_gathered()

    async def _write_gathered(self) -> None:
        writes, self._waiting = self._waiting, []
        deleted, self._expired = self._expired[:MAX_DELETED], self._expired[MAX_DELETED:]
        batch, began_s = self._make_batch(writes, deleted), now_s()
        written = await trio.to_thread.run_sync(
            self._file.write, batch, limiter=self._file_user, abandon_on_cancel=True
        )
        self._metrics.record("disk_write", now_s() - began_s)
        self._waiting_bytes -= sum(write.size_bytes for write in writes)
        self._log_fault(written)
        if isinstance(written, Err):
            await self._delete_alone(deleted, batch)
        for write in writes:
            if isinstance(written, Ok):
                self._add_all(write, batch.counted_s)
                write.outcome = Ok(None)
            else:
                write.outcome = Err(written.err_value.detail)
            write.done.set()
        self._metrics.set_gauge("turns_held", len(self._indexed_by_key))
        self._metrics.set_gauge("disk_bytes", self._file.size_bytes())
        self._metrics.set_gauge("turn_cache_bytes", self._cache.size_bytes)

    async def _delete_alone(self, deleted: list[str], failed: WriteBatch) -> None:
        """Delete expired turns after a write that failed, as new turns may not have fitted."""
        if not failed.deleted:
            self._expired += deleted
            await trio.lowlevel.checkpoint()
            return
        batch = WriteBatch(deleted=failed.deleted, counted_s=failed.counted_s)
        written = await trio.to_thread.run_sync(
            self._file.write, batch, limiter=self._file_user, abandon_on_cancel=True
        )
        if isinstance(written, Err):
            self._expired += deleted

    def _make_batch(self, writes: list[_Write], deleted: list[str]) -> WriteBatch:
        counted_s = self._counted_s()
        contents: dict[str, tuple[KeptTurn, float]] = {}
        extended: list[tuple[str, float]] = []
        for write in writes:
            for turn, keep_s in zip(write.turns, write.keep_s, strict=True):
                until_s = counted_s + keep_s
                if turn.key in self._indexed_by_key:
                    extended.append((turn.key, until_s))
                else:
                    contents[turn.key] = (turn, until_s)
        return WriteBatch(
            contents=_encoded(tuple(contents.values())),
            extended=extended,
            deleted=[
                key for key in deleted if key not in contents and key not in self._indexed_by_key
            ],
            counted_s=counted_s,
        )

    def _add_all(self, write: _Write, counted_s: float) -> None:
        for turn, keep_s in zip(write.turns, write.keep_s, strict=True):
            self._add(turn, counted_s + keep_s)

    def _add(self, turn: KeptTurn, kept_until_s: float) -> None:
        known = self._indexed_by_key.get(turn.key)
        if known is not None:
            kept_until_s = max(kept_until_s, known.kept_until_s)
        self._indexed_by_key[turn.key] = _Indexed(turn.program, kept_until_s, turn.size_bytes)
        self._cache.put(turn.key, turn, size_bytes=turn.size_bytes)
        if known is None or kept_until_s > known.kept_until_s:
            self.on_kept(turn.key, turn.program, kept_until_s)

    def _expire(self) -> None:
        counted_s = self._counted_s()
        waiting = {turn.key for write in self._waiting for turn in write.turns}
        expired = [
            key
            for key, indexed in self._indexed_by_key.items()
            if indexed.kept_until_s <= counted_s and key not in waiting
        ]
        for key in expired:
            del self._indexed_by_key[key]
            self._cache.drop(key)
            self.on_removed(key)
        self._expired += expired

    def _counted_s(self) -> float:
        return now_s() - self._started_s

    def _log_fault(self, outcome: Result[object, TurnFileError]) -> None:
        """Log a fault of the disk once, and its end."""
        fault = outcome.err_value.detail if isinstance(outcome, Err) else None
        if fault is not None:
            self._metrics.count("disk_faults")
        if fault != self.last_fault:
            if fault is not None:
                _log.error("disk.failed", reason=fault)
            else:
                _log.info("disk.works_again")
        self.last_fault = fault


def _encoded(turns: tuple[tuple[KeptTurn, float], ...]) -> Iterator[tuple[str, float, bytes]]:
    """Yield what is written of turns, one encoded turn at a time."""
    for turn, until_s in turns:
        yield turn.key, until_s, encode_kept_turn(turn)
