"""A running fleet that the tests of this package share, restored before each test.

Tests check what ran in the upstreams' own logs: `Environment.runs` counts the requests that
reached an upstream with a marker that only the test's own requests contain.
"""

import atexit
import itertools
import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins.client import Client, Reply
from standins.fleet import MODEL, Fleet, call, wait_until

RATE_PER_S = 200
REGISTER = "register"
SERVICE = "lookup"
PROFILE = "field"
LEASE_S = 2.0
NO_CACHE_EVENTS = ("--drop_every=1",)
TAKEOVER_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 40.0

_marker_numbers = itertools.count(1)


class Background:
    """A request in its own thread; `result` waits for its reply or raises its error."""

    def __init__(self, send: Callable[[], Reply]) -> None:
        self._reply: Reply | None = None
        self._error: Exception | None = None
        self._send = send
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        try:
            self._reply = self._send()
        except Exception as error:
            self._error = error

    def is_over(self) -> bool:
        """Return whether the request has ended."""
        return not self._thread.is_alive()

    def result(self, timeout_s: float = CALL_TIMEOUT_S) -> Reply:
        """Return the reply; raise the client's exception, such as for a closed connection."""
        self._thread.join(timeout_s)
        assert self.is_over(), "the request has not ended"
        if self._error is not None:
            raise self._error
        return self._reply


def retry(send: Callable[[], Reply]) -> Reply:
    """Send a request and, as callers do, repeat it while it is refused with a time to retry.

    It is repeated only if the refusal says that it has not run.
    """
    deadline = time.monotonic() + CALL_TIMEOUT_S
    while True:
        reply = send()
        is_final = reply.status not in (429, 503) or reply.json()["ran"] != "no"
        if is_final or "retry-after" not in reply.headers or time.monotonic() > deadline:
            return reply
        time.sleep(min(1.0, reply.json().get("retry_after_s") or 0.1))


