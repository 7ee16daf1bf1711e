"""Signals of a process that arrive while it stops.

Guards against lines that are not JSON among the logs, and against a stop that a signal ends.
"""

import signal
import subprocess
import sys
import time

from tests._suite import load_functions

STOPS = 5_000
PAUSE_S = 0.000_02  # without one the handlers nest until the stack is full
MAX_SIGNALS = 2_000_000
PROGRAM = f"""
import signal, trio
from lagoonfold_io import receive_signals

async def stop():
    with receive_signals(signal.SIGHUP, signal.SIGTERM) as signals:
        async for _ in signals:
            break

for number in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(number, signal.SIG_IGN)
print("started", flush=True)
for _ in range({STOPS}):
    trio.run(stop)
print("stopped", flush=True)
"""


def test_signals_that_arrive_while_their_handlers_change_are_dropped_in_silence() -> None:
    """The interpreter prints an error for a signal that it has noted and finds no handler for."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    try:
        assert process.stdout.readline() == "started\n"
        sent = 0
        while process.poll() is None and sent < MAX_SIGNALS:
            process.send_signal(signal.SIGHUP if sent % 2 else signal.SIGTERM)
            sent += 1
            time.sleep(PAUSE_S)
    finally:
        process.kill()
        output, _ = process.communicate()
    assert output == "stopped\n", output
    assert process.returncode == 0, process.returncode


load_tests = load_functions(globals())
