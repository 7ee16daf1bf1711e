"""Tests with a suspended committer, which writes the journal entries of its failure domain."""

from lagoonfold import rendezvous_weight
from standins.fleet import Fleet, call
from tests._suite import load_functions
from tests.failure._world import LEASE_S, REGISTER, Environment, new_marker, retry

DOMAIN = "domain-a"


def _entries_sent(env: Environment, instance_id: str, reason: str) -> float:
    """Return how many journal entries an instance has sent for a reason, from its metrics."""
    address = env.fleet.instances_by_id[instance_id].operator
    text = call("GET", address, "/metrics")[1].decode()
    name = f'lagoonfold_journal_entries_sent_total{{reason="{reason}"}} '
    return sum(float(line[len(name) :]) for line in text.splitlines() if line.startswith(name))


def _program_not_owned_by(env: Environment, committer: str) -> tuple[str, str]:
    """Create programs until the committer doesn't own one; return its id and its owner."""
    while True:
        program_id, owner = env.create_program()
        if owner != committer:
            return program_id, owner


def _make_turn(env: Environment, program_id: str, instance_id: str, turn: int) -> str:
    """Make a turn through an instance; return its marker."""
    marker = new_marker()
    client = env.client(instance_id)
    reply = retry(lambda: client.tool(program_id, turn, REGISTER, {"m": marker}, key=marker))
    assert reply.status == 200, reply.body
    return marker


def test_suspended_committer() -> None:
    """Turns of other owners go on and run once, even if late copies of their entries arrive."""
    options = {"failure_domains": (DOMAIN,), "commit_scope": "failure-domain"}
    with Fleet.start(engines=1, lease_s=LEASE_S, **options) as fleet:
        env = Environment(fleet)
        fleet.start_tool("service-1", "lookup")
        env.configure()
        committer = max(fleet.instances_by_id, key=lambda name: rendezvous_weight(DOMAIN, name))
        program_id, owner = _program_not_owned_by(env, committer)
        markers = [_make_turn(env, program_id, owner, 1)]
        assert _entries_sent(env, owner, "committer") > 0
        fleet.instances_by_id[committer].process.freeze()
        markers.append(_make_turn(env, program_id, owner, 2))
        assert _entries_sent(env, owner, "committer-lost") > 0
        fleet.instances_by_id[committer].process.thaw()
        fleet.wait_ready(committer)
        markers.append(_make_turn(env, program_id, owner, 3))
        fleet.instances_by_id[owner].process.kill()
        env.wait_taken_over(program_id, owner)
        assert [env.runs(marker) for marker in markers] == [1, 1, 1]
        turns = env.client(*env.others(owner)).history(program_id)
        assert [turn["request"]["m"] for turn in turns] == markers


load_tests = load_functions(globals())
