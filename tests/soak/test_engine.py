"""The engine of the soak's replicas is slow and short of memory as replicas are."""

from soak._engine import TokenClaim, TokenMemory, pace_at, read_claim
from tests._suite import load_functions


def test_newest_requests_beyond_the_memory_are_preempted() -> None:
    """Shared parts count once, and the end of an older request makes room."""
    memory = TokenMemory(1_000)
    for run_id in (1, 2, 3):
        memory.claim_by_run[run_id] = TokenClaim({"p": 500}, 200)
    assert memory.preempted() == {3}
    del memory.claim_by_run[1]
    assert memory.preempted() == set()


def test_claim_is_read_from_the_header_fields() -> None:
    """The parts of the prompt are not counted twice; absent fields claim nothing."""
    assert read_claim("654,72", "a:512,b:100") == TokenClaim({"a": 512, "b": 100}, 114)
    assert read_claim("", "") == TokenClaim({}, 0)


def test_pace_is_correlated_and_comes_from_the_seed() -> None:
    """Noise without correlation could not be learned from, nor a run be repeated."""
    paces = [pace_at(1, "r", n * 0.03) for n in range(200)]
    assert paces == [pace_at(1, "r", n * 0.03) for n in range(200)]
    assert max(abs(b - a) for a, b in zip(paces, paces[1:], strict=False)) < 0.2
    assert max(paces) - min(paces) > 0.2
    assert pace_at(2, "r", 0.0) != paces[0]


load_tests = load_functions(globals())
