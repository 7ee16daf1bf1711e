"""Copies of turns while disks are lost, come back empty, are added and leave."""

import random
from dataclasses import replace

from lagoonfold.histories import CopyRule, CopyTracker, Disk, lacks_copy, rank_disks
from tests._suite import load_functions
from tests.histories.test_disks import make_disks

RULE = CopyRule.for_losses(machines=1, domains=0)
ROUNDS_TO_REPAIR = 3  # offer, copy, and once more after a change in between
UNTIL_S = 100.0
LATER_S = 200.0  # until when a turn is kept that has been renewed


def _program_on(first: str, second: str, disks: list[Disk]) -> str:
    """Return a program whose first two disks are these."""
    for number in range(1_000):
        ranked = rank_disks(f"program-{number}", disks)
        if [disk.name for disk in ranked[:2]] == [first, second]:
            return f"program-{number}"
    raise AssertionError("no program uses these disks first")


def test_turn_is_offered_until_its_disk_has_said_that_it_holds_it() -> None:
    """A turn that both disks hold is settled and not offered again."""
    disks = make_disks("abc")
    tracker = CopyTracker("s-a-1", RULE)
    tracker.set_disks(disks, lost=())
    tracker.add("t1", _program_on("s-a-1", "s-b-1", disks), kept_until_s=UNTIL_S)
    assert tracker.wanted() == {"s-b-1": ["t1"]} and tracker.short() == ["t1"]
    tracker.record_held("disk-b-1", {"t1": UNTIL_S, "unknown": UNTIL_S})
    assert tracker.wanted() == {} and tracker.short() == []


def test_turns_of_a_lost_disk_are_copied_elsewhere_and_back() -> None:
    """While a disk is silent the next one is used; empty again under a new id, it gets all."""
    disks = make_disks("abc")
    tracker = CopyTracker("s-a-1", RULE)
    tracker.set_disks(disks, lost=())
    tracker.add("t1", _program_on("s-a-1", "s-b-1", disks), kept_until_s=UNTIL_S)
    tracker.record_held("disk-b-1", {"t1": UNTIL_S})
    assert tracker.wanted() == {}
    assert tracker.set_disks(disks, lost={"s-b-1"})
    assert tracker.wanted() == {"s-c-1": ["t1"]} and tracker.short() == ["t1"]
    tracker.record_held("disk-c-1", {"t1": UNTIL_S})
    assert tracker.wanted() == {} and tracker.short() == []
    emptied = [replace(disk, disk_id="new") if disk.name == "s-b-1" else disk for disk in disks]
    assert tracker.set_disks(emptied, lost=())
    assert tracker.wanted() == {"s-b-1": ["t1"]} and tracker.short() == []
    assert not tracker.set_disks(emptied, lost=())


def test_leaving_disk_is_empty_only_with_all_copies_elsewhere() -> None:
    """Its own copy no longer counts, and neither does one on another leaving disk."""
    disks = make_disks("abc")
    tracker = CopyTracker("s-a-1", RULE)
    leaving = [replace(disk, is_leaving=disk.name == "s-a-1") for disk in disks]
    tracker.set_disks(leaving, lost=())
    tracker.add("t1", "p1", kept_until_s=UNTIL_S)
    assert tracker.wanted().keys() == {"s-b-1", "s-c-1"}
    tracker.record_held("disk-b-1", {"t1": UNTIL_S})
    assert tracker.short() == ["t1"]
    tracker.record_held("disk-c-1", {"t1": UNTIL_S})
    assert tracker.short() == []
    both = [replace(disk, is_leaving=disk.name != "s-c-1") for disk in disks]
    tracker.set_disks(both, lost=())
    assert tracker.short() == ["t1"]


def test_copy_that_has_missed_a_renewal_is_no_copy() -> None:
    """The disk was away while the turn was renewed; nobody copied it again (LOST, review/8)."""
    disks = make_disks("abc")
    tracker = CopyTracker("s-a-1", RULE)
    tracker.set_disks(disks, lost=())
    program = _program_on("s-a-1", "s-b-1", disks)
    tracker.add("t1", program, kept_until_s=UNTIL_S)
    tracker.record_held("disk-b-1", {"t1": UNTIL_S})
    assert tracker.wanted() == {}
    tracker.add("t1", program, kept_until_s=LATER_S)
    assert tracker.wanted() == {"s-b-1": ["t1"]} and tracker.short() == ["t1"]
    tracker.record_held("disk-b-1", {"t1": LATER_S})
    assert tracker.wanted() == {} and tracker.short() == []


def test_turns_with_fewest_copies_are_copied_first() -> None:
    """A turn on this disk alone goes before one that another disk holds already."""
    disks = make_disks("abcd")
    rule = CopyRule.for_losses(machines=2, domains=0)
    tracker = CopyTracker("s-a-1", rule)
    tracker.set_disks(disks, lost=())
    for key in ("t1", "t2", "t3"):
        tracker.add(key, "p1", kept_until_s=UNTIL_S)
    targets = [disk for disk in rank_disks("p1", disks)[:3] if disk.name != "s-a-1"]
    tracker.record_held(targets[0].disk_id, {"t1": UNTIL_S, "t3": UNTIL_S})
    assert tracker.wanted()[targets[1].name][0] == "t2"


