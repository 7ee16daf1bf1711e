"""Tells whether the program of a request has begun, as far as the request and this instance know.

A later turn names the turn before it, or its prompt has more than one part of its session. Requests
of a program that are no turns, such as tool calls, follow a turn. A request that has been sent
before, or takes up a stream, has had a place already. Example: a first turn with the prompt parts
`system, session` has not begun; one with `system, session, answer` has.
"""

from collections import OrderedDict

from lagoonfold_gateway._request_state import RequestState
from lagoonfold_gateway.placing._placement_orders import SESSION_PART_INDEX

MAX_PROGRAMS = 4_096  # some minutes of programs at one instance; the oldest are forgotten


class BegunPrograms:
    """The programs of which this instance has sent an answer."""

    def __init__(self) -> None:
        self._ids: OrderedDict[str, None] = OrderedDict()

    def record_answered(self, request_state: RequestState) -> None:
        """Remember that a request of its program has been answered."""
        turn = request_state.parsed.turn
        if turn is None:
            return
        self._ids[turn.program] = None
        self._ids.move_to_end(turn.program)
        while len(self._ids) > MAX_PROGRAMS:
            self._ids.popitem(last=False)

    def has_begun(self, request_state: RequestState) -> bool:
        """Return whether the program of a request, or the request itself, has begun."""
        parsed, turn = request_state.parsed, request_state.parsed.turn
        is_later_turn = (
            parsed.previous_turn is not None or len(parsed.parts) > SESSION_PART_INDEX + 1
        )
        if is_later_turn or request_state.is_stream_taken_up or request_state.attempt_log:
            return True
        if turn is None:
            return False
        return not request_state.route.is_program_turn or turn.program in self._ids
