"""Faults that a test injects into a stand-in with `POST /_faults`.

The body replaces the faults in effect; an empty object ends all faults.

    {"hang": true}             accept requests and never answer
    {"hang_after_tokens": 3}   stop a stream after that many tokens
    {"break_after_tokens": 3}  break the connection after that many tokens
    {"answer_then_hang": true} run the request, then never send its answer
    {"fail": 2}                answer 500 to the next two requests
    {"slow": 10.0}             take ten times as long
    {"refuse": true}           answer 503 to every request
    {"hold": true}             hold every request until the faults are set again
"""

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults in effect; `slow` multiplies delays, a negative number of tokens means never."""

    hang: bool = False
    hang_after_tokens: int = -1
    break_after_tokens: int = -1
    answer_then_hang: bool = False
    fail: int = 0
    slow: float = 1.0
    refuse: bool = False
    hold: bool = False

    def take_failure(self) -> bool:
        """Consume one injected failure and return True, or return False if none is left."""
        if self.fail <= 0:
            return False
        self.fail -= 1
        return True
