"""The signals by which a process is asked to stop or to reload."""

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import trio


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Yield the signals of a process as they arrive, for its main task.

    Afterwards the process ignores them until it ends. By itself trio would then deliver those that
    came during the stop once more, with their default action, which ends the process at once.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
    with trio.open_signal_receiver(*numbers) as signals:
        yield signals
