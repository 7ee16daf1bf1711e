"""A child process of a fleet, ended by its process id."""

import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path


@dataclass(slots=True)
class Process:
    """A running child and the file that takes its output."""

    child: subprocess.Popen
    log: Path

    @classmethod
    def start(cls, command: list[str], log: Path) -> "Process":
        """Start a command; its output is appended to the log file."""
        with log.open("ab") as output:
            child = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT)
        return cls(child, log)

    def is_running(self) -> bool:
        """Tell whether the process has not ended yet."""
        return self.child.poll() is None

    def stop(self, timeout_s: float) -> int:
        """Ask for a graceful stop, wait for it, and return the exit status."""
        if self.is_running():
            self.child.send_signal(signal.SIGTERM)
        return self.child.wait(timeout_s)

    def kill(self) -> None:
        """End the process at once; a stopped process is ended too."""
        if self.is_running():
            self.child.kill()
        self.child.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a suspended process go on."""
        self.child.send_signal(signal.SIGCONT)

    def output(self) -> str:
        """Return what the process has printed."""
        return self.log.read_text(errors="replace")