@dataclass(slots=True)
class Environment:
    """The fleet, the account's key and shared helpers.

    `secrets` contains every granted key; no upstream may see one.
    """

    fleet: Fleet
    key: str = ""
    secrets: list[str] = field(default_factory=list)

    def configure(self) -> None:
        """Add the account, the routes, the profile and the key that most tests use."""
        fleet = self.fleet
        fleet.operate("account", "add", "survey", f"--rate={RATE_PER_S}", f"--burst={RATE_PER_S}")
        fleet.operate(
            "route", "add", MODEL, "--kind=model", f"--target={MODEL}", "--idempotent=true"
        )
        tool = ("--kind=tool", "--target=registry", "--idempotent=false", "--timeout=20")
        fleet.operate("route", "add", REGISTER, *tool)
        service = ("--kind=service", "--target=lookup", "--idempotent=true")
        fleet.operate("route", "add", SERVICE, *service)
        fleet.operate(
            "profile", "add", PROFILE, "--accounts=survey", f"--routes={MODEL},{REGISTER},{SERVICE}"
        )
        self.key = self.add_key("survey")

    def add_key(self, account: str) -> str:
        """Grant a key and wait until every instance accepts it."""
        key = self.fleet.operate("key", "add", account)["key"]
        self.secrets.append(key)
        for instance_id in self.running():
            client = self.client(instance_id, key=key)
            wait_until(
                lambda client=client: client.send("GET", "/v1/programs/none").status != 401,
                f"the key at {instance_id}",
            )
        return key

    def running(self) -> list[str]:
        """Return the ids of the instances whose processes are running."""
        handles = self.fleet.instances_by_id.values()
        return [handle.instance_id for handle in handles if handle.process.is_running()]

    def client(self, *instance_ids: str, key: str = "") -> Client:
        """Return a client of the named instances, or of all running instances."""
        ids = instance_ids or tuple(self.running())
        addresses = [self.fleet.instances_by_id[each].listen for each in ids]
        return Client(addresses, key or self.key, timeout_s=CALL_TIMEOUT_S)

    def owner_of(self, program_id: str, *, at_instance: str = "") -> str:
        """Return the owner of a program, or an empty string if no running instance knows one.

        With `at_instance`, only that instance is asked.
        """
        for instance_id in [at_instance] if at_instance else self.running():
            address = self.fleet.instances_by_id[instance_id].operator
            try:
                status, body = call("GET", address, f"/v1/owner/{program_id}", timeout_s=2.0)
            except OSError:
                continue
            if status == 200:
                return body.decode().strip().strip('"')
        return ""

    def create_program(self) -> tuple[str, str]:
        """Create a program; return its id and the instance that owns it."""
        client = self.client()
        body = {"profile": PROFILE}
        reply = retry(lambda: client.send("POST", "/v1/programs", body))
        assert reply.status == 201, reply.body
        program_id = reply.json()["program_id"]
        wait_until(lambda: self.owner_of(program_id) != "", f"an owner of {program_id}")
        return program_id, self.owner_of(program_id)

    def others(self, owner: str) -> list[str]:
        """Return the ids of the running instances except the given one."""
        return [each for each in self.running() if each != owner]

    def wait_taken_over(self, program_id: str, former: str) -> str:
        """Wait until another instance owns a program and serves it; return that instance."""
        others = self.others(former)
        client = self.client(*others)

        def is_answered() -> bool:
            owner = self.owner_of(program_id, at_instance=others[0])
            return owner not in ("", former) and (
                client.send("GET", f"/v1/programs/{program_id}").status == 200
            )

        wait_until(is_answered, f"{program_id} taken over from {former}", TAKEOVER_TIMEOUT_S)
        return self.owner_of(program_id, at_instance=others[0])

    def seen(self, upstream_id: str, marker: str) -> list[dict]:
        """Return the requests that an upstream received with the marker in their body."""
        return [each for each in self.fleet.upstream_log(upstream_id) if marker in each["body"]]

    def runs(self, marker: str) -> int:
        """Return how many requests with the marker reached any running upstream."""
        return sum(len(self.seen(each, marker)) for each in self.live_upstreams())

    def live_upstreams(self) -> list[str]:
        """Return the ids of the upstreams whose processes are running."""
        upstreams = self.fleet.upstreams_by_id.items()
        return [upstream_id for upstream_id, process in upstreams if process.is_running()]

    def restore(self) -> None:
        """Remove all faults, restart ended processes and wait until every instance is ready."""
        fleet = self.fleet
        fleet.inject_store()
        for upstream_id, process in list(fleet.upstreams_by_id.items()):
            if not process.is_running():
                self._start_upstream(upstream_id)
            else:
                process.thaw()
                fleet.inject(upstream_id)
            fleet.entries_by_id[upstream_id]["leaving"] = False
        for instance_id, handle in fleet.instances_by_id.items():
            if not handle.process.is_running():
                fleet.start_instance(instance_id)
            else:
                handle.process.thaw()
        fleet.publish_list()
        for instance_id in fleet.instances_by_id:
            fleet.wait_ready(instance_id)
            wait_until(
                lambda name=instance_id: self.listed_at(name) == self.listed(),
                f"the instance list at {instance_id}",
            )

    def listed(self) -> set[tuple[str, str, bool]]:
        """Return the id, address and leaving flag of each published upstream."""
        entries = (self.fleet.entries_by_id[each] for each in self.fleet.upstreams_by_id)
        return {(entry["instance_id"], entry["address"], entry["leaving"]) for entry in entries}

    def listed_at(self, instance_id: str) -> set[tuple[str, str, bool]]:
        """Return the id, address and leaving flag of each upstream that an instance knows."""
        address = self.fleet.instances_by_id[instance_id].operator
        listed = json.loads(call("GET", address, "/v1/status")[1])["upstreams"]
        return {(entry["id"], entry["address"], entry["leaving"]) for entry in listed}

    def _start_upstream(self, upstream_id: str) -> None:
        entry = self.fleet.entries_by_id[upstream_id]
        if entry["role"] == "engine":
            self.fleet.start_engine(upstream_id)
        else:
            self.fleet.start_tool(upstream_id, entry["service"])


_shared: list[Environment] = []


def world() -> Environment:
    """Return the shared environment, restored; start it at its first use."""
    if not _shared:
        fleet = Fleet.start(
            instances=3, engines=3, tools=1, lease_s=LEASE_S, engine_flags=NO_CACHE_EVENTS
        )
        atexit.register(fleet.close)
        _shared.append(Environment(fleet))
        fleet.start_tool("service-1", SERVICE)
        _shared[0].configure()
    _shared[0].restore()
    return _shared[0]


def new_marker() -> str:
    """Return a text that is unique in this test run."""
    return f"mark-{next(_marker_numbers)}-end"