class _Cluster:
    """Disks that hold keys in memory, each with its tracker; messages arrive at once.

    Each turn of a disk has its program and until when that disk keeps it.
    """

    def __init__(self, rule: CopyRule, disks: list[Disk]) -> None:
        self.rule = rule
        self.disk_by_name = {disk.name: disk for disk in disks}
        self.held_by_name: dict[str, dict[str, tuple[str, float]]] = {
            disk.name: {} for disk in disks
        }
        self.tracker_by_name = {disk.name: CopyTracker(disk.name, rule) for disk in disks}
        self.down: set[str] = set()
        self.copies = 0

    def keep(self, key: str, program: str, until_s: float) -> bool:
        """Write or renew a turn as a gateway does; return whether it has enough copies."""
        usable = [disk for disk in self.disk_by_name.values() if disk.name not in self.down]
        chosen = rank_disks(program, [disk for disk in usable if not disk.is_leaving])
        chosen = chosen[: self.rule.copies]
        for disk in chosen:
            self.put(disk.name, key, program, until_s)
        return self.rule.is_met_by(chosen)

    def put(self, name: str, key: str, program: str, until_s: float) -> None:
        until_s = max(until_s, self.until_s(name, key))
        self.held_by_name[name][key] = program, until_s
        self.tracker_by_name[name].add(key, program, kept_until_s=until_s)

    def until_s(self, name: str, key: str) -> float:
        return self.held_by_name[name].get(key, ("", 0.0))[1]

    def wipe(self, name: str, number: int) -> None:
        disk = replace(self.disk_by_name[name], disk_id=f"{name}-wiped-{number}")
        self.disk_by_name[name] = disk
        self.held_by_name[name] = {}
        self.tracker_by_name[name] = CopyTracker(name, self.rule)

    def repair(self) -> None:
        """Let each disk that is up offer and copy once."""
        for name, tracker in self.tracker_by_name.items():
            if name in self.down:
                continue
            tracker.set_disks(self.disk_by_name.values(), lost=self.down)
            for target, keys in tracker.wanted().items():
                offered = tracker.kept_until_s(keys)
                for key, until_s in offered.items():
                    if lacks_copy(self.until_s(target, key), until_s):
                        self.put(target, key, *self.held_by_name[name][key])
                        self.copies += 1
                tracker.record_held(self.disk_by_name[target].disk_id, offered)

    def holders(self, key: str, until_s: float) -> list[str]:
        """Return the disks that keep a turn until then at least."""
        return [name for name in self.held_by_name if self.until_s(name, key) >= until_s]


class _Play:
    """Loses, stops, starts and retires disks at random, never more at once than allowed."""

    def __init__(self, seed: int, losses: int, disks: list[Disk]) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.losses = losses
        self.cluster = _Cluster(CopyRule.for_losses(machines=losses, domains=0), disks)
        self.kept_until_s_by_key: dict[str, float] = {}
        self.program_by_key: dict[str, str] = {}

    def run(self) -> None:
        for step in range(60):
            self.keep_some(step)
            events = (self.wipe_some, self.stop_one, self.start_all, self.retire_one, self.rest)
            self.rng.choices(events, (25, 25, 20, 10, 20))[0](step)
            self.repair()
            self.check(step)
        self.check_that_copies_end()

    def keep_some(self, step: int) -> None:
        new = {f"{step}-{n}": f"p{self.rng.randrange(12)}" for n in range(self.rng.randrange(4))}
        known = sorted(self.program_by_key)
        renewed = self.rng.sample(known, min(len(known), self.rng.randrange(3)))
        until_s = UNTIL_S * (step + 1)
        for key, program in [*new.items(), *((key, self.program_by_key[key]) for key in renewed)]:
            if self.cluster.keep(key, program, until_s):
                self.kept_until_s_by_key[key] = until_s
                self.program_by_key[key] = program

    def up(self) -> list[str]:
        return [name for name in self.cluster.disk_by_name if name not in self.cluster.down]

    def wipe_some(self, step: int) -> None:
        up = self.up()
        for name in self.rng.sample(up, min(len(up), self.losses - len(self.cluster.down))):
            self.cluster.wipe(name, step)

    def stop_one(self, step: int) -> None:
        if len(self.cluster.down) < self.losses:
            self.cluster.down.add(self.rng.choice(self.up()))

    def start_all(self, step: int) -> None:
        self.cluster.down.clear()

    def retire_one(self, step: int) -> None:
        cluster, up = self.cluster, self.up()
        if cluster.down or len(up) <= cluster.rule.copies + 1:
            return
        name = self.rng.choice(up)
        cluster.disk_by_name[name] = replace(cluster.disk_by_name[name], is_leaving=True)
        self.repair()
        assert cluster.tracker_by_name[name].short() == [], (self.seed, step)
        for table in (cluster.disk_by_name, cluster.held_by_name, cluster.tracker_by_name):
            del table[name]

    def rest(self, step: int) -> None:
        pass

    def repair(self) -> None:
        for _ in range(ROUNDS_TO_REPAIR):
            self.cluster.repair()

    def check(self, step: int) -> None:
        cluster = self.cluster
        usable = len(cluster.disk_by_name) - len(cluster.down)
        for key, until_s in self.kept_until_s_by_key.items():
            holders = [name for name in cluster.holders(key, until_s) if name not in cluster.down]
            where = (self.seed, step, key, holders)
            assert len(holders) >= min(cluster.rule.copies, usable), where
            assert len(holders) > self.losses - len(cluster.down), where

    def check_that_copies_end(self) -> None:
        self.cluster.down.clear()
        self.repair()
        settled = self.cluster.copies
        self.cluster.repair()
        assert self.cluster.copies == settled, "copies go on though nothing changes"


def test_no_turn_is_lost_while_disks_are_lost_and_replaced_at_random() -> None:
    """After each repair every kept turn has its copies on disks that are up."""
    for seed in range(60):
        _Play(seed, 1, make_disks("abc", 2)).run()
        _Play(seed, 2, make_disks("abc", 3)).run()


load_tests = load_functions(globals())
