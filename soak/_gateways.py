"""Processes of the project's roles, started with the command and template of the deploy file."""

import os
import signal
import subprocess
import tomllib
from dataclasses import dataclass
from pathlib import Path

import trio

from standins._ports import free_port

METRICS_PORT = 9464
READY_POLL_S = 0.05
CONNECT_S = 1.0


@dataclass(slots=True)
class Instance:
    """One process of a role; `code` is the root of the repository that it runs."""

    name: str
    zone: str
    store: str
    code: Path
    folder: Path
    role: str = "gateway"
    listen: str = ""
    readiness: str = ""
    peer_port: int = 0
    is_first: bool = True
    ends_at_start: int = 0
    process: subprocess.Popen | None = None

    def __post_init__(self) -> None:
        self._draw_ports()

    def _draw_ports(self) -> None:
        self.listen, self.readiness = (f"127.0.0.1:{free_port()}" for _ in range(2))
        self.peer_port = free_port()

    def start(self) -> None:
        """Start the process; its output is appended to a log in the folder."""
        deploy = tomllib.loads((self.code / "deploy" / "system.toml").read_text())["roles"]
        text = (self.code / deploy[self.role]["template"]).read_text()
        for name, value in self._values().items():
            text = text.replace("{{" + name + "}}", value)
        settings = self.folder / f"{self.name}.ini"
        settings.write_text(text.replace(f":{METRICS_PORT}", f":{free_port()}"))
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(self.code / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LAGOONFOLD_NODE_FILE": str(settings),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy[self.role]["run"].split(),
                cwd=self.code,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.is_first = False

    def _values(self) -> dict[str, str]:
        data = self.folder / f"{self.name}.data"
        data.mkdir(exist_ok=True)
        return {
            "NodeName": self.name,
            "Zone": self.zone,
            "Region": "region-1",
            "Ip": "127.0.0.1",
            "Listen.Front": self.listen,
            "Listen.Readiness": self.readiness,
            "PortRange.0": str(self.peer_port),
            "Bootstrap": str(self.is_first).lower(),
            "Provider.Address": self.store,
            "Bounds.GraceS": "8",
            "Bounds.ConfigApplyMs": "2000",
            "Bounds.DrainMs": "2000",
            "Bounds.QuotaWindowS": "5",
            "Bounds.QuotaSlack": "20",
            "FaultTolerance.Machines": "1",
            "FaultTolerance.Zones": "0",
            "FaultTolerance.Regions": "0",
            "DataDir": str(data),
            "Limits.DiskMb": "260",
            "Limits.MemoryMb": "256",
            "Limits.MaxFds": "4096",
            "Limits.Cores": "2",
            "Limits.CpuShare": "0.5",
        }

    def signal(self, number: int) -> None:
        """Send the process a signal, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        while self.process is not None and self.process.poll() is None:
            await trio.sleep(READY_POLL_S)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self) -> None:
        """Wait until the process answers 200 on its readiness address.

        One that ends before is started again with other ports: another program may use one of them.
        """
        while not await self._is_ready():
            if self.process is not None and self.process.poll() is not None:
                self.ends_at_start += 1
                self._draw_ports()
                self.start()
            await trio.sleep(READY_POLL_S)

    async def _is_ready(self) -> bool:
        head = b"GET /lagoonfold/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        with trio.move_on_after(CONNECT_S):
            try:
                async with await open_stream(self.readiness) as stream:
                    await stream.send_all(head)
                    return b" 200 " in await stream.receive_some(64)
            except (OSError, trio.BrokenResourceError):
                return False
        return False


async def open_stream(address: str) -> trio.SocketStream:
    """Open a connection to an address."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))
