"""Starts a fleet of instances and stand-ins as processes on loopback.

    with Fleet.start(instances=3, engines=2) as fleet:
        fleet.operate("account", "add", "survey", "--rate=50", "--burst=100")
        fleet.instances_by_id["i1"].process.kill()

All processes are children of this one and are killed when the fleet closes.
"""

import http.client
import json
import shutil
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

from standins._ports import free_port
from standins._process import Process

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")
MODEL = "small"
TOOL_SERVICE = "registry"


class FleetError(Exception):
    """A fleet did not reach a state in time, or a command failed."""


def call(
    method: str, address: str, path: str, body: object = None, timeout_s: float = 10.0
) -> tuple[int, bytes]:
    """Send one request to a process of the fleet; return the status and the body."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def wait_until(condition, what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Poll a condition; raise `FleetError` with `what` if it does not hold in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise FleetError(f"not reached within {timeout_s:g} s: {what}")
        time.sleep(POLL_INTERVAL_S)


def is_ready(address: str, path: str) -> bool:
    """Return whether a process answers 200 on a path."""
    try:
        return call("GET", address, path, timeout_s=1.0)[0] == 200
    except (OSError, http.client.HTTPException):
        return False


@dataclass(slots=True, kw_only=True)
class FleetOptions:
    """The size of a fleet, the settings of its instances and the flags of its stand-ins."""

    instances: int = 3
    engines: int = 2
    tools: int = 1
    shards: int = 8
    lease_s: float = 3.0
    failure_domains: tuple[str, ...] = FAILURE_DOMAINS
    commit_scope: str = "instance"
    withdrawal_bound_s: float = 5.0
    outage_grace_s: float = 0.0
    engine_flags: tuple[str, ...] = ()
    tool_flags: tuple[str, ...] = ()
    list_lag_s: float = 0.0
    extra_settings: str = ""


@dataclass(slots=True)
class InstanceHandle:
    """A running `lagoonfoldd` and its addresses."""

    instance_id: str
    failure_domain: str
    listen: str
    peer: str
    operator: str
    settings: Path
    process: Process


@dataclass(slots=True)
class Fleet:
    """A running fleet: its processes and addresses."""

    options: FleetOptions
    folder: Path
    store_address: str = ""
    list_address: str = ""
    store: Process | None = None
    instance_list: Process | None = None
    upstreams_by_id: dict[str, Process] = field(default_factory=dict)
    entries_by_id: dict[str, dict] = field(default_factory=dict)
    instances_by_id: dict[str, InstanceHandle] = field(default_factory=dict)

    @classmethod
    def start(cls, **options) -> "Fleet":
        """Start a fleet and wait until every instance is ready."""
        fleet = cls(FleetOptions(**options), Path(tempfile.mkdtemp(prefix="lagoonfold-")))
        try:
            fleet._start_platform()
            fleet._start_upstreams()
            for number in range(1, fleet.options.instances + 1):
                fleet.start_instance(f"i{number}")
            for instance_id in fleet.instances_by_id:
                fleet.wait_ready(instance_id)
        except BaseException:
            fleet.close()
            raise
        return fleet

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _start_platform(self) -> None:
        self.store_address = f"127.0.0.1:{free_port()}"
        self.list_address = f"127.0.0.1:{free_port()}"
        self.start_store()
        lag = f"--lag={self.options.list_lag_s}"
        self.instance_list = self._start_stand_in("instances", self.list_address, (lag,))

    def start_store(self) -> None:
        """Start the stand-in of the key-value service at `store_address`."""
        self.store = self._start_stand_in("kv", self.store_address, ())

    def _start_stand_in(self, name: str, address: str, flags: tuple[str, ...]) -> Process:
        port = address.rpartition(":")[2]
        command = [sys.executable, "-m", f"standins.{name}", f"--port={port}", *flags]
        log = self.folder / f"{name}-{port}.log"
        process = Process.start(command, log)
        wait_until(lambda: is_ready(address, "/livez"), f"{name} at {address}")
        return process

    def _start_upstreams(self) -> None:
        for number in range(1, self.options.engines + 1):
            self.start_engine(f"engine-{number}")
        for number in range(1, self.options.tools + 1):
            self.start_tool(f"tool-{number}")

    def start_engine(self, upstream_id: str, *, address: str = "") -> None:
        """Start a stand-in of a model engine and publish it in the instance list.

        It gets a free address unless one is given.
        """
        entry = {"role": "engine", "models": [MODEL], "checks_fencing": True}
        self._start_upstream(upstream_id, "engine", self.options.engine_flags, entry, address)

    def start_tool(self, upstream_id: str, service: str = TOOL_SERVICE) -> None:
        """Start a stand-in of a tool service and publish it in the instance list."""
        entry = {"role": "tool", "service": service}
        self._start_upstream(upstream_id, "tool", self.options.tool_flags, entry)

    def _start_upstream(
        self,
        upstream_id: str,
        stand_in: str,
        flags: tuple[str, ...],
        entry: dict,
        address: str = "",
    ) -> None:
        address = address or f"127.0.0.1:{free_port()}"
        self.upstreams_by_id[upstream_id] = self._start_stand_in(stand_in, address, flags)
        domain = FAILURE_DOMAINS[len(self.entries_by_id) % len(FAILURE_DOMAINS)]
        identity = {"instance_id": upstream_id, "address": address, "failure_domain": domain}
        self.entries_by_id[upstream_id] = {**identity, **entry, "leaving": False}
        self.publish_list()

    def publish_list(self) -> None:
        """Replace the published instance list by `entries_by_id`."""
        entries = list(self.entries_by_id.values())
        call("PUT", self.list_address, "/v1/instances", {"instances": entries})

    def start_instance(self, instance_id: str) -> InstanceHandle:
        """Start a `lagoonfoldd`; an id that ran before keeps its addresses and settings file."""
        existing = self.instances_by_id.get(instance_id)
        handle = existing or self._new_instance(instance_id)
        command = [sys.executable, "-m", "lagoonfold_node", f"--settings={handle.settings}"]
        handle.process = Process.start(command, self.folder / f"{instance_id}.log")
        self.instances_by_id[instance_id] = handle
        identity = {"instance_id": instance_id, "address": handle.listen, "role": "entry"}
        domain = {"failure_domain": handle.failure_domain, "leaving": False}
        self.entries_by_id[instance_id] = {**identity, **domain}
        self.publish_list()
        return handle

    def _new_instance(self, instance_id: str) -> InstanceHandle:
        domains = self.options.failure_domains
        domain = domains[len(self.instances_by_id) % len(domains)]
        listen, peer, operator = (f"127.0.0.1:{free_port()}" for _ in range(3))
        settings = self.folder / f"{instance_id}.ini"
        handle = InstanceHandle(instance_id, domain, listen, peer, operator, settings, None)
        settings.write_text(self._settings_text(handle))
        return handle

    def _settings_text(self, handle: InstanceHandle) -> str:
        options = self.options
        return f"""[instance]
