"""Faults that a test injects into a stand-in by `POST /_faults`.

The body names the faults that hold from now on; an empty object ends them all.

    {"hang": true}             accept requests and never answer
    {"hang_after_tokens": 3}   stop a stream after that many tokens
    {"break_after_tokens": 3}  break the connection after that many tokens
    {"answer_then_hang": true} run the request, then never send its answer
    {"fail": 2}                answer 500 to the next two requests
    {"slow": 10.0}             take ten times as long
    {"refuse": true}           answer 503 to every request
    {"hold": true}             let every request wait until the faults are set again
"""

import msgspec


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The faults in force."""

    hang: bool = False
    hang_after_tokens: int = -1
    break_after_tokens: int = -1
    answer_then_hang: bool = False
    fail: int = 0
    slow: float = 1.0
    refuse: bool = False
    hold: bool = False

    def take_failure(self) -> bool:
        """Use up one injected failure; return False when none is left."""
        if self.fail <= 0:
            return False
        self.fail -= 1
        return True
