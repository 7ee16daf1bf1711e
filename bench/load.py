"""Measures the latency that instances add to streamed calls and the processor time they use.

    python -m bench.load --rate=40 --seconds=8 --seed=1

Starts a fleet and sends the same open-loop load three times: directly to engine stand-ins, to the
instance that owns each program, and to a random instance. Prints one JSON document: percentiles of
each in ms, the differences to the direct load, streamed tokens and requests per second of the
instances' processor time, and their resident memory in MB.
"""

import json
import random
import subprocess
from dataclasses import dataclass

import fire
import trio

from bench._open_loop import Samples, draw_arrivals, run_open_loop
from bench._streams import chat_request, time_stream
from bench._usage import read_usage
from lagoonfold_io import HttpClient, HttpRequest
from standins.client import Client
from standins.demo import PROFILE
from standins.fleet import MODEL, Fleet, call

ACCOUNT = "survey"


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """The load of one run: `rate` requests a second, each answered with `tokens` tokens."""

    rate: float
    seconds: float
    seed: int
    tokens: int


def configure(fleet: Fleet) -> str:
    """Add an account with a very high rate limit, a route, a profile and a key; return the key."""
    fleet.operate("account", "add", ACCOUNT, "--rate=1000000", "--burst=1000000")
    fleet.operate("route", "add", MODEL, "--kind=model", f"--target={MODEL}", "--idempotent=true")
    fleet.operate("profile", "add", PROFILE, f"--accounts={ACCOUNT}", f"--routes={MODEL}")
    return fleet.operate("key", "add", ACCOUNT)["key"]


def create_programs(fleet: Fleet, key: str, count: int) -> list[tuple[str, str]]:
    """Create programs; return the id of each and its owner's address for callers."""
    handles = list(fleet.instances_by_id.values())
    client = Client([handle.listen for handle in handles], key)
    programs = []
    for _ in range(count):
        program_id = client.create_program(PROFILE)
        owner = json.loads(call("GET", handles[0].operator, f"/v1/owner/{program_id}")[1])
        programs.append((program_id, fleet.instances_by_id[owner].listen))
    return programs


def program_request(program_id: str, key: str, load: Load, number: int) -> HttpRequest:
    """Return the request for the first turn of a program."""
    headers = (
        ("authorization", f"Bearer {key}"),
        ("lagoonfold-program", program_id),
        ("lagoonfold-turn", "1"),
    )
    return chat_request(f"point {number}", load.tokens, headers)


async def measure(load: Load, targets: list[tuple[str, HttpRequest]]) -> Samples:
    """Send one request to each target, at the load's arrival times."""
    samples = Samples()
    client = HttpClient()
    arrivals = draw_arrivals(load.rate, load.seconds, load.seed)[: len(targets)]

    async def send(number: int, due_s: float) -> None:
        address, request = targets[number]
        await time_stream(client, address, request, due_s, samples)

    await run_open_loop(arrivals, send)
    client.close()
    return samples


def measure_instances(fleet: Fleet, load: Load, targets: list[tuple[str, HttpRequest]]) -> dict:
    """Send a load to instances; return its summary and the resources that they used."""
    pids = [handle.process.child.pid for handle in fleet.instances_by_id.values()]
    before = [read_usage(pid) for pid in pids]
    samples = trio.run(measure, load, targets)
    after = [read_usage(pid) for pid in pids]
    cpu_s = sum(end.cpu_s - start.cpu_s for start, end in zip(before, after, strict=True))
    return {
        **samples.summary(),
        "cpu_s": round(cpu_s, 2),
        "tokens_per_core_s": round(samples.tokens / cpu_s) if cpu_s else None,
        "requests_per_core_s": (
            round(samples.total_latency.get_total_count() / cpu_s, 1) if cpu_s else None
        ),
        "resident_mb": [round(usage.resident_bytes / 1e6, 1) for usage in after],
    }


def added_ms(relayed: dict, direct: dict) -> dict:
    """Return the differences between the percentiles in milliseconds."""
    return {
        field: {
            name: round(relayed[field][name] - direct[field][name], 3) for name in direct[field]
        }
        for field in ("whole_ms", "first_token_ms", "token_gap_ms")
    }


def commit_id() -> str:
    """Return the commit of the working tree."""
    command = ["git", "describe", "--always", "--dirty"]
    return subprocess.run(command, capture_output=True, text=True, check=False).stdout.strip()


def main(
    rate: float = 40.0,
    seconds: float = 8.0,
    seed: int = 1,
    tokens: int = 64,
    instances: int = 3,
    engines: int = 2,
    interval: float = 0.005,
) -> None:
    """Measure one load; `interval` is the engines' time between tokens in seconds."""
    load = Load(rate=rate, seconds=seconds, seed=seed, tokens=tokens)
    flags = (f"--interval={interval}", "--slots=512")
    with Fleet.start(instances=instances, engines=engines, engine_flags=flags) as fleet:
        key = configure(fleet)
        count = len(draw_arrivals(rate, seconds, seed))
        addresses = [e["address"] for e in fleet.entries_by_id.values() if e["role"] == "engine"]
        direct_targets = [
            (addresses[n % len(addresses)], chat_request(f"point {n}", tokens, ()))
            for n in range(count)
        ]
        direct = trio.run(measure, load, direct_targets).summary()
        at_owner = _measure_through_instances(fleet, key, load, count, None)
        rng = random.Random(seed)
        at_random = _measure_through_instances(fleet, key, load, count, rng)
    result = {
        "commit": commit_id(),
        "load": {"rate": rate, "seconds": seconds, "seed": seed, "tokens": tokens},
        "direct": direct,
        "at_owner": at_owner,
        "at_random": at_random,
        "added_at_owner_ms": added_ms(at_owner, direct),
        "added_at_random_ms": added_ms(at_random, direct),
    }
    print(json.dumps(result, indent=1))


def _measure_through_instances(
    fleet: Fleet, key: str, load: Load, count: int, rng: random.Random | None
) -> dict:
    """Measure the first turns of new programs at their owners, with `rng` at random instances."""
    addresses = [handle.listen for handle in fleet.instances_by_id.values()]
    targets = []
    for number, (program_id, owner) in enumerate(create_programs(fleet, key, count)):
        address = rng.choice(addresses) if rng else owner
        targets.append((address, program_request(program_id, key, load, number)))
    return measure_instances(fleet, load, targets)


if __name__ == "__main__":
    fire.Fire(main)
