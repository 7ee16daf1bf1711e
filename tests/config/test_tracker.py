"""Tests of what instances know of the configuration and vouch for."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonfold.config import (
    EMPTY_CONFIGURATION,
    NEVER_VERIFIED_S,
    WATCHER_GROUP_SIZE,
    Account,
    ChangeRecord,
    ConfigAnswer,
    ConfigTracker,
    Configuration,
    PutAccount,
    apply_change,
    watcher_group,
)
from tests._suite import load_functions

_INSTANCES = st.sampled_from(["a", "b", "c"])
_DELAYS_S = st.floats(min_value=0.0, max_value=4.0)


class VouchingMachine(RuleBasedStateMachine):
    """Instances ask the service and each other, with delays on every way; some restart."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.configurations = [EMPTY_CONFIGURATION]
        self.accepted_at_s = [0.0]
        self.records: list[ChangeRecord] = []
        self.trackers_by_id = {name: ConfigTracker() for name in "abc"}
        self.highest_by_id = dict.fromkeys("abc", 0)
        self.served_by_id = dict.fromkeys("abc", 0)
        self.answers_on_the_way: list[tuple[str, ConfigAnswer, float]] = []

    @rule(delay_s=_DELAYS_S)
    def wait(self, delay_s: float) -> None:
        """Let time pass."""
        self.now_s += delay_s

    @rule()
    def change(self) -> None:
        """An operator's change is accepted."""
        version = len(self.configurations)
        account = Account(account_id=f"a{version}", rate_per_s=1.0, burst=1)
        change = PutAccount(account=account, replaces=False)
        self.records.append(
            ChangeRecord(
                version=version,
                from_version=version - 1,
                change_id=str(version),
                changed_by="ada",
                changed_at_s=self.now_s,
                change=change,
            )
        )
        self.configurations.append(apply_change(self.configurations[-1], change).unwrap())
        self.accepted_at_s.append(self.now_s)

    @rule(name=_INSTANCES, delay_s=_DELAYS_S, kept=st.integers(min_value=0, max_value=4))
    def read(self, name: str, delay_s: float, kept: int) -> None:
        """An instance reads the service; the answer takes a while and holds few changes."""
        requested_at_s = self.now_s
        configuration = self.configurations[-1]
        recent = tuple(self.records[len(self.records) - min(kept, len(self.records)) :])
        self.now_s += delay_s
        self.trackers_by_id[name].update_from_store(configuration, recent, requested_at_s)

    @rule(name=_INSTANCES, peer=_INSTANCES, delay_s=_DELAYS_S)
    def ask(self, name: str, peer: str, delay_s: float) -> None:
        """An instance asks a peer; the answer is on the way from then on."""
        requested_at_s = self.now_s
        self.now_s += delay_s
        known = self.trackers_by_id[name].view().configuration.version
        answer = self.trackers_by_id[peer].answer_for(known, self.now_s)
        self.answers_on_the_way.append((name, answer, requested_at_s))

    @rule(first=st.booleans())
    def arrive(self, first: bool) -> None:
        """An answer arrives, also after later ones."""
        if self.answers_on_the_way:
            name, answer, requested_at_s = self.answers_on_the_way.pop(0 if first else -1)
            self.trackers_by_id[name].update_from_peer(answer, requested_at_s)

    @rule(name=_INSTANCES, newest=st.integers(min_value=1, max_value=3))
    def push(self, name: str, newest: int) -> None:
        """Pushed changes arrive, perhaps with a gap before them."""
        self.trackers_by_id[name].apply_records(self.records[-newest:])

    @rule(name=_INSTANCES)
    def restart(self, name: str) -> None:
        """An instance restarts and knows nothing; answers to its former run are dropped."""
        self.trackers_by_id[name] = ConfigTracker(started_at_s=self.now_s)
        self.highest_by_id[name] = 0
        self.answers_on_the_way = [way for way in self.answers_on_the_way if way[0] != name]

    @invariant()
    def served_versions_never_revert(self) -> None:
        """What an instance vouches for is never older than before, over its restarts too."""
        for name, tracker in self.trackers_by_id.items():
            view = tracker.view()
            if view.verified_at_s == NEVER_VERIFIED_S:
                continue
            assert view.configuration.version >= self.served_by_id[name]
            self.served_by_id[name] = view.configuration.version

    @invariant()
    def verified_views_are_current(self) -> None:
        """A view verified as of a moment is as new as what was in force at that moment."""
        for name, tracker in self.trackers_by_id.items():
            view = tracker.view()
            configuration: Configuration = view.configuration
            assert configuration == self.configurations[configuration.version]
            for version, accepted_at_s in enumerate(self.accepted_at_s):
                if accepted_at_s < view.verified_at_s:
                    assert configuration.version >= version
            assert configuration.version >= self.highest_by_id[name]
            self.highest_by_id[name] = configuration.version


def test_instances_never_vouch_for_what_is_not_current() -> None:
    """No order of reads, answers, pushes and restarts gives a false verification or a revert."""
    VouchingMachine.TestCase.settings = settings(
        derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
    )
    VouchingMachine.TestCase().runTest()


def test_a_restart_is_not_taken_back_by_a_peer() -> None:
    """A peer's knowledge from before a restart may be older than what was served then."""
    peer = ConfigTracker()
    peer.update_from_store(EMPTY_CONFIGURATION, (), 1.0)
    restarted = ConfigTracker(started_at_s=3.0)
    restarted.update_from_peer(peer.answer_for(0, 3.2), 3.1)
    assert restarted.view().verified_at_s == NEVER_VERIFIED_S
    peer.update_from_store(EMPTY_CONFIGURATION, (), 3.5)
    restarted.update_from_peer(peer.answer_for(0, 3.7), 3.6)
    assert not restarted.view().is_stale(3.7, 1.0)


@given(st.sets(st.integers(min_value=0, max_value=99), min_size=1, max_size=60))
@settings(derandomize=True)
def test_groups_divide_a_domain(numbers: set[int]) -> None:
    """Every instance is in one group, which all its members see alike, of bounded size."""
    ids = {f"entry-{number:02}" for number in numbers}
    groups = {own_id: watcher_group(own_id, ids) for own_id in ids}
    assert all(own_id in group for own_id, group in groups.items())
    assert all(groups[peer] == group for group in groups.values() for peer in group)
    assert all(len(group) <= WATCHER_GROUP_SIZE for group in groups.values())
    assert len(set(groups.values())) == -(-len(ids) // WATCHER_GROUP_SIZE)


load_tests = load_functions(globals())
