"""An end-to-end demonstration, run by `scripts/demo`.

Three instances, a key-value service, an instance list, two model engines and a tool service run as
separate processes. The demo adds an account, routes, a profile and a key. Then it runs a program of
four turns that sends each request to another instance, pauses, calls a tool that must not run
twice, continues after its owner is killed between two turns, and reads back its history.
"""

import sys
import time

from standins.client import Client, Reply
from standins.fleet import MODEL, TOOL_SERVICE, Fleet, call, wait_until

TOOL_PAUSE_S = 0.5
PROFILE = "field"


class DemoError(Exception):
    """The demo did not give the expected result."""


def print_progress(text: str) -> None:
    """Print one line and flush it."""
    print(text, flush=True)


def configure(fleet: Fleet) -> str:
    """Add an account, two routes, a profile and a key; return the key."""
    fleet.operate("account", "add", "survey", "--rate=50", "--burst=100")
    fleet.operate("route", "add", MODEL, "--kind=model", f"--target={MODEL}", "--idempotent=true")
    tool = ("--kind=tool", f"--target={TOOL_SERVICE}", "--idempotent=false")
    fleet.operate("route", "add", "register", *tool)
    fleet.operate("profile", "add", PROFILE, "--accounts=survey", f"--routes={MODEL},register")
    return fleet.operate("key", "add", "survey")["key"]


def expect_ok(reply: Reply, what: str) -> Reply:
    """Return a successful reply; raise `DemoError` for any other."""
    if reply.status != 200:
        raise DemoError(f"{what}: {reply.status} {reply.body.decode(errors='replace')}")
    return reply


def owner_of(fleet: Fleet, program_id: str) -> str:
    """Return the id of the instance that owns a program."""
    for handle in fleet.instances_by_id.values():
        if not handle.process.is_running():
            continue
        status, body = call("GET", handle.operator, f"/v1/owner/{program_id}")
        if status == 200:
            return body.decode().strip().strip('"')
    raise DemoError(f"no instance knows the owner of {program_id}")


def run_program(fleet: Fleet, key: str) -> None:
    """Run the program and check its answers, the tool's runs and the history."""
    client = Client([handle.listen for handle in fleet.instances_by_id.values()], key)
    program_id = client.create_program(PROFILE)
    print_progress(f"program {program_id}")
    first = expect_ok(
        client.chat(program_id, 1, "Convert point 17 to the current frame."), "turn 1"
    )
    print_progress(f"turn 1 (model): {first.text()}")
    time.sleep(TOOL_PAUSE_S)
    body = {"point": 17, "frame": "current"}
    second = expect_ok(client.tool(program_id, 2, "register", body, key="register-17"), "turn 2")
    print_progress(f"turn 2 (tool): {second.body.decode()}")
    kill_owner(fleet, program_id)
    survivors = [h.listen for h in fleet.instances_by_id.values() if h.process.is_running()]
    client = Client(survivors, key, timeout_s=30.0)
    repeat = client.tool(program_id, 2, "register", body, key="register-17")
    expect_ok(repeat, "turn 2 again")
    print_progress(
        f"turn 2 again, after the kill: {repeat.body.decode()} (recorded, not run again)"
    )
    third = expect_ok(client.chat(program_id, 3, "Which neighbours does it touch?"), "turn 3")
    print_progress(f"turn 3 (model): {third.text()}")
    fourth = expect_ok(client.chat(program_id, 4, "Summarise."), "turn 4")
    print_progress(f"turn 4 (model): {fourth.text()}")
    check_results(fleet, client, program_id, [first, third, fourth])


def kill_owner(fleet: Fleet, program_id: str) -> None:
    """Kill the program's owner and wait until another instance owns the program."""
    owner = owner_of(fleet, program_id)
    fleet.instances_by_id[owner].process.kill()
    print_progress(f"killed {owner}, the owner of the program")
    wait_until(lambda: owner_of(fleet, program_id) != owner, "a new owner", 30.0)
    print_progress(f"taken over by {owner_of(fleet, program_id)}")


def check_results(fleet: Fleet, client: Client, program_id: str, streamed: list[Reply]) -> None:
    """Check the answers, the tool's runs and the history, then end the program."""
    if not all(reply.is_whole() for reply in streamed):
        raise DemoError("a streamed answer is incomplete")
    runs = [logged for logged in fleet.upstream_log("tool-1") if logged["path"] != "/_log"]
    if len(runs) != 1:
        raise DemoError(f"the tool ran {len(runs)} times")
    turns = client.history(program_id)
    if len(turns) != 4:
        raise DemoError(f"the history has {len(turns)} turns")
    print_progress("history:")
    for turn in turns:
        print_progress(f"  {turn}")
    expect_ok(client.end(program_id), "end")


def main() -> int:
    """Run the demo and return the exit status."""
    started = time.monotonic()
    with Fleet.start(instances=3, engines=2, tools=1) as fleet:
        print_progress(f"fleet ready after {time.monotonic() - started:.1f} s")
        run_program(fleet, configure(fleet))
        for instance_id, handle in fleet.instances_by_id.items():
            if handle.process.is_running():
                status = fleet.stop_instance(instance_id)
                print_progress(f"{instance_id} stopped gracefully, exit status {status}")
                if status != 0:
                    raise DemoError(f"{instance_id} ended with {status}")
    print_progress(f"done in {time.monotonic() - started:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