id = {handle.instance_id}
failure_domain = {handle.failure_domain}
listen = {handle.listen}
peer = {handle.peer}
operator = {handle.operator}

[platform]
kv = {self.store_address}
instance_list = {self.list_address}

[cluster]
shards = {options.shards}
lease_s = {options.lease_s}
commit_scope = {options.commit_scope}

[keys]
withdrawal_bound_s = {options.withdrawal_bound_s}
outage_grace_s = {options.outage_grace_s}
{options.extra_settings}"""

    def wait_ready(self, instance_id: str) -> None:
        """Wait until an instance is ready for requests."""
        address = self.instances_by_id[instance_id].operator
        wait_until(lambda: is_ready(address, "/readyz"), f"{instance_id} ready")

    def operate(self, *words: str) -> dict | list:
        """Run the command line `lagoonfold` with `--json` and return its decoded output."""
        command = [sys.executable, "-m", "lagoonfold_ctl", *words]
        command += [f"--kv={self.store_address}", "--by=demo", "--json"]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if completed.returncode != 0:
            raise FleetError(f"{' '.join(words)}: {completed.stdout}{completed.stderr}")
        return json.loads(completed.stdout)

    def upstream_log(self, upstream_id: str) -> list[dict]:
        """Return the requests that reached an upstream's stand-in."""
        address = self.entries_by_id[upstream_id]["address"]
        return json.loads(call("GET", address, "/_log")[1])

    def inject(self, upstream_id: str, **faults: object) -> None:
        """Replace the faults of an upstream's stand-in; without arguments, end them all."""
        call("POST", self.entries_by_id[upstream_id]["address"], "/_faults", faults)

    def inject_store(self, **faults: object) -> None:
        """Replace the faults of the key-value service's stand-in."""
        call("POST", self.store_address, "/_faults", faults)

    def stop_instance(self, instance_id: str) -> int:
        """Stop an instance gracefully and return its exit status."""
        return self.instances_by_id[instance_id].process.stop(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill every process and remove the folder."""
        instances = [handle.process for handle in self.instances_by_id.values()]
        platform = [self.store, self.instance_list]
        for process in [*instances, *self.upstreams_by_id.values(), *platform]:
            if process is not None:
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)
