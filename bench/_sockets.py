"""Reads the bytes that a process sent and received over TCP from the kernel's socket counters."""

import re
import subprocess
from collections import Counter
from collections.abc import Mapping

_SENT = re.compile(r"bytes_sent:(\d+)")
_RECEIVED = re.compile(r"bytes_received:(\d+)")


def read_bytes_by_peer(pid: int, names_by_address: Mapping[str, str]) -> Counter[str]:
    """Return the bytes in both directions by the name of the address at either end.

    Connections without a named address, such as those to the operator port, are left out.
    """
    command = ["ss", "-tinpHO", "state", "established"]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    totals: Counter[str] = Counter()
    for line in text.splitlines():
        if f"pid={pid}," not in line:
            continue
        local, remote = line.split()[2:4]
        name = names_by_address.get(remote) or names_by_address.get(local)
        if name is not None:
            totals[name] += _number(_SENT, line) + _number(_RECEIVED, line)
    return totals


def _number(pattern: re.Pattern[str], line: str) -> int:
    found = pattern.search(line)
    return int(found.group(1)) if found else 0
