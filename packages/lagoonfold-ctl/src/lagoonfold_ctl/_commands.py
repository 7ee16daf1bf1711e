"""Commands that run only once the whole command line has been understood.

fire calls a method before it has looked at what follows on the line, so a mistyped flag would be
reported after the change was made. A `command` therefore returns what is to be done; `main` does
it when nothing on the line was left over.
"""

import functools
from collections.abc import Callable
from typing import Any

from fire.decorators import SetParseFn


class Pending:
    """A command that was understood and has not run."""

    __slots__ = ("_action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action


def command(method: Callable[..., None]) -> Callable[..., Pending]:
    """Make a method a command; its arguments are taken as text."""

    @functools.wraps(method)
    def defer(*args: Any, **kwargs: Any) -> Pending:
        return Pending(functools.partial(method, *args, **kwargs))

    return SetParseFn(str)(defer)


def run_pending(pending: Pending) -> None:
    """Do what a command line asked for."""
    pending._action()
