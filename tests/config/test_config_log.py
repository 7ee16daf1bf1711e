"""Tests of the configuration log: concurrent changes, lost answers, compaction and damage."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lagoonfold import ErrorKind, Ran
from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    HEAD_KEY,
    MAX_RECENT_CHANGES,
    Account,
    ChangeProposal,
    Configuration,
    ConfigurationError,
    PutAccount,
    apply_change,
    decode_config_head,
    encode_value,
    replay_changes,
)
from lagoonfold_io import ConfigLog
from tests._suite import load_functions
from tests.config._memory_store import MemoryStore

_FAULTS = ["", "lost-before", "lost-after", "late", "unavailable"]


def _change(name: str, rate: float = 1.0, replaces: bool = False) -> PutAccount:
    account = Account(account_id=name, rate_per_s=rate, burst=1)
    return PutAccount(account=account, replaces=replaces)


def _proposal(
    change: PutAccount, from_version: int, change_id: str = "", *, is_strict: bool = False
) -> ChangeProposal:
    return ChangeProposal(
        change=change,
        change_id=change_id or f"id-{change.account.account_id}-{change.account.rate_per_s}",
        changed_by="ada",
        changed_at_s=1.0,
        from_version=from_version,
        is_strict=is_strict,
    )


def _run(check: Callable[..., Awaitable[None]], *arguments: Any) -> None:
    """Run a check on a mock clock that skips all sleeps."""
    trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


async def _version(log: ConfigLog) -> int:
    return (await log.read(EMPTY_CONFIGURATION)).unwrap().configuration.version


def test_concurrent_changes_of_one_document_conflict() -> None:
    """Two operators change an account of version 1; the second gets a conflict with the first."""

    async def check() -> None:
        log = ConfigLog(MemoryStore())
        (await log.propose(_proposal(_change("north"), 0))).unwrap()
        (await log.propose(_proposal(_change("north", 2.0, True), 1))).unwrap()
        second = await log.propose(_proposal(_change("north", 3.0, True), 1))
        assert second.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
        assert "account north by ada" in second.unwrap_err().detail
        assert await _version(log) == 2

    _run(check)


def test_changes_of_other_documents_conflict_only_if_strict() -> None:
    """Any later change refuses a strict proposal; only one of its document, another proposal."""

    async def check() -> None:
        log = ConfigLog(MemoryStore())
        (await log.propose(_proposal(_change("north"), 0))).unwrap()
        strict = await log.propose(_proposal(_change("south"), 0, is_strict=True))
        assert strict.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
        assert (await log.propose(_proposal(_change("south"), 0))).unwrap().version == 2

    _run(check)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(_FAULTS), max_size=30))
def test_changes_apply_at_most_once_despite_lost_answers(faults: list[str]) -> None:
    """Accepted changes are logged once, refused ones never, unknown outcomes at most once."""

    async def check() -> None:
        store = MemoryStore()
        log = ConfigLog(store)
        pending = list(faults)
        store.next_fault = lambda: pending.pop() if pending else ""
        outcomes = {}
        for number in range(6):
            proposal = _proposal(_change(f"a{number}"), 0)
            outcomes[proposal.change_id] = await log.propose(proposal)
        records = (await log.history(100)).unwrap()
        logged_ids = [record.change_id for record in records]
        assert len(set(logged_ids)) == len(logged_ids)
        for change_id, outcome in outcomes.items():
            if isinstance(outcome, Ok):
                assert change_id in logged_ids
            elif outcome.err_value.ran is Ran.NO:
                assert change_id not in logged_ids

    _run(check)


def test_a_repeated_change_id_gives_the_first_record() -> None:
    """Proposing a change again with its id changes nothing, even after a compaction."""

    async def check() -> None:
        log = ConfigLog(MemoryStore())
        first = (await log.propose(_proposal(_change("first"), 0, "change-1"))).unwrap()
        for number in range(MAX_RECENT_CHANGES + 5):
            (await log.propose(_proposal(_change(f"a{number}"), number + 1))).unwrap()
        assert (await log.find("change-1")).unwrap() == first
        again = await log.propose(_proposal(_change("first"), 0, "change-1"))
        assert again.unwrap() == first

    _run(check)


def test_compaction_keeps_every_change() -> None:
    """Across several snapshots, a reader at any earlier version reaches the newest one."""

    async def check() -> None:
        store = MemoryStore()
        log = ConfigLog(store)
        known: list[Configuration] = [EMPTY_CONFIGURATION]
        total = 2 * MAX_RECENT_CHANGES + 7
        for number in range(total):
            (await log.propose(_proposal(_change(f"a{number}"), number))).unwrap()
            known.append(apply_change(known[-1], _change(f"a{number}")).unwrap())
        for earlier in known:
            assert (await log.read(earlier)).unwrap().configuration == known[-1]
        versions = [record.version for record in (await log.history(1000)).unwrap()]
        assert versions == list(range(total, 0, -1))

    _run(check)


def test_an_older_head_never_reverts() -> None:
    """A reader that is given an older head keeps the configuration that it knows."""

    async def check() -> None:
        store = MemoryStore()
        log = ConfigLog(store)
        (await log.propose(_proposal(_change("north"), 0))).unwrap()
        older = decode_config_head(store.entries_by_key[HEAD_KEY].value)
        (await log.propose(_proposal(_change("south"), 1))).unwrap()
        newest = (await log.read(EMPTY_CONFIGURATION)).unwrap().configuration
        assert replay_changes(newest, older) is newest

    _run(check)


@settings(derandomize=True, max_examples=200)
@given(st.data())
def test_a_damaged_head_raises_no_other_error(data: st.DataObject) -> None:
    """A truncated or altered head either decodes or raises `ConfigurationError`, nothing else."""
    value = encode_value(decode_config_head(b""))
    size = data.draw(st.integers(min_value=1, max_value=len(value)))
    damaged = bytearray(value[:size])
    damaged[data.draw(st.integers(min_value=0, max_value=size - 1))] ^= data.draw(
        st.integers(min_value=0, max_value=255)
    )
    try:
        replay_changes(EMPTY_CONFIGURATION, decode_config_head(bytes(damaged)))
    except ConfigurationError:
        pass


def test_a_damaged_snapshot_is_refused() -> None:
    """A snapshot that does not match the head's digest is an error, and is not used."""

    async def check() -> None:
        store = MemoryStore()
        log = ConfigLog(store)
        for number in range(MAX_RECENT_CHANGES + 1):
            (await log.propose(_proposal(_change(f"a{number}"), number))).unwrap()
        (key,) = [key for key in store.entries_by_key if key.startswith("config/snapshot/")]
        entry = store.entries_by_key[key]
        store._swap(key, entry.value[:-1] + b"\x00", entry.revision)
        read = await log.read(EMPTY_CONFIGURATION)
        assert isinstance(read, Err) and read.err_value.kind is ErrorKind.INTERNAL

    _run(check)


load_tests = load_functions(globals())
