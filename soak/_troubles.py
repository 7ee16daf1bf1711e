"""Troubles of gateways, replicas and the configuration while streams run."""

import random
import signal
from collections.abc import Callable

import trio

from soak._gateways import Instance
from soak._world import World
from soak.run_checks import Freeze

GAP_S = (1.5, 5.0)  # between the beginnings of two troubles, which may overlap
FREEZE_S = (0.2, 2.5)
DOWN_S = (0.3, 2.0)
DRAIN_S = 3.5
NEW_REPLICAS = 2
KINDS = ("term", "kill", "freeze", "hup", "herd", "series", "crash", "config")


async def run_troubles(world: World, seconds: float) -> None:
    """Begin troubles, drawn from the seed, until the time is over; then wait for their ends."""
    rng = random.Random(f"{world.seed}/troubles")
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_release, world, seconds)
            while True:
                await trio.sleep(rng.uniform(*GAP_S))
                kind = rng.choice(KINDS)
                world.note(f"trouble {kind}")
                nursery.start_soon(_TROUBLES[kind], world, random.Random(rng.random()))


async def _restart(world: World, gateway: Instance, number: int, rng: random.Random) -> None:
    if gateway.name in world.stopping:
        return
    world.stopping.add(gateway.name)
    try:
        world.note(f"signal {number} to {gateway.name}")
        gateway.signal(number)
        await gateway.wait_ended()
        await trio.sleep(rng.uniform(*DOWN_S) if number == signal.SIGKILL else 0.1)
        gateway.start()
        world.note(f"started {gateway.name}")
        await gateway.wait_ready()
    finally:
        world.stopping.discard(gateway.name)


async def _term(world: World, rng: random.Random) -> None:
    await _restart(world, rng.choice(world.gateways), signal.SIGTERM, rng)


async def _kill(world: World, rng: random.Random) -> None:
    await _restart(world, rng.choice(world.gateways), signal.SIGKILL, rng)


async def _series(world: World, rng: random.Random) -> None:
    for gateway in rng.sample(world.gateways, len(world.gateways)):
        await _restart(world, gateway, rng.choice((signal.SIGTERM, signal.SIGKILL)), rng)


async def _herd(world: World, rng: random.Random) -> None:
    async with trio.open_nursery() as nursery:
        for gateway in rng.sample(world.gateways, len(world.gateways) - 1):
            nursery.start_soon(_restart, world, gateway, signal.SIGKILL, rng)


async def _freeze(world: World, rng: random.Random) -> None:
    gateway = rng.choice(world.gateways)
    gateway.signal(signal.SIGSTOP)
    freeze = Freeze(gateway.name, trio.current_time())
    world.freezes.append(freeze)
    world.note(f"freeze {gateway.name}")
    try:
        await trio.sleep(rng.uniform(*FREEZE_S))
    finally:
        gateway.signal(signal.SIGCONT)
        freeze.ended_s = trio.current_time()
        world.note(f"thaw {gateway.name}")


async def _hup(world: World, rng: random.Random) -> None:
    gateway = rng.choice(world.gateways)
    if gateway.name not in world.stopping:
        gateway.signal(signal.SIGHUP)


async def _crash(world: World, rng: random.Random) -> None:
    """Crash a replica; it starts again under its id."""
    replica = rng.choice(world.replicas)
    replica.scope.cancel()
    await trio.sleep(rng.uniform(*DOWN_S))
    world.begin_replica(replica.replica_id, replica.service, replica.zone, replica.version)


async def _config(world: World, rng: random.Random) -> None:
    world.operate(timeout_ms=rng.choice((2_000, 3_000)), rate_per_s=rng.choice((8.0, 20.0, 40.0)))


async def _release(world: World, seconds: float) -> None:
    """Start replicas of two new versions in turn, and drain one of the oldest each time."""
    for version in ("v2", "v3"):
        await trio.sleep(seconds / 4)
        for service in world.services:
            for number in range(NEW_REPLICAS):
                name = f"i-{service}-{version}-{number}"
                world.begin_replica(name, service, f"zone-{'ab'[number % 2]}", version)
                world.note(f"release {name}")
                await trio.sleep(0.5)
        oldest = world.replicas[0]
        oldest.state = "draining"
        await trio.sleep(DRAIN_S)
        oldest.remove_entry()
        oldest.scope.cancel()


_TROUBLES: dict[str, Callable] = {
    "term": _term,
    "kill": _kill,
    "freeze": _freeze,
    "hup": _hup,
    "herd": _herd,
    "series": _series,
    "crash": _crash,
    "config": _config,
}
