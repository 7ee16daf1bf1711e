"""The file in which a storage instance keeps turns: an SQLite database with one writer.

What `write` has returned for survives a loss of power: the write-ahead log is synchronised at each
commit, and a torn end of it is dropped when the file is opened. Each content carries a checksum of
its own; see `lagoonfold.histories`. The functions block and are called from one thread at a time,
but `close` may be called at any moment.

    opened = TurnFile.open("/data/turns.db", max_bytes=100_000_000)
    file = opened.unwrap()
    file.write(WriteBatch(contents=[("acme\\nt1", 120.0, b"...")], counted_s=0.5))
"""

import os
import sqlite3
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from result import Err, Ok, Result

from lagoonfold import new_id

PAGE_BYTES = 4_096
PAGE_CACHE_KB = 512  # contents are cached by who reads them
CHECKPOINT_PAGES = 1_000  # 4 MB of log are copied into the file at once, in some ms

_PRAGMAS = (
    f"page_size = {PAGE_BYTES}",
    "locking_mode = EXCLUSIVE",  # also keeps the log's index out of shared memory
    "journal_mode = WAL",
    "synchronous = FULL",
    f"wal_autocheckpoint = {CHECKPOINT_PAGES}",
    f"cache_size = -{PAGE_CACHE_KB}",
    "temp_store = MEMORY",
)
_SCHEMA = (
    "CREATE TABLE IF NOT EXISTS turns"
    " (key TEXT PRIMARY KEY, kept_until_s REAL NOT NULL, content BLOB NOT NULL)",
    "CREATE TABLE IF NOT EXISTS state (name TEXT PRIMARY KEY, value TEXT NOT NULL)",
)
_DAMAGE_CODES = (sqlite3.SQLITE_NOTADB, sqlite3.SQLITE_CORRUPT)
_DISK_ID = "disk_id"
_COUNTED_S = "counted_s"
_LISTED_AS = "listed_as"


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteBatch:
    """Changes to write together.

    `contents` are turns with the count of seconds until which they are kept, taken one at a time,
    `extended` turns that are in the file and kept for longer, `deleted` turns to remove.
    `counted_s` is the count now.
    """

    contents: Iterable[tuple[str, float, bytes]] = ()
    extended: list[tuple[str, float]] = field(default_factory=list)
    deleted: list[str] = field(default_factory=list)
    counted_s: float


@dataclass(frozen=True, slots=True)
class TurnFileError:
    """Names the file and what SQLite said; a damaged file cannot be read by any later call."""

    detail: str
    is_damaged: bool = False


