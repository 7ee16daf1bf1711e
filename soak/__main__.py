"""Runs the soak: `scripts/soak [--seed N] [--seconds S] [--gateways N] [--trouble SHARE]`.

Prints what callers got, and exits with 1 if any of it was wrong.
"""

import argparse
import random
import sys
from collections import Counter, defaultdict
from pathlib import Path

import trio

from soak._callers import Caller
from soak._checks import MOST_JOINED_VERSIONS, find_faults, find_joined_versions
from soak._cold_starts import run_cold_starts
from soak._evacuations import run_evacuations
from soak._flood import run_floods
from soak._records import Stream
from soak._troubles import run_troubles
from soak._world import World
from soak.run_checks import CHECK_BY_NAME

ROOT = Path(__file__).resolve().parents[1]
PROGRAMS_PER_S = 10.0
LAST_ANSWERS_S = 15.0
KIND_BY_FIRST_LETTER = {"s": "programs", "f": "floods", "c": "surges"}  # of streams' names


async def _run_callers(world: World, caller: Caller, seconds: float) -> None:
    with trio.move_on_after(seconds + LAST_ANSWERS_S):
        async with trio.open_nursery() as nursery:
            ends_s = trio.current_time() + seconds
            number = 0
            while trio.current_time() < ends_s:
                number += 1
                nursery.start_soon(caller.run_program, number)
                await trio.sleep(caller.rng.expovariate(PROGRAMS_PER_S))


async def run(options: argparse.Namespace) -> int:
    """Run everything; return the exit status."""
    options.out, options.code = options.out.resolve(), options.code.resolve()
    options.old_code = options.old_code.resolve() if options.old_code else None
    options.out.mkdir(parents=True, exist_ok=True)
    async with trio.open_nursery() as nursery:
        world = World(
            options.seed, options.code, options.out, nursery, options.trouble, options.old_code
        )
        caller = Caller(world.gateways, world.stopping, random.Random(f"{options.seed}/callers"))
        try:
            await world.start(options.gateways, options.old_gateways if options.old_code else 0)
            async with trio.open_nursery() as running:
                running.start_soon(run_troubles, world, options.seconds)
                running.start_soon(run_evacuations, world, options.seconds)
                running.start_soon(run_floods, caller, options.seed, options.seconds)
                running.start_soon(run_cold_starts, world, caller, options.seconds)
                running.start_soon(_run_callers, world, caller, options.seconds)
        finally:
            world.close()
        nursery.cancel_scope.cancel()
    return _report(world, caller.streams, options)


def _report(world: World, streams: list[Stream], options: argparse.Namespace) -> int:
    run_by_id = world.ledger.run_by_id
    wrong: Counter[str] = Counter()
    lines = list(world.notes)
    for stream in streams:
        if faults := find_faults(stream, run_by_id):
            wrong.update(faults.keys())
            lines += _describe(world, stream, faults)
    joined = {} if options.untimed else find_joined_versions(streams, run_by_id)
    for service, names in joined.items():
        wrong[f"two versions of {service}, at most {MOST_JOINED_VERSIONS}"] = len(names)
        by_name = {stream.name: stream for stream in streams}
        for name in names:
            lines += _describe(world, by_name[name], {"two versions": [service]})
    evidence = world.make_evidence(streams)
    for name, check in CHECK_BY_NAME.items():
        if options.untimed and check.is_timed:
            continue
        if faults := check.find(evidence):
            wrong[name] = len(faults)
            lines += [f"WRONG {name}: {fault}" for fault in faults]
    whole = sum(stream.is_whole for stream in streams)
    begun = sum(not stream.is_whole and bool(stream.pieces) for stream in streams)
    runs = Counter(stream_run.answer for stream_run in run_by_id.values())
    summary = (
        f"seed {options.seed}: {options.seconds:g} s, {len(streams)} streams, {whole} whole,"
        f" {begun} broken, {len(streams) - whole - begun} without an event; wrong: {dict(wrong)}"
    )
    errors = Counter(each.error[:60] for stream in streams for each in stream.tries)
    lines += [summary, *_count_statuses(streams), f"errors {dict(errors)}"]
    lines.append(f"runs {dict(runs)}")
    taken_up = [
        stream
        for stream in streams
        if len({each.gateway for each in stream.tries if each.pieces}) > 1
    ]
    lines.append(f"streams with events from several gateways: {len(taken_up)}")
    lines.append(f"stalls of the soak's own loop: {len(world.stalls)}")
    lines.append(f"preemptions: {world.ledger.preemptions}")
    lines.append(f"ends at a start: {sum(each.ends_at_start for each in world.gateways)}")
    (options.out / "record.txt").write_text("\n".join(lines) + "\n")
    print(summary)
    has_many = any(len(names) > MOST_JOINED_VERSIONS for names in joined.values())
    return 1 if has_many or any(not form.startswith("two versions") for form in wrong) else 0


def _count_statuses(streams: list[Stream]) -> list[str]:
    """Return the numbers of statuses for programs, floods and surges."""
    counts: defaultdict[str, Counter[int]] = defaultdict(Counter)
    for stream in streams:
        kind = KIND_BY_FIRST_LETTER[stream.name[0]]
        counts[kind].update(each.status for each in stream.tries)
    return [f"statuses of {kind}: {dict(count)}" for kind, count in counts.items()]


def _describe(world: World, stream: Stream, faults: dict[str, list[str]]) -> list[str]:
    """Return the record of a stream that is wrong."""
    lines = [f"WRONG {stream.name} on {stream.route}, {stream.total} events: {faults}"]
    for each in stream.tries:
        numbers = " ".join(f"{piece.number}/{piece.run_id}" for piece in each.pieces)
        lines.append(
            f"  {each.attempt} at {each.gateway} {each.sent_s - world.began_s:.3f} to"
            f" {each.ended_s - world.began_s:.3f}: {each.status}"
            f" {'complete' if each.is_complete else 'broken'}, {numbers} {each.error}"
        )
    runs = world.ledger.run_by_id.values()
    lines += [f"  {stream_run}" for stream_run in runs if stream_run.stream == stream.name]
    return lines


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--trouble", type=float, default=1.0)
    parser.add_argument(
        "--untimed",
        action="store_true",
        help="leave out the checks whose result depends on the machine's speed",
    )
    parser.add_argument("--code", type=Path, default=ROOT)
    parser.add_argument(
        "--old-code", type=Path, help="built clone of the previous build; checks leave it out"
    )
    parser.add_argument("--old-gateways", type=int, default=1, help="how many gateways run it")
    parser.add_argument("--out", type=Path, default=ROOT / "target" / "soak")
    return parser


def main() -> int:
    """Parse the command line, run, and return the exit status."""
    parser = make_parser()
    options = parser.parse_args()
    if not 0 <= options.old_gateways <= options.gateways:
        parser.error(f"--old-gateways is {options.old_gateways}, of {options.gateways} gateways")
    return trio.run(run, options)


if __name__ == "__main__":
    sys.exit(main())
