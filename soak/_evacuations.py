"""Evacuations of failure domains, and their removal, while streams run."""

import random

import trio

from soak._world import ZONES, World

GAP_S = (2.0, 5.0)  # between a removal and the next evacuation
HOLD_S = (7.0, 11.0)  # longer than the time after which no request may arrive
TWICE_SHARE = 0.3  # of evacuations that are requested a second time
BOTH_SHARE = 0.1  # of evacuations of all failure domains at once
EMPTY_SHARE = 0.3  # of those beside one of a failure domain without replicas, with a broken value
EMPTY_ZONE = "zone-c"


async def run_evacuations(world: World, seconds: float) -> None:
    """Evacuate failure domains, drawn from the seed, until the time is over."""
    rng = random.Random(f"{world.seed}/evacuations")
    with trio.move_on_after(seconds):
        while True:
            await trio.sleep(rng.uniform(*GAP_S))
            zones = ZONES if rng.random() < BOTH_SHARE else (rng.choice(ZONES),)
            await _evacuate(world, zones, rng)


async def _evacuate(world: World, zones: tuple[str, ...], rng: random.Random) -> None:
    hold_s = rng.uniform(*HOLD_S)
    if rng.random() < EMPTY_SHARE:
        world.evacuate(EMPTY_ZONE, b"{")
    for zone in zones:
        world.evacuate(zone)
    await trio.sleep(hold_s / 2)
    if rng.random() < TWICE_SHARE:
        world.evacuate(zones[0])
    await trio.sleep(hold_s / 2)
    for zone in (*zones, EMPTY_ZONE):
        world.restore(zone)
