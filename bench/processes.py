"""The policies through the real processes, to check the ranking that the model of engines gives.

    python -m bench.processes --order=first-come --replica=round-robin --seed=1

runs a mixed workload (short queries beside long conversions, each a chain of dependent calls)
through three instances and two engine stand-ins, and prints program latency per kind and account as
one JSON document. Callers come back when a refusal names a time.

    python -m bench.processes --fault=kill --fault_at=10

kills one instance under that load; `--fault=outage --fault_s=60` takes the key-value service away,
`--fault=silence` lets it take connections and answer nothing, and `--fault=slow-store` makes every
answer 1.5 s late. The calls answered and refused in each five seconds are printed as well.
"""

import json
import time
from functools import partial

import fire
import trio

from bench._open_loop import draw_arrivals
from bench._program_load import ACCOUNTS, PROFILE, Run
from bench.load import commit_id
from lagoonfold.scheduling import (
    DEFAULT_ADMISSION_POLICY,
    DEFAULT_CHOOSER,
    DEFAULT_QUEUE_DISCIPLINE,
)
from standins.fleet import MODEL, Fleet

STORE_DELAY_S = 1.5
ENGINE_FLAGS = ("--slots=4", "--interval=0.01", "--prefill=4000", "--cache=40000")


SLOWDOWN = 10.0


def _no_fault(fleet: Fleet, seconds: float) -> None:
    """Leave the fleet as it is."""


def _kill_instance(fleet: Fleet, seconds: float) -> None:
    fleet.instances_by_id["i2"].process.kill()


def _break_store(fleet: Fleet, seconds: float, **faults: object) -> None:
    fleet.inject_store(**faults)
    time.sleep(seconds)
    fleet.inject_store()


def _slow_engine(fleet: Fleet, seconds: float) -> None:
    fleet.inject("engine-1", slow=SLOWDOWN)


FAULTS_BY_NAME = {
    "none": _no_fault,
    "kill": _kill_instance,
    "outage": partial(_break_store, outage="refuse"),
    "silence": partial(_break_store, outage="silent"),
    "slow-store": partial(_break_store, delay_s=STORE_DELAY_S),
    "slow": _slow_engine,
}


def configure(fleet: Fleet, *, idempotent: bool) -> dict[str, str]:
    """Add the accounts, the route, a profile and keys; return the keys by account."""
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
        listens = [handle.listen for handle in fleet.instances_by_id.values()]
        run = Run(listens, keys_by_account, seed)
        arrivals = draw_arrivals(rate, seconds, seed)
        trio.run(run.run, arrivals, partial(FAULTS_BY_NAME[fault], fleet, fault_s), fault_at)
        calls = [_completions_run(fleet, name) for name in ("engine-1", "engine-2")]
    policies = {"order": order, "replica": replica, "admission": admission}
    load = {"rate": rate, "seconds": seconds, "seed": seed, "lease_s": lease, "fault": fault}
    load["idempotent"] = idempotent
    result = {"commit": commit_id(), "policies": policies, "load": load, **run.summary()}
    print(json.dumps({**result, "calls_by_engine": calls}, indent=1))


def _completions_run(fleet: Fleet, upstream_id: str) -> int:
    """Return how many completions an engine ran."""
    seen = fleet.upstream_log(upstream_id)
    return sum(1 for request in seen if request["path"] == "/v1/chat/completions")


if __name__ == "__main__":
    fire.Fire(main)