class TurnFile:
    """An open file of turns.

    `disk_id` is drawn when the file is created: a disk that was lost has another one. `listed_as`
    says how the disk was listed last, "" if it never was. `free_bytes` of `max_bytes` were free
    after the last write.
    """

    def __init__(self, path: str, connection: sqlite3.Connection, max_bytes: int) -> None:
        self._path = path
        self.max_bytes = max_bytes
        self.free_bytes = max_bytes
        self._connection = connection
        self._in_use = threading.Lock()
        self._must_close = False
        self.disk_id = ""
        self.counted_s = 0.0
        self.listed_as = ""

    @classmethod
    def open(cls, path: str, *, max_bytes: int) -> "Result[TurnFile, TurnFileError]":
        """Open or create a file that grows to `max_bytes` at most."""
        try:
            connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
            for pragma in (*_PRAGMAS, f"max_page_count = {max(1, max_bytes // PAGE_BYTES)}"):
                connection.execute(f"PRAGMA {pragma}")
            turn_file = cls(path, connection, max_bytes)
            turn_file._load_state()
            _sync_folder(path)
        except (sqlite3.Error, OSError, ValueError) as error:
            return Err(_describe(f"file {path!r} cannot be opened", error))
        return Ok(turn_file)

    def _load_state(self) -> None:
        self._connection.execute("BEGIN IMMEDIATE")
        for statement in _SCHEMA:
            self._connection.execute(statement)
        value_by_name = dict(self._connection.execute("SELECT name, value FROM state"))
        if _DISK_ID not in value_by_name:
            self._put_state(_DISK_ID, new_id("disk"))
            value_by_name = dict(self._connection.execute("SELECT name, value FROM state"))
        self._connection.execute("COMMIT")
        self._count_free_bytes()
        self.disk_id = value_by_name[_DISK_ID]
        self.counted_s = float(value_by_name.get(_COUNTED_S, "0"))
        self.listed_as = value_by_name.get(_LISTED_AS, "")

    def renew_id(self) -> Result[None, TurnFileError]:
        """Draw a new `disk_id`, since the file no longer holds all that it held."""
        disk_id = new_id("disk")
        renewed = self._commit(lambda: self._put_state(_DISK_ID, disk_id))
        if isinstance(renewed, Ok):
            self.disk_id = disk_id
        return renewed

    def set_listed_as(self, name: str) -> Result[None, TurnFileError]:
        """Record how the disk is listed, durably."""
        recorded = self._commit(lambda: self._put_state(_LISTED_AS, name))
        if isinstance(recorded, Ok):
            self.listed_as = name
        return recorded

    def read_all(self) -> Iterator[tuple[str, float, bytes]]:
        """Yield each turn's key, the count until which it is kept, and its content."""
        yield from self._connection.execute("SELECT key, kept_until_s, content FROM turns")

    def read(self, key: str) -> Result[bytes | None, TurnFileError]:
        """Return the content of a turn, None if the file does not hold it."""
        try:
            with self._using_connection():
                row = self._connection.execute(
                    "SELECT content FROM turns WHERE key = ?", (key,)
                ).fetchone()
        except sqlite3.Error as error:
            return Err(_describe(f"turn {key!r} cannot be read from {self._path!r}", error))
        return Ok(row[0] if row is not None else None)

    def write(self, batch: WriteBatch) -> Result[None, TurnFileError]:
        """Write changes; when this returns without an error, they are durable, all of them."""
        return self._commit(lambda: self._apply(batch))

    def _apply(self, batch: WriteBatch) -> None:
        run = self._connection.executemany
        # First, as the pages that this frees are used by the new turns.
        run("DELETE FROM turns WHERE key = ?", [(key,) for key in batch.deleted])
        run("INSERT OR REPLACE INTO turns VALUES (?, ?, ?)", batch.contents)
        run(
            "UPDATE turns SET kept_until_s = max(kept_until_s, ?) WHERE key = ?",
            [(until_s, key) for key, until_s in batch.extended],
        )
        self._put_state(_COUNTED_S, repr(batch.counted_s))

    def _commit(self, change: Callable[[], None]) -> Result[None, TurnFileError]:
        try:
            with self._using_connection():
                with self._transaction():
                    change()
                self._count_free_bytes()
        except sqlite3.Error as error:
            return Err(_describe(f"file {self._path!r} cannot be written", error))
        return Ok(None)

    def _count_free_bytes(self) -> None:
        """Count the pages that the file may still grow by, and those in it that are not used."""
        counts = (
            self._connection.execute(f"PRAGMA {name}").fetchone()[0]
            for name in ("max_page_count", "page_count", "freelist_count")
        )
        most, used, unused = counts
        self.free_bytes = (most - used + unused) * PAGE_BYTES

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        self._connection.execute("BEGIN IMMEDIATE")
        try:
            yield
            self._connection.execute("COMMIT")
        except BaseException:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise

    @contextmanager
    def _using_connection(self) -> Iterator[None]:
        try:
            with self._in_use:
                yield
        finally:
            if self._must_close:
                self._close_unless_in_use()

    def _put_state(self, name: str, value: str) -> None:
        self._connection.execute("INSERT OR REPLACE INTO state VALUES (?, ?)", (name, value))

    def size_bytes(self) -> int:
        """Return the size of the file and its log on the disk."""
        return sum(
            os.path.getsize(path)
            for path in (self._path, f"{self._path}-wal")
            if os.path.exists(path)
        )

    def close(self) -> None:
        """Close the file; if another thread is using it, that closes it when it is done.

        SQLite crashes the process if a connection is closed during a call. Waiting for the call
        would let a stalled disk hold up the end of the process.
        """
        self._must_close = True
        self._close_unless_in_use()

    def _close_unless_in_use(self) -> None:
        if self._in_use.acquire(blocking=False):
            try:
                self._connection.close()
            finally:
                self._in_use.release()


def _describe(what: str, error: Exception) -> TurnFileError:
    code = getattr(error, "sqlite_errorcode", None)
    return TurnFileError(f"{what}: {error}", is_damaged=code in _DAMAGE_CODES)


def _sync_folder(path: str) -> None:
    """Make the names of new files durable."""
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
