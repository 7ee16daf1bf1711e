"""Tests of the client of the platform's store against its stand-in."""

from collections.abc import Awaitable, Callable

import trio
from store_standin import StoreStandIn

from lagoonfold import Check, Put, StoreErrorKind
from lagoonfold_platform.retirement import RETIREMENT
from lagoonfold_platform.store import PlatformStore
from tests._suite import load_functions


def _with_store(check: Callable[[StoreStandIn, PlatformStore], Awaitable[None]]) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            standin = StoreStandIn()
            await nursery.start(standin.serve)
            await check(standin, PlatformStore(standin.address))
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_listing_has_all_pages() -> None:
    """The entries of all pages are returned, with the revision of the first page."""

    async def check(standin: StoreStandIn, store: PlatformStore) -> None:
        for name in "abcde":
            standin.put(f"x/{name}", name.encode())
        standin.put("y/other", b"")
        listing = (await store.read_all("x/")).unwrap()
        assert [entry.value for entry in listing.entries] == [b"a", b"b", b"c", b"d", b"e"]
        assert listing.revision == standin.revision

    _with_store(check)


def test_poll_returns_changes_and_removals() -> None:
    """A poll returns changes in order, and none after its wait if there are none."""

    async def check(standin: StoreStandIn, store: PlatformStore) -> None:
        start = standin.revision
        standin.put("x/a", b"1")
        standin.remove("x/a")
        changes = (await store.poll("x/", after_revision=start, wait_s=5, timeout_s=5)).unwrap()
        assert [event.entry.revision for event in changes.events] == [start + 1, 0]
        assert changes.events[1].revision == start + 2
        none = (
            await store.poll("x/", after_revision=standin.revision, wait_s=0.05, timeout_s=5)
        ).unwrap()
        assert none.events == ()

    _with_store(check)


def test_statuses_map_to_error_kinds() -> None:
    """Each error status of the store gives the kind that says whether a write may have happened."""

    async def check(standin: StoreStandIn, store: PlatformStore) -> None:
        standin.oldest_revision = 100
        lost = await store.poll("x/", after_revision=5, wait_s=1, timeout_s=5)
        assert lost.err_value.kind is StoreErrorKind.HISTORY_LOST
        kinds = {
            503: StoreErrorKind.UNAVAILABLE,
            429: StoreErrorKind.THROTTLED,
            403: StoreErrorKind.REFUSED,
            500: StoreErrorKind.LOST_ANSWER,
        }
        for status, kind in kinds.items():
            standin.next_statuses.append(status)
            assert (await store.read_all("x/")).err_value.kind is kind
        assert (await store.renew_lease(5)).err_value.kind is StoreErrorKind.LEASE_EXPIRED
        assert (await store.renew_lease(77)).is_ok()
        unreachable = PlatformStore("127.0.0.1:1")
        assert (await unreachable.read_all("x/")).err_value.kind is StoreErrorKind.UNAVAILABLE

    _with_store(check)


def test_commit_writes_all_or_returns_the_conflicting_entries() -> None:
    """A failed check returns the current entries of the checked keys."""

    async def check(standin: StoreStandIn, store: PlatformStore) -> None:
        puts = (Put(key="x/a", value=b"1"), Put(key="x/b", value=b"2"))
        first = (await store.commit(checks=(Check(key="x/a", revision=0),), puts=puts)).unwrap()
        assert first.revision == standin.revision
        again = (await store.commit(checks=(Check(key="x/a", revision=0),), puts=puts)).unwrap()
        assert again.revision is None
        (entry,) = again.conflicting
        assert (entry.key, entry.value) == ("x/a", b"1") and entry.revision > 0

    _with_store(check)


def test_commit_with_a_lost_answer_may_have_taken_effect() -> None:
    """The write takes effect, and the error says that it may have."""

    async def check(standin: StoreStandIn, store: PlatformStore) -> None:
        standin.answers_to_cut = 1
        lost = await store.commit(puts=(Put(key="x/a", value=b"1"),))
        assert lost.err_value.kind is StoreErrorKind.LOST_ANSWER
        assert standin.value("x/a") == b"1"

    _with_store(check)


def test_retirement_is_answered_in_the_platform_s_words() -> None:
    """The states and keys are those of the platform's pages; `gateway.test_retirement` has more."""
    assert RETIREMENT.request_prefix + "storage-1" == "op/retire/storage-1"
    assert RETIREMENT.answer_prefix + "storage-1" == "status/retire/storage-1"
    assert RETIREMENT.encode_state(True) == b'{"State":"complete"}'
    assert RETIREMENT.encode_state(False) == b'{"State":"in_progress"}'


load_tests = load_functions(globals())
