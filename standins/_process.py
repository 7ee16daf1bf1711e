"""Child processes of a fleet, which are signalled by process id."""

import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path


@dataclass(slots=True)
class Process:
    """A child process and the file to which its output is appended."""

    child: subprocess.Popen
    log: Path

    @classmethod
    def start(cls, command: list[str], log: Path) -> "Process":
        """Start a command and append its output to the log file."""
        with log.open("ab") as output:
            child = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)
        return cls(child, log)

    def is_running(self) -> bool:
        """Return whether the process has not ended yet."""
        return self.child.poll() is None

    def stop(self, timeout_s: float) -> int:
        """Send SIGTERM, wait for the process to end and return its exit status."""
        if self.is_running():
            self.child.send_signal(signal.SIGTERM)
        return self.child.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process, even while it is suspended, and wait for its end."""
        if self.is_running():
            self.child.kill()
        self.child.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.child.send_signal(signal.SIGCONT)

    def output(self) -> str:
        """Return what the process has printed."""
        return self.log.read_text(errors="replace")
