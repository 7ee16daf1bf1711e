"""Two tenants use the same id of a program; writes what each gets to standard output."""

import asyncio
import importlib.util
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import Deployment, Message, Record, Replica, new_id, send, stream_events

SPEC = importlib.util.spec_from_file_location(
    "case_13", Path(__file__).resolve().parent.parent / "13/case.py"
)
CASE_13 = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(CASE_13)
TENANTS = [
    {"Name": name, "ApiKeys": [f"key-of-{name}"], "RatePerS": 100, "Burst": 100}
    for name in ("t1", "t2")
]


async def run(replica: Replica, request: Message, writer: asyncio.StreamWriter) -> None:
    await stream_events(request, writer, CASE_13.EVENTS, 0.005)


async def turn(
    deployment: Deployment, tenant: str, program: str, budget: int, number: int
) -> int | None:
    headers = [
        ("Host", "a.example"),
        ("Attempt-Id", new_id()),
        ("Key", f"key-of-{tenant}"),
        ("Deadline-Ms", "3000"),
        ("Program-Id", program),
        ("Session-Id", "s1"),
        ("Program-Deadline-Ms", "60000"),
        ("Token-Budget", str(budget)),
        ("Token-Count", f"500,{CASE_13.MOST_OF_A_TURN}"),
        ("Prompt-Prefix", f"5c1e07a2:400,{program}:100"),
        ("Model", "m"),
    ]
    gateway = deployment.gateways[number % CASE_13.GATEWAYS]
    answer = await send(gateway.address, "POST", "/draft/1", headers, b"prompt", timeout_s=5.0)
    return answer.status


async def main() -> None:
    deployment = Deployment(Record(Path(__file__).resolve().parent))
    await deployment.store.start()
    for _ in range(3):
        replica = Replica(deployment.store, "models", "zone-a", run, slots=8)
        await replica.start()
        deployment.replicas.append(replica)
    try:
        config = CASE_13.config(7, 60.0) | {"Tenants": TENANTS}
        await deployment.start(config, CASE_13.GATEWAYS)
        await asyncio.sleep(6.0)
        for program, first, second in (("3fa81c", 6000, 600), ("3fa81d", 600, 6000)):
            for tenant, budget in (("t1", first), ("t2", second)):
                got = [await turn(deployment, tenant, program, budget, each) for each in range(3)]
                sys.stdout.write(f"program {program}, {tenant}, budget {budget}: {got}\n")
    finally:
        await deployment.close()


asyncio.run(main())
