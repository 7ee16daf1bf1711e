"""Measures the scheduling policies on real processes to check their ranking in `bench.policy`.

    python -m bench.processes --order=first-come --replica=round-robin --seed=1

Runs a mixed workload of short and long programs, each a chain of dependent calls, through three
instances and two engine stand-ins. Prints one JSON document: program latency in ms by kind and
account, failures, refusals, the calls answered and refused in each five seconds, and the
completions of each engine. Callers retry if a refusal names a time.

    python -m bench.processes --fault=kill --fault_at=10

Kills one instance under that load. `--fault=outage --fault_s=60` makes the key-value store refuse
all calls, `--fault=silence` makes it accept connections without answering, and
`--fault=slow-store` delays every answer by 1.5 s.
"""

import json
import time
from functools import partial

import fire
import trio

from bench._open_loop import draw_arrivals
from bench._program_load import ACCOUNTS, PROFILE, ProgramLoad
from bench.load import commit_id
from lagoonfold.scheduling import (
    DEFAULT_ADMISSION_POLICY,
    DEFAULT_CHOOSER,
    DEFAULT_QUEUE_DISCIPLINE,
)
from standins.fleet import MODEL, Fleet

STORE_DELAY_S = 1.5
ENGINE_FLAGS = ("--slots=4", "--interval=0.01", "--prefill=4000", "--cache=40000")


SLOW_ENGINE_FACTOR = 10.0


def _no_fault(fleet: Fleet, seconds: float) -> None:
    """Inject no fault."""


def _kill_instance(fleet: Fleet, seconds: float) -> None:
    fleet.instances_by_id["i2"].process.kill()


def _inject_store_faults(fleet: Fleet, seconds: float, **faults: object) -> None:
    fleet.inject_store(**faults)
    time.sleep(seconds)
    fleet.inject_store()


def _slow_engine(fleet: Fleet, seconds: float) -> None:
    fleet.inject("engine-1", slow=SLOW_ENGINE_FACTOR)


FAULTS_BY_NAME = {
    "none": _no_fault,
    "kill": _kill_instance,
    "outage": partial(_inject_store_faults, outage="refuse"),
    "silence": partial(_inject_store_faults, outage="silent"),
    "slow-store": partial(_inject_store_faults, delay_s=STORE_DELAY_S),
    "slow": _slow_engine,
}


def configure(fleet: Fleet, *, idempotent: bool) -> dict[str, str]:
    """Add the accounts, a route, a profile and keys; return the keys by account."""
    for account in ACCOUNTS:
        fleet.operate("account", "add", account, "--rate=200", "--burst=400")
    fleet.operate("route", "add", MODEL, "--kind=model", f"--target={MODEL}",
                  f"--idempotent={str(idempotent).lower()}")  # fmt: skip
    names = f"--accounts={','.join(ACCOUNTS)}"
    fleet.operate("profile", "add", PROFILE, names, f"--routes={MODEL}", "--max-wait=30")
    return {account: fleet.operate("key", "add", account)["key"] for account in ACCOUNTS}


def main(
    order: str = DEFAULT_QUEUE_DISCIPLINE,
    replica: str = DEFAULT_CHOOSER,
    admission: str = DEFAULT_ADMISSION_POLICY,
    rate: float = 3.0,
    seconds: float = 30.0,
    seed: int = 1,
    fault: str = "none",
    fault_at: float = 10.0,
    fault_s: float = 60.0,
    lease: float = 3.0,
    idempotent: bool = False,
) -> None:
    """Run one workload under the named policies; `rate` is in programs a second.

    `fault` is `none`, `kill` (one instance), `outage`, `silence` or `slow-store` (of the key-value
    service, `fault_s` long) or `slow` (one of the two engines). Calls of `idempotent` routes can be
    moved off a slow engine.
    """
    settings = f"\n[scheduling]\norder = {order}\nreplica = {replica}\nadmission = {admission}\n"
    with Fleet.start(
        instances=3, engines=2, lease_s=lease, engine_flags=ENGINE_FLAGS, extra_settings=settings
    ) as fleet:
        keys_by_account = configure(fleet, idempotent=idempotent)
        addresses = [handle.listen for handle in fleet.instances_by_id.values()]
        run = ProgramLoad(addresses, keys_by_account, seed)
        arrivals = draw_arrivals(rate, seconds, seed)
        trio.run(run.run, arrivals, partial(FAULTS_BY_NAME[fault], fleet, fault_s), fault_at)
        calls = [_count_completions(fleet, name) for name in ("engine-1", "engine-2")]
    policies = {"order": order, "replica": replica, "admission": admission}
    load = {"rate": rate, "seconds": seconds, "seed": seed, "lease_s": lease, "fault": fault}
    load["idempotent"] = idempotent
    result = {"commit": commit_id(), "policies": policies, "load": load, **run.summary()}
    print(json.dumps({**result, "calls_by_engine": calls}, indent=1))


def _count_completions(fleet: Fleet, upstream_id: str) -> int:
    """Return the number of completions that an engine ran."""
    requests = fleet.upstream_log(upstream_id)
    return sum(1 for request in requests if request["path"] == "/v1/chat/completions")


if __name__ == "__main__":
    fire.Fire(main)
