"""The connections of a server that wait for a request, and which of them makes room for others."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from lagoonfold_io._socket_input import is_readable


class WaitingConnections:
    """The connections that wait for a request or for the rest of its head, longest wait first.

    No handler has run for what such a connection waits for, so it may be closed at any time.
    """

    def __init__(self) -> None:
        self._stream_by_scope: dict[trio.CancelScope, trio.SocketStream] = {}
        self._idle_scopes: set[trio.CancelScope] = set()

    def __len__(self) -> int:
        return len(self._stream_by_scope)

    @contextmanager
    def wait(
        self, stream: trio.SocketStream, timeout_s: float, *, is_idle: bool
    ) -> Iterator[trio.CancelScope]:
        """Run a wait of a connection; `is_idle` if nothing of a request has arrived."""
        with trio.move_on_after(timeout_s) as scope:
            self._stream_by_scope[scope] = stream
            if is_idle:
                self._idle_scopes.add(scope)
            try:
                yield scope
            finally:
                self._stream_by_scope.pop(scope, None)
                self._idle_scopes.discard(scope)

    def close_idle(self) -> None:
        """Close the connections of which nothing has arrived."""
        for scope in tuple(self._idle_scopes):
            if not is_readable(self._stream_by_scope[scope]):
                scope.cancel()

    def close_longest(self) -> bool:
        """Close the connection that has waited for the longest; return False if there is none."""
        for scope, stream in self._stream_by_scope.items():
            if not scope.cancel_called and not is_readable(stream):
                scope.cancel()
                return True
        return False
