"""Programs while the process that carries their failure domain's journal entries is suspended."""

from lagoonfold import rendezvous_weight
from standins.fleet import Fleet, call
from tests._suite import load_functions
from tests.failure._world import LEASE_S, REGISTER, World, mark, persist

DOMAIN = "domain-a"


def _sent(each: World, instance_id: str, reason: str) -> float:
    """Return how many journal entries an instance has sent in one way."""
    address = each.fleet.instances_by_id[instance_id].operator
    text = call("GET", address, "/metrics")[1].decode()
    name = f'lagoonfold_journal_entries_sent_total{{reason="{reason}"}} '
    return sum(float(line[len(name) :]) for line in text.splitlines() if line.startswith(name))


def _program_beside(each: World, committer: str) -> tuple[str, str]:
    """Create programs until one has another owner than the committer; return it with the owner."""
    while True:
        program_id, owner = each.owned_program()
        if owner != committer:
            return program_id, owner


def _make_turn(each: World, program_id: str, entry: str, turn: int) -> str:
    """Make a turn that enters at an instance; return its mark."""
    marked = mark()
    client = each.client(entry)
    reply = persist(lambda: client.tool(program_id, turn, REGISTER, {"m": marked}, key=marked))
    assert reply.status == 200, reply.body
    return marked


def test_suspended_committer() -> None:
    """Turns of other owners go on; each has run once, also when late copies have arrived."""
    options = {"failure_domains": (DOMAIN,), "commit_scope": "failure-domain"}
    with Fleet.start(engines=1, lease_s=LEASE_S, **options) as fleet:
        each = World(fleet)
        fleet.start_tool("service-1", "lookup")
        each.configure()
        committer = max(fleet.instances_by_id, key=lambda name: rendezvous_weight(DOMAIN, name))
        program_id, owner = _program_beside(each, committer)
        marks = [_make_turn(each, program_id, owner, 1)]
        assert _sent(each, owner, "committer") > 0
        fleet.instances_by_id[committer].process.freeze()
        marks.append(_make_turn(each, program_id, owner, 2))
        assert _sent(each, owner, "committer-lost") > 0
        fleet.instances_by_id[committer].process.thaw()
        fleet.wait_ready(committer)
        marks.append(_make_turn(each, program_id, owner, 3))
        fleet.instances_by_id[owner].process.kill()
        each.wait_taken_over(program_id, owner)
        assert [each.runs(marked) for marked in marks] == [1, 1, 1]
        turns = each.client(*each.others(owner)).history(program_id)
        assert [turn["request"]["m"] for turn in turns] == marks


load_tests = load_functions(globals())
