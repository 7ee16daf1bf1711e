"""Tests of the key-value adapter against the stand-in of the service."""

import trio
import trio.testing
from result import Err

from lagoonfold import ABSENT_REVISION, Listing, StoreErrorKind
from lagoonfold_io import CallRateLimiter, EtcdStore, HttpClient, HttpRequest
from tests._suite import load_functions
from tests.platform._kv import KvFixture, run_with_kv


def test_write_requires_the_expected_revision() -> None:
    """A write that expects an old revision is a conflict and changes nothing."""

    async def check(kv: KvFixture) -> None:
        first = (await kv.store.put_if("a", b"1", expected_revision=ABSENT_REVISION)).unwrap()
        (await kv.store.put_if("a", b"2", expected_revision=first)).unwrap()
        late = await kv.store.put_if("a", b"3", expected_revision=first)
        assert isinstance(late, Err) and late.err_value.kind is StoreErrorKind.CONFLICT
        assert (await kv.store.get("a")).unwrap().value == b"2"

    run_with_kv(check)


def test_read_if_changed() -> None:
    """A known revision gives None; after a change or a deletion the current entry is returned."""

    async def check(kv: KvFixture) -> None:
        first = (await kv.store.put_if("a", b"1", expected_revision=0)).unwrap()
        assert (await kv.store.get_if_changed("a", first)).unwrap() is None
        second = (await kv.store.put_if("a", b"2", expected_revision=first)).unwrap()
        changed = (await kv.store.get_if_changed("a", first)).unwrap()
        assert (changed.value, changed.revision) == (b"2", second)
        (await kv.store.delete_if("a", expected_revision=second)).unwrap()
        assert (await kv.store.get_if_changed("a", second)).unwrap().revision == 0

    run_with_kv(check)


def test_list_if_changed() -> None:
    """A known listing gives None; a written, deleted or replaced key gives a new listing."""

    async def check(kv: KvFixture) -> None:
        (await kv.store.put_if("p/1", b"1", expected_revision=0)).unwrap()
        known = (await kv.store.list("p/")).unwrap()
        (await kv.store.put_if("q/1", b"beside", expected_revision=0)).unwrap()
        assert (await kv.store.list_if_changed("p/", known)).unwrap() is None
        (await kv.store.put_if("p/2", b"2", expected_revision=0)).unwrap()
        known = await _changed(kv, known, ["p/1", "p/2"])
        (await kv.store.delete_range("p/1", "p/2")).unwrap()
        known = await _changed(kv, known, ["p/2"])
        (await kv.store.delete_range("p/2", "p/3")).unwrap()
        (await kv.store.put_if("p/3", b"3", expected_revision=0)).unwrap()
        known = await _changed(kv, known, ["p/3"])
        (await kv.store.delete_range("p/3", "p/4")).unwrap()
        known = await _changed(kv, known, [])
        assert (await kv.store.list_if_changed("p/", known)).unwrap() is None

    run_with_kv(check)


async def _changed(kv: KvFixture, known: Listing, keys: list[str]) -> Listing:
    listing = (await kv.store.list_if_changed("p/", known)).unwrap()
    assert listing is not None and [entry.key for entry in listing.entries] == keys
    return listing


def test_list_and_delete_range() -> None:
    """A listing has only the keys of its prefix; deleting a range keeps the range's end."""

    async def check(kv: KvFixture) -> None:
        for key in ("p/1", "p/2", "p/3", "q/1"):
            (await kv.store.put_if(key, key.encode(), expected_revision=0)).unwrap()
        (await kv.store.delete_range("p/1", "p/3")).unwrap()
        listing = (await kv.store.list("p/")).unwrap()
        assert [entry.key for entry in listing.entries] == ["p/3"]

    run_with_kv(check)


def test_lost_answer_is_distinguished_from_an_unreachable_service() -> None:
    """A write with a dropped answer may have taken effect; one to a refused port has not."""

    async def check(kv: KvFixture) -> None:
        kv.set_faults(drop_answer=1.0)
        lost = await kv.store.put_if("a", b"1", expected_revision=0)
        assert isinstance(lost, Err) and lost.err_value.kind is StoreErrorKind.LOST_ANSWER
        kv.set_faults()
        assert (await kv.store.get("a")).unwrap().value == b"1"
        unreachable = EtcdStore(HttpClient(), "127.0.0.1:1", calls_per_s=10)
        failed = await unreachable.put_if("a", b"2", expected_revision=0)
        assert isinstance(failed, Err) and failed.err_value.kind is StoreErrorKind.UNAVAILABLE

    run_with_kv(check)


def test_expired_lease_deletes_its_keys() -> None:
    """Without renewal, a key under a lease is deleted and a late renewal fails."""

    async def check(kv: KvFixture) -> None:
        lease = (await kv.store.grant_lease(1.0)).unwrap()
        (await kv.store.put_if("i/1", b"x", expected_revision=0, lease_id=lease.lease_id)).unwrap()
        assert (await kv.store.renew_lease(lease.lease_id)).unwrap() == lease.ttl_s
        with trio.fail_after(10):
            while (await kv.store.get("i/1")).unwrap().revision != ABSENT_REVISION:
                await trio.sleep(0.05)
        late = await kv.store.renew_lease(lease.lease_id)
        assert isinstance(late, Err) and late.err_value.kind is StoreErrorKind.LEASE_EXPIRED

    run_with_kv(check)


def test_watch_yields_changes_from_a_revision() -> None:
    """A watch yields earlier and later changes in order, including deletions."""

    async def check(kv: KvFixture) -> None:
        first = (await kv.store.put_if("w/1", b"a", expected_revision=0)).unwrap()
        async with kv.store.watch("w/", from_revision=first) as events:
            (await kv.store.delete_if("w/1", expected_revision=first)).unwrap()
            seen = [await anext(events), await anext(events)]
        assert [event.entry.value for event in seen] == [b"a", b""]
        assert seen[1].entry.revision == ABSENT_REVISION

    run_with_kv(check)


def test_watch_ends_in_an_outage() -> None:
    """An outage ends the iteration; without that, a watcher would wait forever."""

    async def check(kv: KvFixture) -> None:
        async with kv.store.watch("w/", from_revision=1) as events:
            (await kv.store.put_if("w/1", b"a", expected_revision=0)).unwrap()
            await anext(events)
            await kv.service.handle(_faults_request(b'{"outage": "silent"}'), _DiscardingExchange())
            with trio.fail_after(10):
                assert [event async for event in events] == []

    run_with_kv(check)


def test_call_rate_is_limited() -> None:
    """Calls beyond the rate wait or are refused; urgent calls are neither."""

    async def run() -> None:
        clock_start_s = trio.current_time()
        rate = CallRateLimiter(10.0, max_wait_s=1.0)
        admitted = [await rate.acquire("range") for _ in range(15)]
        elapsed_s = trio.current_time() - clock_start_s
        assert all(admitted) and elapsed_s >= 0.49
        for _ in range(30):
            assert await rate.acquire("keepalive", urgent=True)
        assert not await rate.acquire("range")
        assert rate.counts_by_operation == {"range": 15, "keepalive": 30, "throttled": 1}

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


class _DiscardingExchange:
    """An exchange that drops every response."""

    async def respond(self, response: object) -> None:
        """Drop the response."""


def _faults_request(body: bytes) -> HttpRequest:
    return HttpRequest(method="POST", path="/_faults", body=body)


load_tests = load_functions(globals())
