"""Reads the processor time and memory of a process from the kernel's counters."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES_PER_PAGE = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
_RESIDENT_PAGES_FIELD = 21


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Processor time and resident memory of a process."""

    cpu_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the usage of a running process; raise `OSError` when it has ended."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    resident = int(fields[_RESIDENT_PAGES_FIELD]) * _BYTES_PER_PAGE
    return Usage(cpu_s=ticks / _TICKS_PER_S, resident_bytes=resident)
