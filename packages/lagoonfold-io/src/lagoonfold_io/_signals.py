"""The signals by which a process is asked to stop or to reload."""

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType

import trio


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Yield the signals of a process as they arrive, for its main task.

    Afterwards the process ignores them until it ends. By itself trio would then deliver those that
    came during the stop once more, with their default action, which ends the process at once.
    """
    for number in numbers:
        signal.signal(number, _discard)
    try:
        with trio.open_signal_receiver(*numbers) as signals:
            yield signals
    finally:
        _ignore(numbers)


def _discard(number: int, frame: FrameType | None) -> None:
    """Drop a signal.

    The interpreter prints an error if it has noted a signal and finds no handler for it.
    """


def _ignore(numbers: tuple[signal.Signals, ...]) -> None:
    """Ignore signals from now on, also while the interpreter ends and removes all handlers.

    They are blocked while that is set, so that none is noted that has no handler any more.
    """
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, blocked)
