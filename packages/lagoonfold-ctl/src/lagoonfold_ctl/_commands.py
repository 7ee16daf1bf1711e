"""Commands that run only after the whole command line has been parsed.

fire calls a method before it parses the remaining arguments, so a mistyped flag would be reported
only after the change was made. A method decorated with `command` therefore returns a `Pending`
command, which `main` runs if fire consumed every argument.
"""

import functools
from collections.abc import Callable
from typing import Any

from fire.decorators import SetParseFn


class Pending:
    """A command whose arguments have been parsed and that has not run yet."""

    __slots__ = ("_action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action


def command(method: Callable[..., None]) -> Callable[..., Pending]:
    """Make a method return a pending command; fire passes its arguments as strings."""

    @functools.wraps(method)
    def defer(*args: Any, **kwargs: Any) -> Pending:
        return Pending(functools.partial(method, *args, **kwargs))

    return SetParseFn(str)(defer)


def run_pending(pending: Pending) -> None:
    """Run a pending command."""
    pending._action()
