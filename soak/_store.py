"""The store stand-in of the platform's tests, with leases that end."""

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path

import trio

from lagoonfold_io import HttpRequest

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "platform"))

from store_standin import StoreStandIn

MS_PER_S = 1_000
EXPIRY_CHECK_S = 0.1


@dataclass(slots=True)
class LeasingStore(StoreStandIn):
    """A store whose leases end, with their keys, when they are not renewed."""

    ends_s_by_lease: dict[int, float] = field(default_factory=dict)
    ttl_ms_by_lease: dict[int, int] = field(default_factory=dict)

    async def expire_leases(self) -> None:
        """End leases that are over until cancelled."""
        while True:
            await trio.sleep(EXPIRY_CHECK_S)
            now_s = trio.current_time()
            for lease in [key for key, ends_s in self.ends_s_by_lease.items() if ends_s < now_s]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.ends_s_by_lease.pop(lease, None)
        items = list(self.item_by_key.values())
        for key in [item["Key"] for item in items if item["LeaseId"] == lease]:
            self.remove(key)

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self.ends_s_by_lease:
            return 404, {}
        ttl_ms = self.ttl_ms_by_lease[lease]
        self.ends_s_by_lease[lease] = trio.current_time() + ttl_ms / MS_PER_S
        return 200, {"LeaseId": lease, "TtlMs": ttl_ms}

    async def _answer(self, request: HttpRequest) -> tuple[int, dict]:
        name, _, number = request.path.removeprefix("/lagoonfold/").partition("/")
        if name == "kv-lease":
            lease = len(self.ttl_ms_by_lease) + 1
            self.ttl_ms_by_lease[lease] = json.loads(request.body)["TtlMs"]
            self.ends_s_by_lease[lease] = trio.current_time()
            return self._renew(lease)
        if name == "kv-keep":
            return self._renew(int(number))
        if name == "kv-lease-end":
            self._end_lease(int(number))
            return 200, {}
        if name == "kv-txn":
            leases = {put.get("LeaseId", 0) for put in json.loads(request.body)["Put"]}
            if leases - {0} - self.ends_s_by_lease.keys():
                return 404, {}
        return await StoreStandIn._answer(self, request)
