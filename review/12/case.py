"""A request that crashes replicas comes again while the gateways are restarted one by one."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import (
    Deployment,
    Gateway,
    Message,
    Record,
    Replica,
    answer_whole,
    new_id,
    run_case,
    send,
)

GATEWAYS = 6  # of the site: 6 `front`
REPLICAS = 5
CONTACT_S = 3.0  # `ContactMs`
BACK_S = 2.5  # "the replica is back after some seconds"
MAX_RETRIES = 3
CRASHES_BEFORE_COUNTED = 3
POISON = b"poison"
KEY = "key-of-t1"
CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "lookup",
            "Host": "a.example",
            "PathPrefix": "/lookup/",
            "RouteType": "idempotent",
            "TimeoutMs": 1200,
            "TargetLatencyMs": 80,
            "Priority": 2,
            "Service": "desk",
            "MaxAttempts": 2,
            "AuthExempt": False,
        }
    ],
    "Services": [{"Name": "desk", "MaxConns": 96}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "t1", "ApiKeys": [KEY], "RatePerS": 50, "Burst": 50}],
}


class PoisonCaller:
    """Sends the request that crashes replicas, and counts the retries that the rule limits."""

    def __init__(self, deployment: Deployment) -> None:
        self._record, self._store = deployment.record, deployment.store
        self._tasks: set[asyncio.Task] = set()
        self._reached_by_attempt: Counter[str] = Counter()
        self.crash_s: list[float] = []
        self.counted: list[str] = []

    async def run(self, replica: Replica, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request at a replica."""
        if request.body != POISON:
            await asyncio.sleep(0.01)
            writer.write(answer_whole(request, b"whole"))
            return
        attempt = request.header("attempt-id") or ""
        self.crash_s.append(time.monotonic())
        self._reached_by_attempt[attempt] += 1
        self._record.note(f"crash {len(self.crash_s)}: {replica.replica_id} by attempt {attempt}")
        replica.crash()
        self._tasks.add(asyncio.create_task(self._come_back(replica)))

    async def _come_back(self, replica: Replica) -> None:
        old_id = replica.replica_id
        await asyncio.sleep(BACK_S)
        self._store.remove(f"servers/{old_id}")
        await replica.start()
        self._record.note(f"replica {old_id} is back as {replica.replica_id}")

    async def send(self, gateway: Gateway, body: bytes = POISON) -> None:
        """Make one client attempt at a gateway."""
        attempt_id = new_id()
        headers = [("Host", "a.example"), ("Attempt-Id", attempt_id), ("Key", KEY)]
        headers.append(("Deadline-Ms", "1200"))
        sent_s = time.monotonic()
        answer = await send(gateway.address, "POST", "/lookup/1", headers, body, timeout_s=3.0)
        reached = self._reached_by_attempt[attempt_id]
        what = "the request that crashes" if body == POISON else "an ordinary request"
        self._record.note(
            f"{what}, attempt {attempt_id} at {gateway.name}: answered {answer.status},"
            f" crashed {reached} replicas"
        )
        is_in_touch = sent_s - gateway.started_s > CONTACT_S
        if reached and is_in_touch and self._is_late(sent_s):
            self.counted.append(attempt_id)

    def _is_late(self, sent_s: float) -> bool:
        """Return whether a request was sent later than `ContactMs` after the third crash."""
        crashes = self.crash_s[:CRASHES_BEFORE_COUNTED]
        return len(crashes) == CRASHES_BEFORE_COUNTED and sent_s > crashes[-1] + CONTACT_S


async def restart(gateway: Gateway, record: Record) -> None:
    record.note(f"SIGTERM to {gateway.name}")
    await gateway.stop()
    gateway.fields["Bootstrap"] = False
    await gateway.start()
    await gateway.wait_ready()
    record.note(f"{gateway.name} is ready again")


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    record, caller = deployment.record, PoisonCaller(deployment)
    for number in range(REPLICAS):
        zone = "zone-" + "abc"[number % 3]
        replica = Replica(deployment.store, "desk", zone, caller.run, slots=6)
        await replica.start()
        deployment.replicas.append(replica)
    await deployment.start(CONFIG, GATEWAYS)
    await asyncio.sleep(CONTACT_S + 0.5)
    for gateway in deployment.gateways:
        await caller.send(gateway, b"x")
    for _ in range(2):
        await caller.send(deployment.gateways[0])
        await asyncio.sleep(BACK_S + 1.0)
    for gateway in deployment.gateways:
        if has_trouble:
            await restart(gateway, record)
        await asyncio.sleep(CONTACT_S + 0.5)
        await caller.send(gateway)
        await asyncio.sleep(1.0)
    record.note(f"{len(caller.crash_s)} crashes")
    record.note(
        f"{len(caller.counted)} retries reached replicas later than ContactMs after crash"
        f" {CRASHES_BEFORE_COUNTED}; at most {MAX_RETRIES} may"
    )
    return len(caller.counted) <= MAX_RETRIES


if __name__ == "__main__":
    sys.exit(run_case(__file__, case, limit_s=115.0))
