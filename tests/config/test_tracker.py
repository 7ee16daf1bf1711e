"""Tests of how instances track the configuration and verify that it is current."""

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


class TrackerMachine(RuleBasedStateMachine):
    """Instances that read the store, ask each other with delays in both directions, and restart."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.configurations = [EMPTY_CONFIGURATION]
        self.accepted_at_s = [0.0]
        self.records: list[ChangeRecord] = []
        self.trackers_by_id = {name: ConfigTracker() for name in "abc"}
        self.highest_by_id = dict.fromkeys("abc", 0)
        self.served_by_id = dict.fromkeys("abc", 0)
        self.answers_in_transit: list[tuple[str, ConfigAnswer, float]] = []

    @rule(delay_s=_DELAYS_S)
    def wait(self, delay_s: float) -> None:
        """Let time pass."""
        self.now_s += delay_s

    @rule()
    def change(self) -> None:
        """Accept a change by an operator."""
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
        """Read the store; the answer is delayed and holds at most `kept` changes."""
        requested_at_s = self.now_s
        configuration = self.configurations[-1]
        recent = tuple(self.records[len(self.records) - min(kept, len(self.records)) :])
        self.now_s += delay_s
        self.trackers_by_id[name].update_from_store(configuration, recent, requested_at_s)

    @rule(name=_INSTANCES, peer=_INSTANCES, delay_s=_DELAYS_S)
    def ask(self, name: str, peer: str, delay_s: float) -> None:
        """Ask a peer; its answer is then in transit."""
        requested_at_s = self.now_s
        self.now_s += delay_s
        known = self.trackers_by_id[name].view().configuration.version
        answer = self.trackers_by_id[peer].answer_for(known, self.now_s)
        self.answers_in_transit.append((name, answer, requested_at_s))

    @rule(first=st.booleans())
    def arrive(self, first: bool) -> None:
        """Deliver the oldest or the newest answer in transit."""
        if self.answers_in_transit:
            name, answer, requested_at_s = self.answers_in_transit.pop(0 if first else -1)
            self.trackers_by_id[name].update_from_peer(answer, requested_at_s)

    @rule(name=_INSTANCES, newest=st.integers(min_value=1, max_value=3))
    def push(self, name: str, newest: int) -> None:
        """Deliver pushed changes, of which earlier ones may be missing."""
        self.trackers_by_id[name].apply_records(self.records[-newest:])

    @rule(name=_INSTANCES)
    def restart(self, name: str) -> None:
        """Restart an instance without its state; answers to its former process are dropped."""
        self.trackers_by_id[name] = ConfigTracker(started_at_s=self.now_s)
        self.highest_by_id[name] = 0
        self.answers_in_transit = [
            answer for answer in self.answers_in_transit if answer[0] != name
        ]

    @invariant()
    def served_versions_never_revert(self) -> None:
        """The version that an instance has verified never decreases, even across its restarts."""
        for name, tracker in self.trackers_by_id.items():
            view = tracker.view()
            if view.verified_at_s == NEVER_VERIFIED_S:
                continue
            assert view.configuration.version >= self.served_by_id[name]
            self.served_by_id[name] = view.configuration.version

    @invariant()
    def verified_views_are_current(self) -> None:
        """A view verified as of a time is at least as new as the version in force at that time."""
        for name, tracker in self.trackers_by_id.items():
            view = tracker.view()
            configuration: Configuration = view.configuration
            assert configuration == self.configurations[configuration.version]
            for version, accepted_at_s in enumerate(self.accepted_at_s):
                if accepted_at_s < view.verified_at_s:
                    assert configuration.version >= version
            assert configuration.version >= self.highest_by_id[name]
            self.highest_by_id[name] = configuration.version


def test_instances_verify_only_current_versions() -> None:
    """No order of reads, answers, pushes and restarts falsely verifies or reverts a version."""
    TrackerMachine.TestCase.settings = settings(
        derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
    )
    TrackerMachine.TestCase().runTest()


def test_a_peer_does_not_revert_a_restarted_instance() -> None:
    """A peer's verification from before a restart is ignored: the instance may have served more."""
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
def test_groups_partition_a_failure_domain(numbers: set[int]) -> None:
    """All instances of a group compute the same group, of at most `WATCHER_GROUP_SIZE`."""
    ids = {f"entry-{number:02}" for number in numbers}
    groups = {own_id: watcher_group(own_id, ids) for own_id in ids}
    assert all(own_id in group for own_id, group in groups.items())
    assert all(groups[peer] == group for group in groups.values() for peer in group)
    assert all(len(group) <= WATCHER_GROUP_SIZE for group in groups.values())
    assert len(set(groups.values())) == -(-len(ids) // WATCHER_GROUP_SIZE)


load_tests = load_functions(globals())
