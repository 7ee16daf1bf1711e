"""The retention of programs is raised while programs run; one that was stopped comes back."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_3 import (
    Deployment,
    Message,
    Replica,
    new_id,
    run_case,
    send,
    stream_events,
)

GATEWAYS = 3
PROGRAMS = 12
KEY = "key-of-t1"
OLD_S, NEW_S = 10.0, 60.0  # `RetentionS` before and after
APPLY_S = 2.0  # `ConfigApplyMs`
PAUSE_S = 25.0  # until a program comes back: within the retention in force
TOKENS_PER_EVENT = 12
EVENTS = 24
MOST_OF_A_TURN = TOKENS_PER_EVENT * EVENTS
BUDGET = 600  # holds two turns
MAX_TURNS = 6  # of a program at a time, if nothing stops it


def config(version: int, retention_s: float) -> dict:
    return {
        "Version": version,
        "Routes": [
            {
                "Name": "draft",
                "Host": "a.example",
                "PathPrefix": "/draft/",
                "RouteType": "stream",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 250,
                "Priority": 1,
                "Service": "models",
                "MaxAttempts": 1,
                "RetainContext": False,
                "RetentionS": retention_s,
                "AuthExempt": False,
                "SessionAffinity": True,
                "AllowResume": True,
                "GapTargetMs": 150,
            }
        ],
        "Services": [
            {
                "Name": "models",
                "MaxConns": 130,
                "Engine": {"TokensPerEvent": TOKENS_PER_EVENT, "KvCapacityTokens": 130176},
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "t1", "ApiKeys": [KEY], "RatePerS": 100, "Burst": 100}],
    }


async def case(deployment: Deployment, has_trouble: bool) -> bool:
    record, store = deployment.record, deployment.store

    async def run(replica: Replica, request: Message, writer: asyncio.StreamWriter) -> None:
        await stream_events(request, writer, EVENTS, 0.01)

    for number in range(5):
        replica = Replica(store, "models", "zone-" + "abc"[number % 3], run, slots=8)
        await replica.start()
        deployment.replicas.append(replica)
    await deployment.start(config(7, OLD_S if has_trouble else NEW_S), GATEWAYS)
    await asyncio.sleep(6.0)  # traffic starts some seconds after the machines do
    handed = dict.fromkeys((f"{number:06x}" for number in range(1, PROGRAMS + 1)), 0)

    async def turn(program: str, number: int) -> int | None:
        gateway = deployment.gateways[(int(program, 16) + number) % GATEWAYS]
        headers = [
            ("Host", "a.example"),
            ("Attempt-Id", new_id()),
            ("Key", KEY),
            ("Deadline-Ms", "3000"),
            ("Program-Id", program),
            ("Session-Id", f"s{program}"),
            ("Program-Deadline-Ms", "60000"),
            ("Token-Budget", str(BUDGET)),
            ("Token-Count", f"500,{MOST_OF_A_TURN}"),
            ("Prompt-Prefix", f"5c1e07a2:400,{program}:100"),
            ("Model", "m"),
        ]
        answer = await send(gateway.address, "POST", "/draft/1", headers, b"prompt", timeout_s=5.0)
        tokens = answer.body.count(b"\nid: ") + answer.body.startswith(b"id: ")
        handed[program] += TOKENS_PER_EVENT * tokens
        record.note(
            f"program {program} at {gateway.name}: {answer.status},"
            f" {TOKENS_PER_EVENT * tokens} tokens, {handed[program]} in all"
        )
        return answer.status

    async def loop(program: str) -> None:
        """Send turns until the budget is spent, as a program that loops does."""
        for number in range(MAX_TURNS):
            status = await turn(program, number)
            if status == 402:
                return
            if status != 200:
                await asyncio.sleep(0.3)

    async def loop_all() -> None:
        await asyncio.gather(*(loop(program) for program in handed))

    await loop_all()
    if has_trouble:
        store.put("op/config", json.dumps(config(9, NEW_S)).encode())
        record.note(f"version 9 is acknowledged: RetentionS is {NEW_S}")
    await asyncio.sleep(APPLY_S + 1.0)
    await loop_all()
    record.note(f"the programs pause for {PAUSE_S} s, of a retention of {NEW_S} s")
    await asyncio.sleep(PAUSE_S)
    await loop_all()
    most = BUDGET + MOST_OF_A_TURN
    over = [program for program, tokens in handed.items() if tokens > most]
    record.note(f"{len(over)} of {PROGRAMS} programs were handed more than {most} tokens")
    return not over


if __name__ == "__main__":
    sys.exit(run_case(__file__, case, limit_s=100.0))
